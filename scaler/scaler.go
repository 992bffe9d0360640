// Package scaler decides how many backend servers of a service are ordered in
// each failure domain.
package scaler

import (
	"maps"
	"slices"
	"time"

	"cyclamenhub.org/discoverer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/matcher"
)

// Interval is the time between two plans.
const Interval = time.Second

// resendAfter is after how long an order that was accepted, or refused for want
// of servers, is given again where the list does not show its effect.
const resendAfter = 5 * time.Second

// Place is what one number of backend servers is ordered for.
type Place struct {
	Service       identifier.Service
	FailureDomain identifier.FailureDomain
	Reclaimable   bool
}

// Order asks for a number of backend servers in a place.
type Order struct {
	Place
	Count int
	Why   string
}

// ordered is the last order for a place.
type ordered struct {
	count int
	at    time.Time
	done  bool
}

// Scaler plans the orders of one holder of the duty. It is not safe for
// concurrent use.
type Scaler struct{ last map[Place]ordered }

// New returns a Scaler that has ordered nothing.
func New() *Scaler { return &Scaler{last: make(map[Place]ordered)} }

// Plan returns the orders that are due.
func (s *Scaler) Plan(now time.Time, services []matcher.Service, l *discoverer.Listing) []Order {
	var out []Order
	for i := range services {
		if c := services[i].Scaling; c != nil {
			out = append(out, s.plan(now, &services[i], c, l)...)
		}
	}
	return out
}

// plan returns the orders for one service.
func (s *Scaler) plan(now time.Time, sv *matcher.Service, c *matcher.Scaling, l *discoverer.Listing) []Order {
	var out []Order
	for _, d := range slices.Sorted(maps.Keys(c.Prices)) {
		for _, want := range []struct {
			reclaimable bool
			count       int
		}{{true, 1}, {false, 1}} {
			p := Place{sv.Name, d, want.reclaimable}
			last, ok := s.last[p]
			if ok && last.count == want.count && (last.done || now.Sub(last.at) < resendAfter) {
				continue
			}
			out = append(out, Order{Place: p, Count: want.count, Why: "one of each kind in every failure domain"})
		}
	}
	return out
}

// Answer takes in what became of an order.
func (s *Scaler) Answer(now time.Time, o Order, accepted, unavailable bool) {
	if !accepted && !unavailable {
		return // It is given again at the next plan.
	}
	s.last[o.Place] = ordered{count: o.Count, at: now, done: accepted}
}
