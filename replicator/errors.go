package replicator

import (
	"fmt"

	"cyclamenhub.org/identifier"
)

// NotLeaderError refuses what only a leader can do.
type NotLeaderError struct {
	// Leader is the replica to ask, or 0 if none is known.
	Leader identifier.ReplicaID
}

// Error names the leader to ask.
func (e *NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "no leader is known: try again after an election"
	}
	return fmt.Sprintf("this replica does not lead: ask replica %d", e.Leader)
}

// FullError refuses what would exceed a bound.
type FullError struct {
	// Buffer names what is full.
	Buffer string
	Limit  int
}

// Error names the buffer and its bound.
func (e *FullError) Error() string {
	return fmt.Sprintf("%s is full at %d: try again once the present ones are committed", e.Buffer, e.Limit)
}

// TooLargeError refuses an entry.
type TooLargeError struct{ Bytes, Limit int }

// Error names both sizes.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the entry has %d bytes: keep it within %d", e.Bytes, e.Limit)
}

// ChangeError refuses a change of membership.
type ChangeError struct{ Problem, Remedy string }

// Error names the problem and the remedy.
func (e *ChangeError) Error() string { return e.Problem + ": " + e.Remedy }

// SteppedAsideError refuses everything after the storage failed.
type SteppedAsideError struct{}

// Error names the remedy.
func (*SteppedAsideError) Error() string {
	return "this replica stepped aside because its storage failed: mend the disk and start it again"
}
