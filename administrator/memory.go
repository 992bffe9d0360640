package administrator

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"cyclamenhub.org/reducer"
	"cyclamenhub.org/refuser"
	"cyclamenhub.org/roller"
)

// MemoryBackend is a control log with a single replica that keeps its state in
// memory. The state is lost when the process ends, so it is meant for tests and
// trials only. Its zero value is ready to use and safe for concurrent use.
type MemoryBackend struct {
	// Hosts is the result of HostRevisions.
	Hosts []HostRevision
	// Replicas is the result of Members. ChangeMembers modifies it.
	Replicas Members

	mu      sync.Mutex // guards Replicas and the fields below
	machine reducer.Machine
}

// Propose applies ev immediately.
func (b *MemoryBackend) Propose(_ context.Context, ev reducer.Event) (reducer.Outcome, error) {
	entry, err := reducer.EncodeEvent(ev)
	if err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return reducer.DecodeOutcome(b.machine.Apply(entry)[0])
}

// View returns the state after the last proposal.
func (b *MemoryBackend) View(context.Context) (reducer.View, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.machine.View(), nil
}

// Head returns the current configuration without the audit trail.
func (b *MemoryBackend) Head(context.Context) (reducer.View, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var s reducer.State
	err := s.Restore(b.machine.ReadSnapshot())
	return s.View(), err
}

// HostRevisions returns a copy of Hosts.
func (b *MemoryBackend) HostRevisions(context.Context) []HostRevision { return slices.Clone(b.Hosts) }

// PlanRollout returns start with the lowest level as the first stage and one
// in-flight request per host.
func (b *MemoryBackend) PlanRollout(_ context.Context, start roller.StartRollout) (roller.StartRollout, error) {
	start.FirstLevel, start.InFlight, start.Hosts = 1, 1, len(b.Hosts)
	return start, nil
}

// Members returns a copy of Replicas.
func (b *MemoryBackend) Members(context.Context) (Members, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Members{Term: b.Replicas.Term, Members: slices.Clone(b.Replicas.Members)}, nil
}

// ChangeMembers applies c to Replicas. It returns a conflict if c adds a replica
// that is a member, or promotes or removes one that is not.
func (b *MemoryBackend) ChangeMembers(_ context.Context, c MemberChange) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	members := &b.Replicas.Members
	i := slices.IndexFunc(*members, func(m Member) bool { return m.Replica == c.Replica })
	switch {
	case c.Action == AddMember && i < 0:
		*members = append(*members, Member{Replica: c.Replica, Host: c.Host})
	case c.Action == PromoteMember && i >= 0:
		(*members)[i].Voter = true
	case c.Action == RemoveMember && i >= 0:
		*members = slices.Delete(*members, i, i+1)
	default:
		return refuser.NotRun(refuser.Conflict, fmt.Sprintf("replica %d is a member already or not at all", c.Replica),
			"see 'cyclamenctl members list'")
	}
	return nil
}
