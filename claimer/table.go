package claimer

import (
	"fmt"
	"time"

	"cyclamenhub.org/identifier"
)

// The bounds of a table until SetBounds changes them.
const (
	DefaultClaims       = 100_000
	DefaultReceiptBytes = 32 << 20
	// customerPart is the part of a table that one customer may hold, as a
	// divisor.
	customerPart = 4
)

// Table is the state of one claim group. Its zero value is an empty table. One
// goroutine owns it.
type Table struct {
	// now is the table's own clock.
	now time.Duration
	// last is the newest step of the clock.
	last   Advance
	bounds SetBounds
	held   map[name]*record
	// order holds the records from the oldest to the newest, and those that
	// were released until they are swept.
	order    []*record
	released int
	// customers counts what each customer holds.
	customers    map[identifier.Customer]*tally
	receiptBytes int64
	spent        spentTokens
}

// tally counts the claims of one customer.
type tally struct {
	customer identifier.Customer
	held     int
}

// record is one claim.
type record struct {
	name      name
	binding   binding
	token     Token
	request   identifier.RequestID
	expires   time.Duration
	runsUntil time.Duration
	owner     *tally
	// receipt is the encoded receipt, which takes less than half the memory of a decoded one.
	receipt []byte
	state   recordState
}

// recordState tells how far a claim has come.
type recordState uint8

// The states of a record.
const (
	stateRunning recordState = iota
	stateLost
	stateSettled
	stateReleased
)

// reduce applies ev and returns the answer. It panics on an event without a
// case.
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
		if ev.isAfter(t.last) {
			t.last = ev
			t.advance(ev.Elapsed)
		}
		return noted{}
	case SetBounds:
		t.bounds = ev
		return noted{}
	default:
		panic(fmt.Sprintf("event %T has no case in reduce", ev))
	}
}

// acquire grants the key to the first that claims it.
func (t *Table) acquire(ev acquire) answer {
	if err := ev.check(); err != nil {
		return malformed{problem: err.Error()}
	}
	if r, ok := t.held[ev.name]; ok {
		return r.answer(ev, t.now)
	}
	if t.spent.has(ev.token) {
		return notHeld{}
	}
	if t.isFull(ev.customer) {
		return full{}
	}
	t.add(&record{
		name: ev.name, binding: ev.binding, token: ev.token, request: ev.request,
		expires: t.now + ev.horizon, runsUntil: t.now + ev.runFor, owner: t.tallyOf(ev.customer),
	})
	return Granted{}
}

// answer answers a later claim of a held key.
func (r *record) answer(ev acquire, now time.Duration) answer {
	switch {
	case r.binding != ev.binding:
		return Reused{}
	case r.state == stateSettled:
		return Settled{Receipt: mustDecodeReceipt(r.receipt)}
	case r.state == stateLost:
		return Lost{}
	case r.token == ev.token:
		// The same call of Claim, whose first answer was lost on the way.
		return Granted{}
	case now > r.runsUntil:
		return Lost{}
	default:
		return InProgress{Request: r.request}
	}
}

// settle stores the receipt. One that comes late is better than none.
func (t *Table) settle(ev settle) answer {
	r, ok := t.heldUnder(ev.name, ev.token)
	if !ok {
		return notHeld{}
	}
	if r.state == stateSettled {
		return noted{}
	}
	receipt := ev.receipt.bounded()
	encoded := encodeReceipt(receipt)
	if t.receiptBytes+int64(len(encoded)) > t.maxReceiptBytes() {
		encoded = encodeReceipt(receipt.withoutBody())
	}
	r.state, r.receipt = stateSettled, encoded
	t.receiptBytes += int64(len(encoded))
	return noted{}
}

// release forgets a claim of which nothing was sent, also one whose entry is
// still to come.
func (t *Table) release(ev release) answer {
	r, ok := t.heldUnder(ev.name, ev.token)
	if ok && r.state != stateRunning {
		return notHeld{}
	}
	t.spent.add(ev.token, t.now+spentFor)
	if !ok {
		return notHeld{}
	}
	t.forget(r)
	r.state = stateReleased
	t.released++
	t.sweep()
	return noted{}
}

// abandon notes that there will be no receipt.
func (t *Table) abandon(ev abandon) answer {
	r, ok := t.heldUnder(ev.name, ev.token)
	if !ok || r.state == stateSettled {
		return notHeld{}
	}
	r.state = stateLost
	return noted{}
}

// heldUnder returns the claim of that name if it is held under the token.
func (t *Table) heldUnder(n name, token Token) (*record, bool) {
	r, ok := t.held[n]
	return r, ok && r.token == token
}
