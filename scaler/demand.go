package scaler

import (
	"math"
	"slices"
	"time"

	"cyclamenhub.org/discoverer"
	"cyclamenhub.org/identifier"
)

const (
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
	// mostGrowth bounds the need by the recent peak of the servers that were in
	// use, those that were ready for steadyFor and needed: calls that queue at too
	// few servers would have the need overshoot, and new servers have to work off
	// what has queued before it tells of the load again. usedHalf is the time in
	// which that peak loses half its weight.
	mostGrowth = 1.6
	steadyFor  = 2 * time.Second
	usedHalf   = 20 * time.Second
	// demandHalf is the time in which a higher load of the past loses half its
	// weight. A rise counts at once.
	demandHalf = 6 * time.Second
)

// demand is the recent peaks of the calls at work and of the servers in use.
type demand struct {
	calls, used peak
	ready       []reading
}

// reading is how many servers were ready at a time.
type reading struct {
	at    time.Time
	ready int
}

// steady takes in how many servers are ready and returns how many were all the
// time since steadyFor ago.
func (d *demand) steady(now time.Time, ready int) int {
	d.ready = slices.DeleteFunc(d.ready, func(r reading) bool { return now.Sub(r.at) > steadyFor })
	d.ready = append(d.ready, reading{now, ready})
	least := ready
	for _, r := range d.ready {
		least = min(least, r.ready)
	}
	return least
}

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

// serversFor returns how many servers are meant for so many calls at work.
func serversFor(calls float64) int { return int(math.Ceil(calls / callsPerServer)) }

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
	present := max(serversFor(float64(calls)), 1)
	used := d.used.raise(now, float64(min(d.steady(now, ready), present)), usedHalf)
	most := int(mostGrowth*used) + leastNeeded
	return min(max(serversFor(busiest), leastNeeded), most)
}
