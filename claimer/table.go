package claimer

import (
	"fmt"
	"time"

	"cyclamenhub.org/identifier"
)

// The default bounds of a table, which apply until SetBounds changes them.
const (
	DefaultClaims       = 100_000
	DefaultReceiptBytes = 32 << 20
	// customerShareDivisor limits one customer to 1/customerShareDivisor of the
	// claims of a table.
	customerShareDivisor = 4
)

// Table is the state of one claim group. Its zero value is an empty table. It
// is not safe for concurrent use.
type Table struct {
	// now is the time on the table's clock.
	now time.Duration
	// lastAdvance is the last step of the clock that took effect.
	lastAdvance Advance
	bounds      SetBounds
	held        map[keyDigest]*record
	// order holds the records from the oldest to the newest. Released records
	// stay in it until advance or compactOrder removes them; releasedRecords
	// counts them.
	order           []*record
	releasedRecords int
	// customers holds the usage of each customer that holds a claim.
	customers      map[identifier.Customer]*customerUsage
	receiptBytes   int64
	releasedTokens releasedTokenSet
}

// customerUsage is the number of claims that one customer holds.
type customerUsage struct {
	customer identifier.Customer
	held     int
}

// record is one claim.
type record struct {
	keyDigest   keyDigest
	binding     binding
	token       Token
	request     identifier.RequestID
	expires     time.Duration
	runDeadline time.Duration
	usage       *customerUsage
	// receipt is the encoded receipt, which takes less than half the memory of
	// a decoded one.
	receipt []byte
	state   recordState
}

// recordState is the state of a claim.
type recordState uint8

// The states of a record.
const (
	stateRunning recordState = iota
	stateOutcomeUnknown
	stateSettled
	stateReleased
)

// reduce applies ev and returns the answer. It panics if the type of ev is
// unknown.
func (t *Table) reduce(ev Event) answer {
	switch ev := ev.(type) {
	case acquire:
		return t.acquire(ev)
	case settle:
		return t.settle(ev)
	case release:
		return t.release(ev)
	case abandon:
		return t.abandon(ev)
	case Advance:
		if ev.isAfter(t.lastAdvance) {
			t.lastAdvance = ev
			t.advance(ev.Elapsed)
		}
		return acknowledged{}
	case SetBounds:
		t.bounds = ev
		return acknowledged{}
	default:
		panic(fmt.Sprintf("event %T has no case in reduce", ev))
	}
}

// acquire grants the key if it is not held, the token was not released and the
// table has room.
func (t *Table) acquire(ev acquire) answer {
	if err := ev.check(); err != nil {
		return malformed{problem: err.Error()}
	}
	if r, ok := t.held[ev.keyDigest]; ok {
		return r.answer(ev, t.now)
	}
	if t.releasedTokens.has(ev.token) {
		return notHeld{}
	}
	if t.isFull(ev.customer) {
		return full{}
	}
	t.add(&record{
		keyDigest: ev.keyDigest, binding: ev.binding, token: ev.token, request: ev.request,
		expires: t.now + ev.horizon, runDeadline: t.now + ev.runFor, usage: t.usageOf(ev.customer),
	})
	return Granted{}
}

// answer returns the answer to a later claim of the key that r holds.
func (r *record) answer(ev acquire, now time.Duration) answer {
	switch {
	case r.binding != ev.binding:
		return Reused{}
	case r.state == stateSettled:
		return Settled{Receipt: mustDecodeReceipt(r.receipt)}
	case r.state == stateOutcomeUnknown:
		return OutcomeUnknown{}
	case r.token == ev.token:
		// This is the same call of Claim; its first answer did not arrive.
		return Granted{}
	case now > r.runDeadline:
		return OutcomeUnknown{}
	default:
		return InProgress{Request: r.request}
	}
}

// settle stores the receipt, also if it arrives after the run time of the claim
// has passed or the claim was abandoned.
func (t *Table) settle(ev settle) answer {
	r, ok := t.heldWithToken(ev.keyDigest, ev.token)
	if !ok {
		return notHeld{}
	}
	if r.state == stateSettled {
		return acknowledged{}
	}
	receipt := ev.receipt.bounded()
	encoded := encodeReceipt(receipt)
	if t.receiptBytes+int64(len(encoded)) > t.maxReceiptBytes() {
		encoded = encodeReceipt(receipt.withoutBody())
	}
	r.state, r.receipt = stateSettled, encoded
	t.receiptBytes += int64(len(encoded))
	return acknowledged{}
}

// release removes a claim for which nothing was sent. It remembers the token
// even if the claim is not held, so that a delayed acquire entry has no effect.
func (t *Table) release(ev release) answer {
	r, ok := t.heldWithToken(ev.keyDigest, ev.token)
	if ok && r.state != stateRunning {
		return notHeld{}
	}
	t.releasedTokens.add(ev.token, t.now+releasedTokenTTL)
	if !ok {
		return notHeld{}
	}
	t.remove(r)
	r.state = stateReleased
	t.releasedRecords++
	t.compactOrder()
	return acknowledged{}
}

// abandon records that the claim will get no receipt and its outcome is
// unknown.
func (t *Table) abandon(ev abandon) answer {
	r, ok := t.heldWithToken(ev.keyDigest, ev.token)
	if !ok || r.state == stateSettled {
		return notHeld{}
	}
	r.state = stateOutcomeUnknown
	return acknowledged{}
}

// heldWithToken returns the claim with that key digest and reports whether it
// is held with the token.
func (t *Table) heldWithToken(key keyDigest, token Token) (*record, bool) {
	r, ok := t.held[key]
	return r, ok && r.token == token
}
