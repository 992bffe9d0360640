package keeper

import (
	"errors"
	"time"

	"cyclamenhub.org/refuser"
	"cyclamenhub.org/replicator"
)

// retryAfter is when a caller may come back after an election.
const retryAfter = time.Second

// errUnknown tells that an entry may or may not be committed.
func errUnknown() error {
	return refuser.MayHaveRun(refuser.Unknown, "the control log did not confirm the change in time",
		"look whether it took effect, then send it again under the same id").After(retryAfter)
}

// errSuperseded tells that another leader's entry took the place of one.
func errSuperseded() error {
	return refuser.NotRun(refuser.NoMajority, "a new leader superseded the change before a majority had it",
		"send it again").After(retryAfter)
}

// errNoLeader tells that nothing was proposed for want of a leader.
func errNoLeader() error {
	return refuser.NotRun(refuser.NoMajority, "the control log has no leader that a majority follows",
		"send it again once a majority of the keepers can reach each other").After(retryAfter)
}

// errNoRead tells that a read could not be confirmed.
func errNoRead() error {
	return refuser.NotRun(refuser.NoMajority, "no majority of the keepers confirmed the reading in time",
		"send it again once a majority of the keepers can reach each other").After(retryAfter)
}

// errQueueFull tells that too many wait.
func errQueueFull() error {
	return refuser.NotRun(refuser.Overloaded, "too many changes of the control log wait", "come back after the time in Retry-After").After(retryAfter)
}

// errClosed tells that the keeper is closed.
func errClosed() error {
	return refuser.NotRun(refuser.Stopping, "this keeper is stopping", "ask another host").After(retryAfter)
}

// LeaseError tells that this replica may give no order.
type LeaseError struct{}

// Error names the remedy.
func (*LeaseError) Error() string {
	return "this host does not hold the leader's lease: leave the order to the host that does"
}

// refusalOf turns an error of the replicator, which took nothing, into a
// refusal.
func refusalOf(err error) error {
	var (
		full  *replicator.FullError
		large *replicator.TooLargeError
		aside *replicator.SteppedAsideError
		wrong *replicator.ChangeError
	)
	switch {
	case errors.As(err, &full):
		return refuser.NotRun(refuser.Overloaded, err.Error(), "come back after the time in Retry-After").After(retryAfter)
	case errors.As(err, &large):
		return refuser.NotRun(refuser.TooLarge, err.Error(), "send less at once")
	case errors.As(err, &aside):
		return refuser.NotRun(refuser.NoMajority, err.Error(), "ask another keeper")
	case errors.As(err, &wrong):
		return refuser.NotRun(refuser.Conflict, wrong.Problem, wrong.Remedy)
	default:
		return errNoLeader()
	}
}
