package claimer

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"cyclamenhub.org/identifier"
)

// Digest is the SHA-256 of a request body.
type Digest [sha256.Size]byte

// idBytes is the size of the table's own ids: 128 bits, too many to meet the
// same one twice by chance or to find one that another customer's key has.
const idBytes = 16

// Token tells one call of Claim from every other.
type Token [idBytes]byte

// NewToken returns a random token.
func NewToken() Token {
	var t Token
	// Read never returns an error; it ends the process instead.
	_, _ = rand.Read(t[:])
	return t
}

// Claim binds an idempotency key to one action of one customer.
type Claim struct {
	Customer identifier.Customer
	Key      identifier.IdempotencyKey
	Service  identifier.Service
	// Route is the method and path of the call.
	Route  identifier.Route
	Digest Digest
	// Request is the request that makes the claim.
	Request identifier.RequestID
	// Token is fresh for every call of Claim.
	Token Token
	// Horizon is how long the key is remembered. It is longer than any caller
	// may retry and any request may run.
	Horizon time.Duration
	// RunFor is how long the action may run. After that, without a receipt, its
	// outcome is unknown.
	RunFor time.Duration
}

// name identifies a key of a customer.
type name [idBytes]byte

// binding identifies what a key is bound to.
type binding [idBytes]byte

// name returns the digest of what is unique.
func (c *Claim) name() name {
	return name(digestOf(string(c.Customer), string(c.Key)))
}

// binding returns the digest of what a later request has to share.
func (c *Claim) binding() binding {
	return binding(digestOf(string(c.Service), string(c.Route), string(c.Digest[:])))
}

// digestOf returns idBytes of the SHA-256 of the parts with their lengths.
func digestOf(parts ...string) []byte {
	var buf [512]byte
	b := buf[:0]
	for _, part := range parts {
		b = binary.BigEndian.AppendUint32(b, uint32(len(part)))
		b = append(b, part...)
	}
	sum := sha256.Sum256(b)
	return sum[:idBytes]
}

// GroupOf returns the claim group of a key, from 0 to groups-1. Every host must
// know the same number of groups: changing it moves keys, and a moved key is
// claimed anew. It may change only while no claim is held.
func GroupOf(c identifier.Customer, k identifier.IdempotencyKey, groups int) int {
	return int(binary.BigEndian.Uint64(digestOf(string(c), string(k))) % uint64(groups))
}
