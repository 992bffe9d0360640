package planner

import (
	"math"
	"time"

	"cyclamenhub.org/identifier"
)

// Constants of what is learnt of the platform.
const (
	// refusalFirst is the wait after a refused start; it doubles with every one
	// in a row up to refusalLimit.
	refusalFirst = 30 * time.Second
	refusalLimit = 30 * time.Minute
	// rateHalfLife is in what time a reclaim counts half.
	rateHalfLife = 6 * time.Hour
	// rateHours is how many reclaim-free host hours an unknown offer starts
	// with, and rateReclaims how many reclaims in them.
	rateHours    = 24.0
	rateReclaims = 1.0
)

// market is what the planner has learnt of the offers.
type market struct {
	records   map[OfferKey]*record
	accounted time.Time
}

// record is what is known of one offer.
type record struct {
	refusals int
	until    time.Time
	// reclaims and hours decay together; their ratio is the reclaim rate.
	reclaims, hours float64
}

// newMarket returns a market that knows nothing.
func newMarket() market { return market{records: make(map[OfferKey]*record)} }

// record returns what is known of an offer.
func (m *market) record(k OfferKey) *record {
	r, ok := m.records[k]
	if !ok {
		r = &record{reclaims: rateReclaims, hours: rateHours}
		m.records[k] = r
	}
	return r
}

// refused makes an offer wait.
func (m *market) refused(k OfferKey, now time.Time) {
	r := m.record(k)
	d := refusalLimit
	if r.refusals < 6 {
		d = min(refusalFirst<<r.refusals, refusalLimit)
	}
	r.refusals++
	r.until = now.Add(d)
}

// succeeded ends the wait of an offer.
func (m *market) succeeded(k OfferKey) {
	r := m.record(k)
	r.refusals, r.until = 0, time.Time{}
}

// reclaimed counts a reclaim.
func (m *market) reclaimed(k OfferKey) { m.record(k).reclaims++ }

// waits reports whether an offer was refused a short while ago.
func (m *market) waits(k OfferKey, now time.Time) bool {
	r, ok := m.records[k]
	return ok && now.Before(r.until)
}

// account adds the hours that hosts have run since the last call, and lets what
// is old count less.
func (m *market) account(hosts map[identifier.BackendServer]*host, now time.Time) {
	since := now.Sub(m.accounted)
	first := m.accounted.IsZero()
	m.accounted = now
	if first || since <= 0 {
		return
	}
	keep := math.Exp2(-since.Hours() / rateHalfLife.Hours())
	for _, r := range m.records {
		r.reclaims = rateReclaims + (r.reclaims-rateReclaims)*keep
		r.hours = rateHours + (r.hours-rateHours)*keep
	}
	for _, h := range hosts {
		m.record(h.offer.OfferKey).hours += since.Hours()
	}
}

// cost is the price of a slot of an offer for an hour, with what its reclaims
// waste.
func (m *market) cost(o *Offer, replaceHours float64) float64 {
	price := o.Price / float64(o.Slots)
	if !o.Reclaimable {
		return price
	}
	r := m.record(o.OfferKey)
	return price * (1 + r.reclaims/r.hours*replaceHours)
}
