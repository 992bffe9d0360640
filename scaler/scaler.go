package scaler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/discoverer"
	"cyclamenhub.org/identifier"
)

// Interval is the time between two plans.
const Interval = 500 * time.Millisecond

const (
	// resendAfter is after how long an order is given again where the list does
	// not show its effect.
	resendAfter = 5 * time.Second
	// dryFor is how long a domain that had no reclaimable server is left alone.
	dryFor = 2 * time.Second
	// keepFor is how long servers are kept once they are not needed any more.
	keepFor = 2 * time.Second
	// floorServers is how many servers at the full price there are always.
	floorServers = 1
	// leastPerDomain is how many reclaimable servers each domain gets at least.
	// After a reclaim none may be had anywhere for a while, so that what is there
	// before has to last.
	leastPerDomain = 2
	// keepReclaimableFor is how long reclaimable servers are kept once they are
	// not needed any more: longer than a wave of the load.
	keepReclaimableFor = 15 * time.Second
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
	// surplus is since when a place has had more than needed.
	surplus map[Place]time.Time
	demand  map[identifier.Service]*demand
	// found is how many servers of each service there were at first.
	found map[identifier.Service]*found
	// fresh tells that the system has served nothing yet.
	fresh bool
}

// New returns a Scaler that has ordered nothing. Fresh tells that the system
// starts for the first time, so that nothing is at work.
func New(fresh bool) *Scaler {
	return &Scaler{fresh: fresh, last: make(map[Place]ordered), surplus: make(map[Place]time.Time), found: make(map[identifier.Service]*found), demand: make(map[identifier.Service]*demand)}
}

// Plan returns the orders that are due. Calls are those at work at each service.
func (s *Scaler) Plan(now time.Time, services []describer.Service, l *discoverer.Listing, calls map[identifier.Service]int) []Order {
	var out []Order
	for i := range services {
		if c := services[i].Scaling; c != nil {
			name := services[i].Name
			ready := readyOf(name, l)
			s.settle(now, name, ready)
			out = append(out, s.plan(now, name, c, l, s.needed(now, name, calls[name], ready))...)
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

// situation is what there is of one service.
type situation struct {
	counts map[Place]count
	// reclaimable and full count what is ready, and largest the reclaimable ones
	// of one domain.
	reclaimable, full, largest int
	// wet counts the domains that had reclaimable servers when last asked.
	wet int
}

// look takes stock of a service.
func (s *Scaler) look(service identifier.Service, domains []identifier.FailureDomain, l *discoverer.Listing) situation {
	at := situation{counts: listed(service, l)}
	for _, d := range domains {
		n := at.counts[Place{service, d, true}].ready
		at.reclaimable += n
		at.largest = max(at.largest, n)
		at.full += at.counts[Place{service, d, false}].ready
		if last, ok := s.last[Place{service, d, true}]; !ok || last.accepted {
			at.wet++
		}
	}
	return at
}

// plan returns the orders for one service that needs a number of servers.
func (s *Scaler) plan(now time.Time, service identifier.Service, c *describer.Scaling, l *discoverer.Listing, needed int) []Order {
	domains := slices.SortedFunc(maps.Keys(c.Prices), func(a, b identifier.FailureDomain) int {
		return cmp.Or(cmp.Compare(c.Prices[a], c.Prices[b]), cmp.Compare(a, b))
	})
	at := s.look(service, domains, l)
	left := at.reclaimable
	if at.wet < len(domains) {
		// None can be had to replace those of the next reclaim.
		left -= at.largest
	}
	why := fmt.Sprintf("%d needed, %d reclaimable ready in %d domains, %d counted on, %d at the full price",
		needed, at.reclaimable, at.wet, left, at.full)
	spares := reclaimableIn(domains, needed, c.Max-floorServers)
	room := make(map[identifier.FailureDomain]int, len(domains))
	for _, d := range domains {
		p := Place{service, d, true}
		room[d] = c.Max - max(s.taken(p, spares[d]), at.counts[p].ready)
	}
	wanted := spread(domains, max(floorServers, needed-left), room)
	var out []Order
	add := func(p Place, want int) {
		if o, due := s.due(now, p, s.keep(now, p, want, at.counts[p]), at.counts[p], why); due {
			out = append(out, o)
		}
	}
	for _, d := range domains {
		full := Place{service, d, false}
		add(Place{service, d, true}, min(spares[d], c.Max-s.presentAt(full, at.counts[full])))
		add(full, wanted[d])
	}
	return out
}

// presentAt returns how many servers there are in a place, starting ones
// included.
func (s *Scaler) presentAt(p Place, n count) int {
	present := n.ready
	if last := s.last[p]; last.accepted {
		present = max(present, last.count)
	}
	return present
}

// taken returns how many places reclaimable servers take up in a domain: those
// wanted, unless none can be had there now.
func (s *Scaler) taken(p Place, want int) int {
	if last, ok := s.last[p]; ok && !last.accepted {
		return 0
	}
	return want
}

// isIdle reports whether nothing was ever at work, so that a surplus need not be
// kept for a while.
func (s *Scaler) isIdle(service identifier.Service) bool {
	return s.fresh && s.demand[service] == nil
}

// keep returns want, or the present number while a surplus is recent.
func (s *Scaler) keep(now time.Time, p Place, want int, n count) int {
	present := s.presentAt(p, n)
	if want >= present {
		delete(s.surplus, p)
		return want
	}
	if !s.found[p.Service].settled {
		return present
	}
	since, ok := s.surplus[p]
	if !ok {
		since = now
		s.surplus[p] = now
	}
	if now.Sub(since) < keepTime(p) && !s.isIdle(p.Service) {
		return present
	}
	return want
}

// keepTime returns how long a surplus is kept.
func keepTime(p Place) time.Duration {
	if p.Reclaimable {
		return keepReclaimableFor
	}
	return keepFor
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
