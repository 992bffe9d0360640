package scaler

import (
	"math"
	"slices"
	"time"

	"cyclamenhub.org/discoverer"
	"cyclamenhub.org/identifier"
)

const (
	// callsPerServer is the target number of concurrent calls per server. A
	// server can run more, but each call is then slower.
	callsPerServer = 16.0
	// minNeeded is the number of servers needed at any load.
	minNeeded = 3
	// initialRatio is the fraction of the initial servers that is needed until
	// the load is known. The initial number reflects the load that the operator
	// expected.
	initialRatio = 0.75
	// settleTime is how long the number of initial servers must stay the same
	// before any server is released, because a listing that lags shows the
	// servers one after the other.
	settleTime = 1500 * time.Millisecond
	// maxGrowth limits the need to a multiple of the recent peak of the servers
	// in use, which are those that were needed and had been ready for
	// sustainedFor. Without the limit, calls that queue at too few servers make
	// the need overshoot, because new servers must first work off the queue
	// before the number of calls reflects the load again. usedHalfLife is the
	// half-life of that peak.
	maxGrowth    = 1.6
	sustainedFor = 2 * time.Second
	usedHalfLife = 20 * time.Second
	// demandHalfLife is the half-life of a past peak of the load. A rise of the
	// load takes effect immediately.
	demandHalfLife = 6 * time.Second
)

// demand holds the recent peaks of the concurrent calls and of the servers in
// use.
type demand struct {
	calls, used  decayingPeak
	readySamples []readySample
}

// readySample is the number of ready servers at a point in time.
type readySample struct {
	at    time.Time
	ready int
}

// sustainedReady adds a sample of the number of ready servers and returns the
// minimum over the last sustainedFor.
func (d *demand) sustainedReady(now time.Time, ready int) int {
	d.readySamples = slices.DeleteFunc(d.readySamples, func(r readySample) bool { return now.Sub(r.at) > sustainedFor })
	d.readySamples = append(d.readySamples, readySample{now, ready})
	lowest := ready
	for _, r := range d.readySamples {
		lowest = min(lowest, r.ready)
	}
	return lowest
}

// decayingPeak is a maximum that decays.
type decayingPeak struct {
	value float64
	at    time.Time
}

// add adds the sample v and returns the peak, which decays with the given
// half-life.
func (p *decayingPeak) add(now time.Time, v float64, halfLife time.Duration) float64 {
	if !p.at.IsZero() {
		p.value *= math.Exp2(-now.Sub(p.at).Seconds() / halfLife.Seconds())
	}
	p.value, p.at = max(p.value, v), now
	return p.value
}

// initialServers is the number of servers that a service had before the first
// order.
type initialServers struct {
	servers   int
	changedAt time.Time
	settled   bool
}

// readyServers returns the number of servers of a service that are ready and
// not draining.
func readyServers(service identifier.Service, l *discoverer.Listing) int {
	n := 0
	for _, c := range listed(service, l, "") {
		n += c.ready
	}
	return n
}

// observeInitial updates the number of initial servers of a service until it
// has settled.
func (s *Scaler) observeInitial(now time.Time, service identifier.Service, ready int) {
	initial := s.initial[service]
	if initial == nil {
		initial = &initialServers{changedAt: now}
		s.initial[service] = initial
	}
	if initial.settled {
		return
	}
	if ready != initial.servers {
		initial.servers, initial.changedAt = ready, now
	}
	initial.settled = initial.servers > 0 && now.Sub(initial.changedAt) >= settleTime
}

// serversFor returns the target number of servers for a number of concurrent
// calls.
func serversFor(calls float64) int { return int(math.Ceil(calls / callsPerServer)) }

// needed returns the number of servers that the load needs. It uses the recent
// peak of the load, since a server takes seconds to start.
func (s *Scaler) needed(now time.Time, service identifier.Service, calls, ready int) int {
	d := s.demand[service]
	if d == nil {
		if calls == 0 {
			return max(int(math.Ceil(initialRatio*float64(s.initial[service].servers))), minNeeded)
		}
		d = &demand{}
		s.demand[service] = d
	}
	peakCalls := d.calls.add(now, float64(calls), demandHalfLife)
	current := max(serversFor(float64(calls)), 1)
	used := d.used.add(now, float64(min(d.sustainedReady(now, ready), current)), usedHalfLife)
	limit := int(maxGrowth*used) + minNeeded
	return min(max(serversFor(peakCalls), minNeeded), limit)
}
