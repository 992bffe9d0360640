package administrator

import (
	"context"

	"cyclamenhub.org/reducer"
	"cyclamenhub.org/roller"
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

// HeadBackend is a Backend that can read the present configuration without the
// audit trail, which may be a hundred times as large. Where a host asks the
// keepers for the state, each change and most reads then cost little.
type HeadBackend interface {
	Backend
	// Head returns a linearizable reading without Accepted and Refused.
	Head(ctx context.Context) (reducer.View, error)
}

// RolloutBackend is a Backend that also starts rollouts.
type RolloutBackend interface {
	Backend
	// PlanRollout adds what only the leader's controller knows: the first
	// stage, the bound on requests in flight, the number of hosts and the
	// thresholds of slow answers.
	PlanRollout(ctx context.Context, start roller.StartRollout) (roller.StartRollout, error)
}

// MemberBackend is a Backend that also shows and changes the members of the
// control log's group.
type MemberBackend interface {
	Backend
	// Members tells which replicas the group has, in any order.
	Members(ctx context.Context) (Members, error)
	// ChangeMembers makes one change of membership. On an error that is no
	// refusal it may have been made.
	ChangeMembers(ctx context.Context, c MemberChange) error
}
