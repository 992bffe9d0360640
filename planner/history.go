package planner

import (
	"math"
	"time"

	"cyclamenhub.org/identifier"
)

// Constants of the back-off and of the estimated reclaim rate.
const (
	// initialBackoff is the back-off after a refused start; it doubles with
	// every consecutive refusal, up to maxBackoff.
	initialBackoff = 30 * time.Second
	maxBackoff     = 30 * time.Minute
	// reclaimHalfLife is the time after which a past reclaim counts half.
	reclaimHalfLife = 6 * time.Hour
	// priorReclaims in priorHours host hours is the reclaim rate assumed for an
	// offer without history.
	priorHours    = 24.0
	priorReclaims = 1.0
)

// offerHistory holds the refusals and reclaims observed for each offer.
type offerHistory struct {
	records       map[OfferKey]*offerRecord
	lastAccounted time.Time
}

// offerRecord is the history of one offer.
type offerRecord struct {
	refusals int
	retryAt  time.Time
	// reclaims and hours decay at the same rate; their ratio is the reclaim
	// rate.
	reclaims, hours float64
}

// newOfferHistory returns an empty history.
func newOfferHistory() offerHistory { return offerHistory{records: make(map[OfferKey]*offerRecord)} }

// record returns the record of an offer and creates it if there is none.
func (h *offerHistory) record(k OfferKey) *offerRecord {
	r, ok := h.records[k]
	if !ok {
		r = &offerRecord{reclaims: priorReclaims, hours: priorHours}
		h.records[k] = r
	}
	return r
}

// recordRefusal counts a refused start and sets the back-off of the offer.
func (h *offerHistory) recordRefusal(k OfferKey, now time.Time) {
	r := h.record(k)
	d := maxBackoff
	if r.refusals < 6 {
		d = min(initialBackoff<<r.refusals, maxBackoff)
	}
	r.refusals++
	r.retryAt = now.Add(d)
}

// recordStart clears the refusals and the back-off of an offer after a
// successful start.
func (h *offerHistory) recordStart(k OfferKey) {
	r := h.record(k)
	r.refusals, r.retryAt = 0, time.Time{}
}

// recordReclaim counts a reclaim.
func (h *offerHistory) recordReclaim(k OfferKey) { h.record(k).reclaims++ }

// backingOff reports whether the back-off of an offer has not ended.
func (h *offerHistory) backingOff(k OfferKey, now time.Time) bool {
	r, ok := h.records[k]
	return ok && now.Before(r.retryAt)
}

// account adds the hours that hosts have run since the last call and decays the
// older reclaims and hours.
func (h *offerHistory) account(hosts map[identifier.BackendServer]*host, now time.Time) {
	elapsed := now.Sub(h.lastAccounted)
	first := h.lastAccounted.IsZero()
	h.lastAccounted = now
	if first || elapsed <= 0 {
		return
	}
	decay := math.Exp2(-elapsed.Hours() / reclaimHalfLife.Hours())
	for _, r := range h.records {
		r.reclaims = priorReclaims + (r.reclaims-priorReclaims)*decay
		r.hours = priorHours + (r.hours-priorHours)*decay
	}
	for _, running := range hosts {
		h.record(running.offer.OfferKey).hours += elapsed.Hours()
	}
}

// cost returns the price of one slot of an offer per hour, including the
// expected cost of its reclaims: replaceHours are paid for and lost with each.
func (h *offerHistory) cost(o *Offer, replaceHours float64) float64 {
	price := o.Price / float64(o.Slots)
	if !o.Reclaimable {
		return price
	}
	r := h.record(o.OfferKey)
	return price * (1 + r.reclaims/r.hours*replaceHours)
}
