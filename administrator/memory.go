package administrator

import (
	"context"
	"slices"
	"sync"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/reducer"
)

// MemoryBackend is a control log of one replica in memory. It forgets all when
// the process ends, so that it serves tests and trials only. Its zero value is
// ready to use and safe for concurrent use.
type MemoryBackend struct {
	// Hosts is what HostRevisions returns.
	Hosts []HostRevision

	mu      sync.Mutex // guards what follows
	machine reducer.Machine
	index   identifier.LogIndex
}

// Propose applies ev at once.
func (b *MemoryBackend) Propose(_ context.Context, ev reducer.Event) (reducer.Outcome, error) {
	entry, err := reducer.EncodeEvent(ev)
	if err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.index++
	return reducer.DecodeOutcome(b.machine.Apply(b.index, entry))
}

// View returns the state after the last proposal.
func (b *MemoryBackend) View(context.Context) (reducer.View, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.machine.View(), nil
}

// HostRevisions returns a copy of Hosts.
func (b *MemoryBackend) HostRevisions(context.Context) []HostRevision { return slices.Clone(b.Hosts) }
