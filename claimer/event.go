package claimer

import (
	"cmp"
	"errors"
	"fmt"
	"time"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
)

// Bounds of events.
const (
	// MaxHorizon bounds how long a key is remembered.
	MaxHorizon = configurer.MaxClaimHorizon
	// MaxAdvance bounds one step of the table's clock. A leader proposes a step
	// every AdvanceInterval. If more than MaxAdvance passes between two steps,
	// the rest is not counted and claims are kept longer.
	MaxAdvance = time.Minute
	// AdvanceInterval is the time between the steps that a leader proposes.
	AdvanceInterval = time.Second
	// MaxRequestIDBytes bounds the length of the id of the claiming request.
	MaxRequestIDBytes = 128
)

// Event is one entry of a claim group's log.
type Event interface{ isEvent() }

// acquire claims a key.
type acquire struct {
	customer  identifier.Customer
	keyDigest keyDigest
	binding   binding
	request   identifier.RequestID
	token     Token
	horizon   time.Duration
	runFor    time.Duration
}

// settle stores the receipt of a claim.
type settle struct {
	keyDigest keyDigest
	token     Token
	receipt   Receipt
}

// release removes a claim for which nothing was sent.
type release struct {
	keyDigest keyDigest
	token     Token
}

// abandon records that a claim has no receipt and that none is expected.
type abandon struct {
	keyDigest keyDigest
	token     Token
}

// Advance advances the table's clock. The leader of the group proposes it. An
// Advance whose term and step are not after those of the last one that took
// effect is a repetition or comes from a deposed leader, and has no effect.
type Advance struct {
	// Term is the term of the leader. Step numbers the steps of the term from
	// 1.
	Term identifier.Term
	Step uint64
	// Elapsed is the time since the answer to the leader's previous step, on
	// its monotonic clock.
	Elapsed time.Duration
}

// isAfter reports whether ev follows other by term and step.
func (ev Advance) isAfter(other Advance) bool {
	return cmp.Or(cmp.Compare(ev.Term, other.Term), cmp.Compare(ev.Step, other.Step)) > 0
}

// SetBounds changes the bounds of the table. Claims and receipts that exceed
// the new bounds are kept.
type SetBounds struct {
	// Claims bounds the number of held claims; 0 means DefaultClaims.
	Claims int
	// ReceiptBytes bounds the total size of their receipts, with bodies and
	// headers; 0 means DefaultReceiptBytes.
	ReceiptBytes int64
}

func (acquire) isEvent()   {}
func (settle) isEvent()    {}
func (release) isEvent()   {}
func (abandon) isEvent()   {}
func (Advance) isEvent()   {}
func (SetBounds) isEvent() {}

// acquireOf returns the event that claims c.
func acquireOf(c *Claim) acquire {
	return acquire{
		customer: c.Customer, keyDigest: c.keyDigest(), binding: c.binding(), request: c.Request,
		token: c.Token, horizon: c.Horizon, runFor: c.RunFor,
	}
}

// check returns an error if the claim is malformed or its horizon is out of
// range or too short for its run time.
func (ev *acquire) check() error {
	if err := ev.customer.Check(); err != nil {
		return err
	}
	switch {
	case ev.token == Token{}:
		return errors.New("the claim has no token: give each call a new one")
	case len(ev.request) > MaxRequestIDBytes:
		return fmt.Errorf("the request id is too long: use at most %d bytes", MaxRequestIDBytes)
	case ev.horizon <= 0 || ev.horizon > MaxHorizon:
		return fmt.Errorf("the claim horizon %v is out of range: set limits.claimHorizon to at most %v", ev.horizon, MaxHorizon)
	case ev.runFor < 0 || ev.runFor >= ev.horizon:
		return fmt.Errorf("the request may run for %v, which the claim horizon %v does not exceed: raise limits.claimHorizon", ev.runFor, ev.horizon)
	default:
		return nil
	}
}
