package dispatcher

import (
	"context"
	"crypto/sha256"
	"net/http"
	"sync"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
)

// Digest is the SHA-256 of a request body.
type Digest [sha256.Size]byte

// Claim binds an idempotency key to one action of one customer.
type Claim struct {
	Customer identifier.Customer
	Key      identifier.IdempotencyKey
	Service  identifier.Service
	Route    identifier.Route
	Digest   Digest
	// Request is the request that makes the claim.
	Request identifier.RequestID
}

// Receipt is the durable record of a claimed action's answer.
type Receipt struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// Verdict answers a claim. It is one of Granted, Settled, InProgress, Lost and
// Reused.
type Verdict interface{ isVerdict() }

// Granted allows the one send.
type Granted struct{}

// Settled holds the receipt of the action, which ran before.
type Settled struct{ Receipt Receipt }

// InProgress tells that another request holds the claim and is at work.
type InProgress struct{ Request identifier.RequestID }

// Lost tells that the action may have run and has no receipt.
type Lost struct{}

// Reused tells that the key was claimed for a different action.
type Reused struct{}

func (Granted) isVerdict()    {}
func (Settled) isVerdict()    {}
func (InProgress) isVerdict() {}
func (Lost) isVerdict()       {}
func (Reused) isVerdict()     {}

// Claimer grants each key once. A claim without a receipt never authorises
// another send (intent before publication, and durable receipts, as in the
// Salt paper).
type Claimer interface {
	// Claim answers c, or returns an error where no majority could be asked.
	Claim(ctx context.Context, c Claim) (Verdict, error)
	// Settle stores the receipt before the answer leaves.
	Settle(ctx context.Context, c Claim, r Receipt) error
	// Release gives back a claim of which surely nothing was sent.
	Release(ctx context.Context, c Claim) error
	// Abandon notes that the action may have run and has no receipt.
	Abandon(ctx context.Context, c Claim) error
}

// claimName is the part of a claim that is unique.
type claimName struct {
	customer identifier.Customer
	key      identifier.IdempotencyKey
}

type heldClaim struct {
	claim   Claim
	verdict Verdict
}

// MemoryClaimer grants claims within one process. It forgets them when the
// process ends, so that it serves tests and trials only.
type MemoryClaimer struct {
	mu   sync.Mutex
	max  int
	held map[claimName]*heldClaim
}

// NewMemoryClaimer returns a claimer that holds up to n claims.
func NewMemoryClaimer(n int) *MemoryClaimer {
	return &MemoryClaimer{max: n, held: make(map[claimName]*heldClaim)}
}

// Claim grants c to the first who asks.
func (m *MemoryClaimer) Claim(_ context.Context, c Claim) (Verdict, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	name := claimName{c.Customer, c.Key}
	h, ok := m.held[name]
	if ok {
		return h.answer(c), nil
	}
	if len(m.held) >= m.max {
		return nil, refuser.NotRun(refuser.Overloaded, "the claim table is full", "raise its bound or wait until claims expire")
	}
	m.held[name] = &heldClaim{claim: c, verdict: InProgress{c.Request}}
	return Granted{}, nil
}

func (h *heldClaim) answer(c Claim) Verdict {
	if h.claim.Service != c.Service || h.claim.Route != c.Route || h.claim.Digest != c.Digest {
		return Reused{}
	}
	return h.verdict
}

// Settle stores the receipt.
func (m *MemoryClaimer) Settle(_ context.Context, c Claim, r Receipt) error {
	m.set(c, Settled{r})
	return nil
}

// Release forgets the claim.
func (m *MemoryClaimer) Release(_ context.Context, c Claim) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.held, claimName{c.Customer, c.Key})
	return nil
}

// Abandon marks the claim as lost.
func (m *MemoryClaimer) Abandon(_ context.Context, c Claim) error {
	m.set(c, Lost{})
	return nil
}

func (m *MemoryClaimer) set(c Claim, v Verdict) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h, ok := m.held[claimName{c.Customer, c.Key}]; ok && h.claim.Request == c.Request {
		h.verdict = v
	}
}
