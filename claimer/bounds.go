package claimer

import (
	"time"

	"cyclamenhub.org/identifier"
)

// minSweep is the number of released records that are left in order without a
// sweep.
const minSweep = 1024

// maxClaims returns the bound on held claims.
func (t *Table) maxClaims() int {
	if t.bounds.Claims > 0 {
		return t.bounds.Claims
	}
	return DefaultClaims
}

// maxReceiptBytes returns the bound on receipts.
func (t *Table) maxReceiptBytes() int64 {
	if t.bounds.ReceiptBytes > 0 {
		return t.bounds.ReceiptBytes
	}
	return DefaultReceiptBytes
}

// isFull reports whether a claim of c would exceed a bound.
func (t *Table) isFull(c identifier.Customer) bool {
	if len(t.held) >= t.maxClaims() {
		return true
	}
	owner, ok := t.customers[c]
	return ok && owner.held >= max(1, t.maxClaims()/customerPart)
}

// tallyOf returns the count of what c holds.
func (t *Table) tallyOf(c identifier.Customer) *tally {
	owner, ok := t.customers[c]
	if !ok {
		owner = &tally{customer: c}
		if t.customers == nil {
			t.customers = make(map[identifier.Customer]*tally)
		}
		t.customers[c] = owner
	}
	return owner
}

// add keeps r as the newest.
func (t *Table) add(r *record) {
	if t.held == nil {
		t.held = make(map[name]*record)
	}
	t.held[r.name] = r
	t.order = append(t.order, r)
	r.owner.held++
	t.receiptBytes += int64(len(r.receipt))
}

// forget takes r out of all but order.
func (t *Table) forget(r *record) {
	delete(t.held, r.name)
	t.receiptBytes -= int64(len(r.receipt))
	if r.owner.held--; r.owner.held == 0 {
		delete(t.customers, r.owner.customer)
	}
}

// advance moves the clock and forgets the oldest claims whose horizon has
// passed. A claim behind one with a longer horizon is kept as long as that one.
func (t *Table) advance(elapsed time.Duration) {
	t.now += min(max(elapsed, 0), MaxAdvance)
	t.spent.expire(t.now)
	n := 0
	for ; n < len(t.order); n++ {
		r := t.order[n]
		if r.state == stateReleased {
			t.released--
			continue
		}
		if r.expires >= t.now {
			break
		}
		t.forget(r)
	}
	clear(t.order[:n])
	t.order = t.order[n:]
}

// sweep takes the released records out of order once they are most of it.
func (t *Table) sweep() {
	if t.released < minSweep || t.released < len(t.order)/2 {
		return
	}
	kept := make([]*record, 0, len(t.order)-t.released)
	for _, r := range t.order {
		if r.state != stateReleased {
			kept = append(kept, r)
		}
	}
	t.order, t.released = kept, 0
}
