package identifier

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
)

// RequestID names one request of a caller over its whole life.
type RequestID string

// AttemptID names one attempt to have a request answered by one backend
// server.
type AttemptID string

// ChangeID names one change of configuration; a resent change carries the same
// id.
type ChangeID string

// IdempotencyKey is the caller's name for a non-idempotent action.
type IdempotencyKey string

// OrderID names one order to a backend server or to the platform.
type OrderID string

// RolloutID names one move of a service from a version to another.
type RolloutID string

// ReplicaID names one replica of a log. A replica that lost its disk comes
// back under a new id.
type ReplicaID uint64

// GroupID numbers a replication group. Group 0 carries the configuration.
type GroupID uint32

// Term numbers the reign of one leader.
type Term uint64

// LogIndex is a position in a replicated log; the first entry has index 1.
type LogIndex uint64

// Revision numbers the accepted configurations; the first has revision 1.
type Revision uint64

// FencingNumber rises with every change of leader. A backend server that
// checks it refuses orders carrying a lower one than it has seen.
type FencingNumber uint64

// Tokens counts tokens of a model.
type Tokens int64

// Share is a part of a whole, from 0 to 1.
type Share float64

// Check reports whether s lies between 0 and 1.
func (s Share) Check() error {
	if s >= 0 && s <= 1 {
		return nil
	}
	return fmt.Errorf("share %v is not between 0 and 1: write 0.05 for 5%%", float64(s))
}

// idBytes is the number of random bytes in a new id.
const idBytes = 16

// NewRequestID returns a random request id.
func NewRequestID() RequestID { return RequestID("r-" + randomHex()) }

// NewChangeID returns a random change id.
func NewChangeID() ChangeID { return ChangeID("c-" + randomHex()) }

// randomHex returns idBytes random bytes in hexadecimal digits.
func randomHex() string {
	var b [idBytes]byte
	// Read never returns an error; it ends the process instead.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
