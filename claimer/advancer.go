package claimer

import (
	"context"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/timer"
)

// Advancer proposes the steps of one claim group's clock while its replica
// leads the group.
//
// The steps that take effect never overlap, so that the table's clock never
// runs ahead of time: a leader's first step is empty and only ends those of
// earlier terms; its next one counts from the answer to the one before; and
// time whose step had no answer is dropped.
type Advancer struct {
	// Clock measures the steps.
	Clock timer.Clock
	// Leads returns the term in which this replica believes to lead, or false.
	Leads func() (identifier.Term, bool)
	// Propose puts an entry into the group's log and waits for its answer.
	Propose func(ctx context.Context, entry []byte) error

	term identifier.Term
	step uint64
	last time.Time
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

// advance proposes one step if this replica leads.
func (a *Advancer) advance(ctx context.Context) {
	term, leads := a.Leads()
	if !leads {
		a.last = time.Time{}
		return
	}
	if term != a.term {
		a.term, a.step, a.last = term, 0, time.Time{}
	}
	a.step++
	step := Advance{Term: a.term, Step: a.step}
	if !a.last.IsZero() {
		step.Elapsed = min(a.Clock.Now().Sub(a.last), MaxAdvance)
	}
	entry, err := EncodeEvent(step)
	if err == nil {
		err = a.Propose(ctx, entry)
	}
	a.last = a.Clock.Now()
	if err != nil {
		// It is not known whether the step took effect: begin anew.
		a.last = time.Time{}
	}
}
