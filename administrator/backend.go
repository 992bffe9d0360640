package administrator

import (
	"context"

	"cyclamenhub.org/reducer"
	"cyclamenhub.org/roller"
)

// Backend gives access to the control log.
type Backend interface {
	// Propose proposes ev and returns its outcome after it is committed. On an
	// error the event may or may not take effect; it is safe to propose it again
	// under its change id.
	Propose(ctx context.Context, ev reducer.Event) (reducer.Outcome, error)
	// View returns the state with a linearizable read.
	View(ctx context.Context) (reducer.View, error)
	// HostRevisions returns the revision that each host last reported, in any
	// order.
	HostRevisions(ctx context.Context) []HostRevision
}

// HeadBackend is a Backend that can read the current configuration without the
// audit trail, which may be a hundred times as large. This makes each change and
// most reads cheaper on a host that requests the state from the keepers.
type HeadBackend interface {
	Backend
	// Head returns the state without Accepted and Refused, with a linearizable
	// read.
	Head(ctx context.Context) (reducer.View, error)
}

// RolloutBackend is a Backend that can also plan rollouts.
type RolloutBackend interface {
	Backend
	// PlanRollout returns start with the fields set that only the leader's
	// controller knows: the first stage, the limit of in-flight requests, the
	// number of hosts and the thresholds for slow responses.
	PlanRollout(ctx context.Context, start roller.StartRollout) (roller.StartRollout, error)
}

// MemberBackend is a Backend that can also list and change the members of the
// control log's replication group.
type MemberBackend interface {
	Backend
	// Members returns the replicas of the group, in any order.
	Members(ctx context.Context) (Members, error)
	// ChangeMembers makes one membership change. If it returns an error that is
	// not a refusal, the change may have been made.
	ChangeMembers(ctx context.Context, c MemberChange) error
}
