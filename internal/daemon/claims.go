package daemon

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"cyclamenhub.org/claimer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/wire"
	"cyclamenhub.org/keeper"
	"cyclamenhub.org/messenger"
	"cyclamenhub.org/refuser"
)

// claimMethod proposes an entry for a claim group to a keeper.
const claimMethod messenger.Method = "claims.propose"

// firstClaimGroup is the group id of claim group 0. The control log has the id
// before it.
const firstClaimGroup identifier.GroupID = 1

// claimTimeout limits a proposal to a claim group. It is longer than an
// election, and short enough that a host without a quorum refuses the request
// long before its deadline.
const claimTimeout = 5 * time.Second

// claims gives access to the logs of the claim groups: those on this host, or
// those of the keepers on other hosts.
type claims struct {
	control *control
	groups  []*claimGroup // empty if this host is not a keeper
}

// claimGroup holds the replica and the table of one claim group.
type claimGroup struct {
	keeper *keeper.Reopener

	mu    sync.Mutex // guards table
	table claimer.Table
}

// open opens the claim groups if this host is a keeper. The control log must be
// open.
func (cs *claims) open() error {
	c := cs.control
	if c.keeper == nil {
		return nil
	}
	for i := range c.cfg.ClaimGroupCount() {
		g := &claimGroup{}
		g.keeper = keeper.NewReopener(func() (*keeper.Keeper, error) {
			return cs.openReplica(firstClaimGroup+identifier.GroupID(i), g)
		}, c.log)
		if err := g.keeper.Open(); err != nil {
			return err
		}
		cs.groups = append(cs.groups, g)
	}
	c.messenger.Handle(claimMethod, cs.handle)
	return nil
}

// openReplica opens the replica of a claim group with an empty table.
func (cs *claims) openReplica(id identifier.GroupID, g *claimGroup) (*keeper.Keeper, error) {
	c := cs.control
	g.mu.Lock()
	g.table = claimer.Table{}
	g.mu.Unlock()
	k, err := keeper.Open(keeper.Options{
		Group: id, Host: c.cfg.Host, Hosts: c.cfg.Keepers,
		DataFolder: c.cfg.DataFolder, Files: c.files, StateMachine: g, Transport: c.peers, Clock: c.clock, Log: c.log,
	})
	if err == nil {
		c.peers.Attach(k)
	}
	return k, err
}

// Apply applies committed entries to the table.
func (g *claimGroup) Apply(entries ...[]byte) [][]byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Apply(entries...)
}

// Snapshot returns the encoded table.
func (g *claimGroup) Snapshot() []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Snapshot()
}

// Restore replaces the table by that of a snapshot.
func (g *claimGroup) Restore(snapshot []byte) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Restore(snapshot)
}

// leaderTerm returns the current term and whether the replica on this host holds
// the lease of that term.
func (g *claimGroup) leaderTerm() (identifier.Term, bool) {
	lease, err := g.keeper.Load().Lease()
	return identifier.Term(lease.Fencing()), err == nil
}

// Propose appends an entry to the log of a claim group and returns its answer.
func (cs *claims) Propose(ctx context.Context, group int, entry []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if len(cs.groups) > 0 {
		return cs.proposeHere(ctx, group, entry)
	}
	var resp wire.ClaimResponse
	err := cs.control.callKeepers(ctx, claimMethod, &wire.ClaimRequest{Group: uint32(group), Entry: entry}, &resp)
	return resp.Answer, err
}

// proposeHere proposes an entry to a claim group that has a replica on this
// host.
func (cs *claims) proposeHere(ctx context.Context, group int, entry []byte) ([]byte, error) {
	if group < 0 || group >= len(cs.groups) {
		return nil, refuser.NotRun(refuser.Malformed, fmt.Sprintf("there is no claim group %d", group),
			"set the same claimGroups on all hosts")
	}
	return cs.groups[group].keeper.Load().Propose(ctx, entry)
}

// handle serves claimMethod.
func (cs *claims) handle(ctx context.Context, call *messenger.Call) (proto.Message, error) {
	var req wire.ClaimRequest
	if err := call.Decode(&req); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	answer, err := cs.proposeHere(ctx, int(req.Group), req.Entry)
	if err != nil {
		return nil, err
	}
	return &wire.ClaimResponse{Answer: answer}, nil
}

// run advances the clocks of the claim groups, and opens replicas again that have
// failed, until ctx ends.
func (cs *claims) run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, g := range cs.groups {
		a := &claimer.Advancer{
			Clock: cs.control.clock, LeaderTerm: g.leaderTerm,
			Propose: func(ctx context.Context, entry []byte) error {
				_, err := g.keeper.Load().Propose(ctx, entry)
				return err
			},
		}
		wg.Go(func() { a.Run(ctx) })
		wg.Go(func() { g.keeper.Run(ctx) })
	}
	wg.Wait()
}

// close closes the logs of the claim groups.
func (cs *claims) close() {
	if cs == nil {
		return
	}
	for _, g := range cs.groups {
		_ = g.keeper.Close()
	}
}
