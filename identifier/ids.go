package identifier

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
)

// RequestID identifies a request of a caller across all its attempts.
type RequestID string

// AttemptID identifies one attempt to run a request on one backend server.
type AttemptID string

// PartID identifies a part of prompts. Prompts with the same part have its id in
// common.
type PartID string

// ChangeID identifies a configuration change. A retry of the change carries the
// same id.
type ChangeID string

// IdempotencyKey is the key by which a caller identifies a non-idempotent action.
type IdempotencyKey string

// OrderID identifies an order (a command) to a backend server or to the platform.
type OrderID string

// RolloutID identifies the rollout of a service from one version to another.
type RolloutID string

// ReplicaID identifies a replica of a log. A replica that lost its disk rejoins
// with a new id.
type ReplicaID uint64

// GroupID identifies a replication group. Group 0 replicates the configuration.
type GroupID uint32

// Term is the number of a leader's term.
type Term uint64

// LogIndex is a position in a replicated log. The first entry has index 1.
type LogIndex uint64

// Revision is the number of an accepted configuration. The first has revision 1.
type Revision uint64

// FencingNumber is a fencing token that increases with every change of leader. A
// backend server that checks it refuses orders with a lower number than the highest
// it has seen.
type FencingNumber uint64

// Tokens is a number of model tokens.
type Tokens int64

// Share is a fraction from 0 to 1.
type Share float64

// RequestRate is a number of requests per second.
type RequestRate float64

// Check returns an error if s is not between 0 and 1.
func (s Share) Check() error {
	if s >= 0 && s <= 1 {
		return nil
	}
	return fmt.Errorf("share %v is not between 0 and 1: write 0.05 for 5%%", float64(s))
}

// idBytes is the number of random bytes in a generated id.
const idBytes = 16

// NewRequestID returns a random request id.
func NewRequestID() RequestID { return RequestID("r-" + randomHex()) }

// NewChangeID returns a random change id.
func NewChangeID() ChangeID { return ChangeID("c-" + randomHex()) }

// randomHex returns idBytes random bytes in hexadecimal digits.
func randomHex() string {
	var b [idBytes]byte
	// rand.Read never returns an error; it crashes the process instead.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
