package replicator

import (
	"fmt"

	"cyclamenhub.org/identifier"
)

// NotLeaderError reports that only a leader can handle the request.
type NotLeaderError struct {
	// Leader is the replica to ask, or 0 if none is known.
	Leader identifier.ReplicaID
}

// Error names the leader, if it is known.
func (e *NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "no leader is known: try again after an election"
	}
	return fmt.Sprintf("this replica does not lead: ask replica %d", e.Leader)
}

// FullError reports that a request would exceed a limit.
type FullError struct {
	// Buffer names the list or space that is full.
	Buffer string
	Limit  int
}

// Error names the buffer and its limit.
func (e *FullError) Error() string {
	return fmt.Sprintf("%s is full at %d: try again once the present ones are committed", e.Buffer, e.Limit)
}

// TooLargeError reports that an entry exceeds the size limit.
type TooLargeError struct{ Bytes, Limit int }

// Error names the size and the limit, in bytes.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the entry has %d bytes: keep it within %d", e.Bytes, e.Limit)
}

// ChangeError reports why a change of membership is refused.
type ChangeError struct{ Problem, Remedy string }

// Error names the problem and the remedy.
func (e *ChangeError) Error() string { return e.Problem + ": " + e.Remedy }

// HaltedError reports that the replica halted after a Halt event.
type HaltedError struct{}

// Error names the cause and the remedy.
func (*HaltedError) Error() string {
	return "this replica stepped aside because its storage failed: mend the disk and start it again"
}
