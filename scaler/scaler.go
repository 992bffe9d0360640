package scaler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"cyclamenhub.org/discoverer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/matcher"
)

// Interval is the time between two plans.
const Interval = 500 * time.Millisecond

const (
	// resendAfter is after how long an order is given again where the list does
	// not show its effect.
	resendAfter = 5 * time.Second
	// dryFor is how long a domain that had no reclaimable server is left alone.
	dryFor = 2 * time.Second
	// keepFor is how long servers at the full price are kept once they are not
	// needed any more.
	keepFor = 4 * time.Second
	// reclaimablePerDomain is how many reclaimable servers each domain gets.
	reclaimablePerDomain = 3
	// floorServers is how many servers at the full price there are always.
	floorServers = 1
	// neededServers is how many servers the load needs.
	neededServers = 7
)

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
	// Why tells the inputs of the decision.
	Why string
}

// ordered is the last order for a place.
type ordered struct {
	count int
	at    time.Time
	// accepted tells that the platform took it.
	accepted bool
}

// Scaler plans the orders of one holder of the duty. It is not safe for
// concurrent use.
type Scaler struct {
	last map[Place]ordered
	// surplus is since when a place has had more at the full price than needed.
	surplus map[Place]time.Time
}

// New returns a Scaler that has ordered nothing.
func New() *Scaler {
	return &Scaler{last: make(map[Place]ordered), surplus: make(map[Place]time.Time)}
}

// Plan returns the orders that are due.
func (s *Scaler) Plan(now time.Time, services []matcher.Service, l *discoverer.Listing) []Order {
	var out []Order
	for i := range services {
		if c := services[i].Scaling; c != nil {
			out = append(out, s.plan(now, services[i].Name, c, l)...)
		}
	}
	return out
}

// count is what is listed of one kind in one domain.
type count struct{ ready, leaving int }

// listed counts the servers of a service by place.
func listed(service identifier.Service, l *discoverer.Listing) map[Place]count {
	out := make(map[Place]count)
	for i := range l.Instances {
		in := &l.Instances[i]
		if in.Service != service {
			continue
		}
		p := Place{service, in.FailureDomain, in.Reclaimable}
		c := out[p]
		if in.Draining {
			c.leaving++
		} else {
			c.ready++
		}
		out[p] = c
	}
	return out
}

// plan returns the orders for one service.
func (s *Scaler) plan(now time.Time, service identifier.Service, c *matcher.Scaling, l *discoverer.Listing) []Order {
	counts := listed(service, l)
	domains := slices.SortedFunc(maps.Keys(c.Prices), func(a, b identifier.FailureDomain) int {
		return cmp.Or(cmp.Compare(c.Prices[a], c.Prices[b]), cmp.Compare(a, b))
	})
	var reclaimable, full int
	for p, n := range counts {
		if p.Reclaimable {
			reclaimable += n.ready
		} else {
			full += n.ready
		}
	}
	why := fmt.Sprintf("%d reclaimable and %d others ready, %d needed", reclaimable, full, neededServers)
	var out []Order
	add := func(p Place, want int) {
		if o, due := s.due(now, p, want, counts[p], why); due {
			out = append(out, o)
		}
	}
	for _, d := range domains {
		add(Place{service, d, true}, min(reclaimablePerDomain, c.Max-floorServers))
	}
	wanted := spread(domains, max(floorServers, neededServers-reclaimable), c.Max-reclaimablePerDomain)
	for _, d := range domains {
		add(Place{service, d, false}, s.keep(now, Place{service, d, false}, wanted[d], counts))
	}
	return out
}

// spread distributes n servers over the domains, the cheapest first, so that no
// domain gets two before every other has one.
func spread(domains []identifier.FailureDomain, n, most int) map[identifier.FailureDomain]int {
	out := make(map[identifier.FailureDomain]int)
	for round := 0; round < most && n > 0; round++ {
		for _, d := range domains {
			if n > 0 {
				out[d]++
				n--
			}
		}
	}
	return out
}

// keep returns want, or the present number while a surplus is recent.
func (s *Scaler) keep(now time.Time, p Place, want int, counts map[Place]count) int {
	present := max(counts[p].ready, s.last[p].count)
	if want >= present {
		delete(s.surplus, p)
		return want
	}
	since, ok := s.surplus[p]
	if !ok {
		since = now
		s.surplus[p] = now
	}
	if now.Sub(since) < keepFor {
		return present
	}
	return want
}

// due returns the order that brings a place to want, if it is to be given now.
func (s *Scaler) due(now time.Time, p Place, want int, n count, why string) (Order, bool) {
	last, given := s.last[p]
	age := now.Sub(last.at)
	switch {
	case !given && n.ready == want:
		return Order{}, false
	case given && last.accepted && last.count == want && (n.ready == want || age < resendAfter):
		return Order{}, false
	case given && !last.accepted && age < dryFor:
		return Order{}, false
	default:
		return Order{Place: p, Count: want, Why: why}, true
	}
}

// Answer takes in what became of an order.
func (s *Scaler) Answer(now time.Time, o Order, accepted, unavailable bool) {
	if accepted || unavailable {
		s.last[o.Place] = ordered{count: o.Count, at: now, accepted: accepted}
	}
}
