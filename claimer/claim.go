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

// idBytes is the size of tokens and of the digests that the table uses as ids.
// With 128 bits, accidental collisions are negligible, and it is infeasible to
// find a key whose digest equals that of another customer's key.
const idBytes = 16

// Token identifies one call of Claim.
type Token [idBytes]byte

// NewToken returns a random token.
func NewToken() Token {
	var t Token
	// rand.Read never returns an error; it crashes the process instead.
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
	// Request is the id of the claiming request.
	Request identifier.RequestID
	// Token is unique to each call of Claim.
	Token Token
	// Horizon is how long the key is remembered. It must exceed both the time
	// in which a caller may retry and the time that a request may run.
	Horizon time.Duration
	// RunFor is how long the action may run. If there is no receipt after that,
	// the outcome of the action is unknown.
	RunFor time.Duration
}

// keyDigest identifies an idempotency key of one customer.
type keyDigest [idBytes]byte

// binding is a digest of the action that a key is bound to.
type binding [idBytes]byte

// keyDigest returns the digest of the customer and the key.
func (c *Claim) keyDigest() keyDigest {
	return keyDigest(digestOf(string(c.Customer), string(c.Key)))
}

// binding returns the digest of the service, the route and the body digest. A
// later request under the key must have the same binding.
func (c *Claim) binding() binding {
	return binding(digestOf(string(c.Service), string(c.Route), string(c.Digest[:])))
}

// digestOf returns the first idBytes bytes of the SHA-256 of the parts, each
// preceded by its length.
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

// GroupOf returns the claim group of a key, from 0 to groups-1. All hosts must
// use the same number of groups. Changing the number moves keys to other
// groups, where they can be claimed a second time, so it may change only while
// no claim is held.
func GroupOf(c identifier.Customer, k identifier.IdempotencyKey, groups int) int {
	return int(binary.BigEndian.Uint64(digestOf(string(c), string(k))) % uint64(groups))
}
