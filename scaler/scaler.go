package scaler

import (
	"cmp"
	"fmt"
	"maps"
	"math"
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
	// keepFor is how long servers are kept once they are not needed any more.
	keepFor = 2 * time.Second
	// floorServers is how many servers at the full price there are always.
	floorServers = 1
	// callsPerServer is how many calls at work one server is meant for: more
	// would still fit, at a slower pace.
	callsPerServer = 16.0
	// leastNeeded is how many servers are needed however little is at work.
	leastNeeded = 3
	// startPart is the part of the servers found that is needed until the load is
	// known: who set them up expected some load.
	startPart = 0.75
	// settleFor is how long the number of servers found has to stand before any
	// is given up: a list that lags shows them one after the other.
	settleFor = 1500 * time.Millisecond
	// mostGrowth bounds the need by the recent peak of the servers that were
	// ready: calls that queue at too few servers would have the need overshoot.
	// readyHalf is the time in which that peak loses half its weight.
	mostGrowth = 1.6
	readyHalf  = 20 * time.Second
	// demandHalf is the time in which a higher load of the past loses half its
	// weight. A rise counts at once.
	demandHalf = 6 * time.Second
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

// demand is the recent peaks of the calls at work and of the servers that were
// ready.
type demand struct{ calls, ready peak }

// peak is a highest value that fades.
type peak struct {
	value float64
	at    time.Time
}

// raise takes a value in and returns the peak, which loses half its weight in
// the time half.
func (p *peak) raise(now time.Time, v float64, half time.Duration) float64 {
	if !p.at.IsZero() {
		p.value *= math.Exp2(-now.Sub(p.at).Seconds() / half.Seconds())
	}
	p.value, p.at = max(p.value, v), now
	return p.value
}

// found is how many servers of a service there were before the first order.
type found struct {
	servers int
	since   time.Time
	settled bool
}

// New returns a Scaler that has ordered nothing. Fresh tells that the system
// starts for the first time, so that nothing is at work.
func New(fresh bool) *Scaler {
	return &Scaler{fresh: fresh, last: make(map[Place]ordered), surplus: make(map[Place]time.Time), found: make(map[identifier.Service]*found), demand: make(map[identifier.Service]*demand)}
}

// Plan returns the orders that are due. Calls are those at work at each service.
func (s *Scaler) Plan(now time.Time, services []matcher.Service, l *discoverer.Listing, calls map[identifier.Service]int) []Order {
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

// readyOf returns how many servers of a service take work.
func readyOf(service identifier.Service, l *discoverer.Listing) int {
	n := 0
	for _, c := range listed(service, l) {
		n += c.ready
	}
	return n
}

// settle finds out how many servers of a service there are at first.
func (s *Scaler) settle(now time.Time, service identifier.Service, ready int) {
	f := s.found[service]
	if f == nil {
		f = &found{since: now}
		s.found[service] = f
	}
	if f.settled {
		return
	}
	if ready != f.servers {
		f.servers, f.since = ready, now
	}
	f.settled = f.servers > 0 && now.Sub(f.since) >= settleFor
}

// needed returns how many servers the load needs. The load counts with its
// recent peak, since a server takes seconds to start.
func (s *Scaler) needed(now time.Time, service identifier.Service, calls, ready int) int {
	d := s.demand[service]
	if d == nil {
		if calls == 0 {
			return max(int(math.Ceil(startPart*float64(s.found[service].servers))), leastNeeded)
		}
		d = &demand{}
		s.demand[service] = d
	}
	busiest := d.calls.raise(now, float64(calls), demandHalf)
	most := max(int(mostGrowth*d.ready.raise(now, float64(ready), readyHalf)), leastNeeded)
	return min(max(int(math.Ceil(busiest/callsPerServer)), leastNeeded), most)
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

// plan returns the orders for one service that needs a number of servers.
func (s *Scaler) plan(now time.Time, service identifier.Service, c *matcher.Scaling, l *discoverer.Listing, needed int) []Order {
	counts := listed(service, l)
	domains := slices.SortedFunc(maps.Keys(c.Prices), func(a, b identifier.FailureDomain) int {
		return cmp.Or(cmp.Compare(c.Prices[a], c.Prices[b]), cmp.Compare(a, b))
	})
	var reclaimable, largest, full, wet int
	for _, d := range domains {
		n := counts[Place{service, d, true}].ready
		reclaimable += n
		largest = max(largest, n)
		full += counts[Place{service, d, false}].ready
		if last, ok := s.last[Place{service, d, true}]; !ok || last.accepted {
			wet++
		}
	}
	spares := reclaimableIn(domains, needed, c.Max-floorServers)
	left := reclaimable
	if wet < len(domains) {
		// None can be had to replace those of the next reclaim.
		left -= largest
	}
	room := make(map[identifier.FailureDomain]int, len(domains))
	for _, d := range domains {
		room[d] = c.Max - max(s.taken(Place{service, d, true}, spares[d]), counts[Place{service, d, true}].ready)
	}
	wanted := spread(domains, max(floorServers, needed-left), room)
	why := fmt.Sprintf("%d needed, %d reclaimable ready in %d domains, %d counted on, %d at the full price", needed, reclaimable, wet, left, full)
	var out []Order
	for _, d := range domains {
		for _, w := range []struct {
			p    Place
			want int
		}{{Place{service, d, true}, min(spares[d], c.Max-s.presentAt(Place{service, d, false}, counts))}, {Place{service, d, false}, wanted[d]}} {
			if o, due := s.due(now, w.p, s.keep(now, w.p, w.want, counts[w.p]), counts[w.p], why); due {
				out = append(out, o)
			}
		}
	}
	return out
}

// reclaimableIn returns how many reclaimable servers each domain gets, so that
// those of all domains but one are enough.
func reclaimableIn(domains []identifier.FailureDomain, needed, most int) map[identifier.FailureDomain]int {
	n := len(domains)
	others := max(n-1, 1)
	total := max((needed*n+others-1)/others, leastPerDomain*n)
	room := make(map[identifier.FailureDomain]int, n)
	for _, d := range domains {
		room[d] = most
	}
	return spread(domains, total, room)
}

// presentAt returns how many servers there are in a place, starting ones
// included.
func (s *Scaler) presentAt(p Place, counts map[Place]count) int {
	present := counts[p].ready
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

// spread distributes n servers over the domains that have room, the cheapest
// first, so that no domain gets two before every other has one.
func spread(domains []identifier.FailureDomain, n int, room map[identifier.FailureDomain]int) map[identifier.FailureDomain]int {
	out := make(map[identifier.FailureDomain]int)
	for before := -1; n > 0 && before != n; {
		before = n
		for _, d := range domains {
			if n > 0 && out[d] < room[d] {
				out[d]++
				n--
			}
		}
	}
	return out
}

// keep returns want, or the present number while a surplus is recent.
func (s *Scaler) keep(now time.Time, p Place, want int, n count) int {
	present := s.presentAt(p, map[Place]count{p: n})
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
