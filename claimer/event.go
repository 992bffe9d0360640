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
	// every AdvanceInterval; one that was held up for longer loses the rest, so
	// that claims are kept longer.
	MaxAdvance = time.Minute
	// AdvanceInterval is the time between two steps of the table's clock.
	AdvanceInterval = time.Second
	// MaxRequestIDBytes bounds the id of the claiming request.
	MaxRequestIDBytes = 128
)

// Event is one entry of a claim group's log.
type Event interface{ isEvent() }

// acquire claims a key.
type acquire struct {
	customer identifier.Customer
	name     name
	binding  binding
	request  identifier.RequestID
	token    Token
	horizon  time.Duration
	runFor   time.Duration
}

// settle stores the receipt of a claim.
type settle struct {
	name    name
	token   Token
	receipt Receipt
}

// release gives a claim back.
type release struct {
	name  name
	token Token
}

// abandon notes that a claim has no receipt and gets none.
type abandon struct {
	name  name
	token Token
}

// Advance moves the table's clock. The group's leader proposes it. One that is
// not later than the last, by term and step, is a repetition or comes from a
// deposed leader, and changes nothing.
type Advance struct {
	// Term is that of the leader, and Step numbers its steps from 1.
	Term identifier.Term
	Step uint64
	// Elapsed is the time since the leader's step before, on its monotonic
	// clock.
	Elapsed time.Duration
}

// isAfter reports whether ev is later than other.
func (ev Advance) isAfter(other Advance) bool {
	return cmp.Or(cmp.Compare(ev.Term, other.Term), cmp.Compare(ev.Step, other.Step)) > 0
}

// SetBounds changes the table's bounds. What is held beyond them stays.
type SetBounds struct {
	// Claims bounds the held claims.
	Claims int
	// ReceiptBytes bounds the bodies and headers of their receipts.
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
		customer: c.Customer, name: c.name(), binding: c.binding(), request: c.Request,
		token: c.Token, horizon: c.Horizon, runFor: c.RunFor,
	}
}

// check refuses an acquire that could not be kept as promised.
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
