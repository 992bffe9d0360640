package keeper

import (
	"errors"
	"time"

	"cyclamenhub.org/refuser"
	"cyclamenhub.org/replicator"
)

// retryAfter is the delay that refusals suggest before a retry. It leaves time
// for an election.
const retryAfter = time.Second

// errOutcomeUnknown reports that an entry may or may not have been committed.
func errOutcomeUnknown() error {
	return refuser.MayHaveRun(refuser.Unknown, "the control log did not confirm the change in time",
		"look whether it took effect, then send it again under the same id").After(retryAfter)
}

// errSuperseded reports that an entry of another leader replaced the proposed
// one.
func errSuperseded() error {
	return refuser.NotRun(refuser.NoMajority, "a new leader superseded the change before a majority had it",
		"send it again").After(retryAfter)
}

// errNoLeader reports that nothing was proposed because there is no leader.
func errNoLeader() error {
	return refuser.NotRun(refuser.NoMajority, "the control log has no leader that a majority follows",
		"send it again once a majority of the keepers can reach each other").After(retryAfter)
}

// errNoRead reports that a read could not be confirmed.
func errNoRead() error {
	return refuser.NotRun(refuser.NoMajority, "no majority of the keepers confirmed the reading in time",
		"send it again once a majority of the keepers can reach each other").After(retryAfter)
}

// errQueueFull reports that too many proposals or reads are waiting.
func errQueueFull() error {
	return refuser.NotRun(refuser.Overloaded, "too many changes of the control log wait", "come back after the time in Retry-After").After(retryAfter)
}

// errClosed reports that the keeper is closed.
func errClosed() error {
	return refuser.NotRun(refuser.Stopping, "this keeper is stopping", "ask another host").After(retryAfter)
}

// LeaseError reports that this replica does not hold the lease and must not
// give orders.
type LeaseError struct{}

// Error returns the problem and its remedy.
func (*LeaseError) Error() string {
	return "this host does not hold the leader's lease: leave the order to the host that does"
}

// refusalOf converts an error of the replicator into a refusal. The replicator
// accepted nothing in these cases.
func refusalOf(err error) error {
	var (
		full    *replicator.FullError
		large   *replicator.TooLargeError
		halted  *replicator.HaltedError
		invalid *replicator.ChangeError
	)
	switch {
	case errors.As(err, &full):
		return refuser.NotRun(refuser.Overloaded, err.Error(), "come back after the time in Retry-After").After(retryAfter)
	case errors.As(err, &large):
		return refuser.NotRun(refuser.TooLarge, err.Error(), "send less at once")
	case errors.As(err, &halted):
		return refuser.NotRun(refuser.NoMajority, err.Error(), "ask another keeper")
	case errors.As(err, &invalid):
		return refuser.NotRun(refuser.Conflict, invalid.Problem, invalid.Remedy)
	default:
		return errNoLeader()
	}
}
