package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/reducer"
	"cyclamenhub.org/refuser"
	"cyclamenhub.org/timer"
)

const (
	// initialInterval is the time between attempts to propose the initial
	// document while no quorum of the keepers is reachable.
	initialInterval = time.Second
	// initialOperator is the operator of the initial document in the audit
	// trail.
	initialOperator identifier.Operator = "initial-settings"
	// initialChange is the change id of the initial document. It is the same on
	// every keeper, so that only one proposal takes effect.
	initialChange identifier.ChangeID = "initial"
)

// proposeInitial proposes the initial fleet document if the control log is
// empty, and retries until a quorum of the keepers is reachable.
func (c *control) proposeInitial(ctx context.Context, clock timer.Clock) error {
	if c.keeper == nil || c.cfg.InitialFleet == "" {
		return nil
	}
	for {
		err := c.tryInitial(ctx, clock)
		var f *refuser.Refusal
		if !errors.As(err, &f) || ctx.Err() != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(initialInterval):
		}
	}
}

// tryInitial proposes the initial fleet document once, if the control log is
// empty.
func (c *control) tryInitial(ctx context.Context, clock timer.Clock) error {
	v, err := c.View(ctx)
	if err != nil || v.Revision > 0 {
		return err
	}
	b, err := os.ReadFile(c.cfg.InitialFleet)
	if err != nil {
		return fmt.Errorf("initialFleet: %w: name a readable file", err)
	}
	f, err := configurer.DecodeFleet(b)
	if err != nil {
		return err
	}
	out, err := c.Propose(ctx, reducer.ChangeConfiguration{
		ChangeID: initialChange, Operator: initialOperator, Reason: "initial document of the settings",
		Document: f.Encode(), At: clock.Now(),
	})
	if err != nil {
		return err
	}
	return ignoreConflict(out.Err())
}

// ignoreConflict returns nil for a conflict, which means that another document
// was committed first, and err otherwise.
func ignoreConflict(err error) error {
	var f *refuser.Refusal
	if errors.As(err, &f) && f.Kind() == refuser.Conflict {
		return nil
	}
	return err
}
