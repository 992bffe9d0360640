package claimer

import (
	"context"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/timer"
)

// Advancer advances the clock of one claim group: while its replica leads the
// group, it regularly proposes an Advance entry.
//
// The intervals of the entries that take effect never overlap, so the table's
// clock never runs ahead of real time. The first entry of a leader has an
// elapsed time of zero and only makes the entries of earlier terms ineffective.
// Each later entry counts from the answer to the previous one. If a proposal
// gets no answer, its interval is dropped.
type Advancer struct {
	// Clock measures the elapsed time of each step.
	Clock timer.Clock
	// LeaderTerm returns the term in which this replica considers itself the
	// leader, or false if it does not.
	LeaderTerm func() (identifier.Term, bool)
	// Propose appends an entry to the group's log and waits for its answer.
	Propose func(ctx context.Context, entry []byte) error

	term identifier.Term
	step uint64
	// lastAnswer is when the last proposal was answered, or zero if the next
	// step must have an elapsed time of zero.
	lastAnswer time.Time
}

// Run proposes a step every AdvanceInterval until ctx ends.
func (a *Advancer) Run(ctx context.Context) {
	ticker := time.NewTicker(AdvanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.advance(ctx)
		}
	}
}

// advance proposes one step if this replica is the leader.
func (a *Advancer) advance(ctx context.Context) {
	term, leads := a.LeaderTerm()
	if !leads {
		a.lastAnswer = time.Time{}
		return
	}
	if term != a.term {
		a.term, a.step, a.lastAnswer = term, 0, time.Time{}
	}
	a.step++
	step := Advance{Term: a.term, Step: a.step}
	if !a.lastAnswer.IsZero() {
		step.Elapsed = min(a.Clock.Now().Sub(a.lastAnswer), MaxAdvance)
	}
	entry, err := EncodeEvent(step)
	if err == nil {
		err = a.Propose(ctx, entry)
	}
	a.lastAnswer = a.Clock.Now()
	if err != nil {
		// The step may or may not have taken effect, so the next one starts
		// again with an elapsed time of zero.
		a.lastAnswer = time.Time{}
	}
}
