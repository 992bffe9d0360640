package claimer

import (
	"time"

	"cyclamenhub.org/identifier"
)

// minCompaction is the number of released records from which compactOrder
// compacts Table.order.
const minCompaction = 1024

// maxClaims returns the maximum number of held claims.
func (t *Table) maxClaims() int {
	if t.bounds.Claims > 0 {
		return t.bounds.Claims
	}
	return DefaultClaims
}

// maxReceiptBytes returns the maximum total size of the encoded receipts.
func (t *Table) maxReceiptBytes() int64 {
	if t.bounds.ReceiptBytes > 0 {
		return t.bounds.ReceiptBytes
	}
	return DefaultReceiptBytes
}

// isFull reports whether one more claim of customer c would exceed the bound of
// the table or of the customer.
func (t *Table) isFull(c identifier.Customer) bool {
	if len(t.held) >= t.maxClaims() {
		return true
	}
	usage, ok := t.customers[c]
	return ok && usage.held >= max(1, t.maxClaims()/customerShareDivisor)
}

// usageOf returns the usage of customer c and creates it if necessary.
func (t *Table) usageOf(c identifier.Customer) *customerUsage {
	usage, ok := t.customers[c]
	if !ok {
		usage = &customerUsage{customer: c}
		if t.customers == nil {
			t.customers = make(map[identifier.Customer]*customerUsage)
		}
		t.customers[c] = usage
	}
	return usage
}

// add stores r as the newest record.
func (t *Table) add(r *record) {
	if t.held == nil {
		t.held = make(map[keyDigest]*record)
	}
	t.held[r.keyDigest] = r
	t.order = append(t.order, r)
	r.usage.held++
	t.receiptBytes += int64(len(r.receipt))
}

// remove deletes r from everything except order.
func (t *Table) remove(r *record) {
	delete(t.held, r.keyDigest)
	t.receiptBytes -= int64(len(r.receipt))
	if r.usage.held--; r.usage.held == 0 {
		delete(t.customers, r.usage.customer)
	}
}

// advance advances the clock and removes expired claims, oldest first. It stops
// at the first claim that has not expired, so a claim is kept for at least as
// long as any older one.
func (t *Table) advance(elapsed time.Duration) {
	t.now += min(max(elapsed, 0), MaxAdvance)
	t.releasedTokens.expire(t.now)
	n := 0
	for ; n < len(t.order); n++ {
		r := t.order[n]
		if r.state == stateReleased {
			t.releasedRecords--
			continue
		}
		if r.expires >= t.now {
			break
		}
		t.remove(r)
	}
	clear(t.order[:n])
	t.order = t.order[n:]
}

// compactOrder removes the released records from order once there are at least
// minCompaction of them and they make up at least half of it.
func (t *Table) compactOrder() {
	if t.releasedRecords < minCompaction || t.releasedRecords < len(t.order)/2 {
		return
	}
	kept := make([]*record, 0, len(t.order)-t.releasedRecords)
	for _, r := range t.order {
		if r.state != stateReleased {
			kept = append(kept, r)
		}
	}
	t.order, t.releasedRecords = kept, 0
}
