package administrator

import (
	"context"

	"cyclamenhub.org/reducer"
)

// Backend reaches the control log.
type Backend interface {
	// Propose returns the outcome of ev once it is committed. On an error the
	// event may take effect or not; it is safe to propose it again under its
	// change id.
	Propose(ctx context.Context, ev reducer.Event) (reducer.Outcome, error)
	// View returns a linearizable reading of the state.
	View(ctx context.Context) (reducer.View, error)
	// HostRevisions tells what each host last reported, in any order.
	HostRevisions(ctx context.Context) []HostRevision
}
