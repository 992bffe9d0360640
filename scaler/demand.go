package scaler

import (
	"math"
	"slices"
	"time"

	"cyclamenhub.org/identifier"
)

const (
	// maxCallsPerServer is the highest target number of concurrent calls per
	// server. A server can run more, but each call is then slower.
	maxCallsPerServer = 16.0
	// targetUse is the highest target fraction of a server's slots. The rest is
	// for uneven placement: a call that finds no free slot waits.
	targetUse = 0.6
	// comfortableUse is the part of their time for which servers may process prompts so
	// that a prompt seldom waits for another one, and requiredUse that above which
	// prompts wait for long.
	comfortableUse = 0.4
	requiredUse    = 0.6
	// minNeeded is the number of servers needed at any load.
	minNeeded = 3
	// initialRatio is the fraction of the initial servers that is needed until
	// the load is known.
	initialRatio = 0.75
	// settleTime is how long the number of initial servers must stay the same
	// before any server is released, because a listing that lags shows the
	// servers one after the other.
	settleTime = 2500 * time.Millisecond
	// maxSettleTime is how long after the first start the listing is awaited at
	// most.
	maxSettleTime = 10 * time.Second
	// learnTime is how long after the first call the load is extrapolated: the
	// number of calls in progress grows evenly until the first long ones end.
	learnTime = 8 * time.Second
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

// demand holds the recent peaks of the concurrent calls, of the work in their prompts
// and of the servers in use.
type demand struct {
	// since is when the first call was seen.
	since             time.Time
	calls, work, used decayingPeak
	readySamples      []readySample
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

// hold keeps the peak from decaying until now.
func (p *decayingPeak) hold(now time.Time) {
	if !p.at.IsZero() {
		p.at = now
	}
}

// initialServers is the number of servers that a service had before the first
// order. It reflects the load that the operator expected.
type initialServers struct {
	servers int
	// since is when the servers were first counted, changedAt when their number
	// last changed.
	since, changedAt time.Time
	settled          bool
}

// readyServers returns the number of servers of a service that are ready and
// not draining, candidates included.
func readyServers(counts map[Place]count) int {
	n := 0
	for _, c := range counts {
		n += c.ready + c.candidates
	}
	return n
}

// observeInitial updates the number of initial servers of a service until it
// has settled, and reports whether servers may be ordered.
//
// It answers the first start of a system: the platform starts all servers of the
// operator together with this process and lists them one after the other as they
// get ready. An order sets the number of servers of a place, so one that is based
// on a listing with a few of them takes the others away before any call has come.
// After the first start nothing is ordered until no server has been added for
// some time.
func (s *Scaler) observeInitial(now time.Time, service identifier.Service, ready int) bool {
	initial := s.initial[service]
	if initial == nil {
		initial = &initialServers{since: now, changedAt: now}
		s.initial[service] = initial
	}
	if initial.settled {
		return true
	}
	if ready != initial.servers {
		initial.servers, initial.changedAt = ready, now
	}
	initial.settled = initial.servers > 0 && now.Sub(initial.changedAt) >= settleTime
	return initial.settled || !s.firstStart || now.Sub(initial.since) >= maxSettleTime
}

// callsPerServer returns the target number of concurrent calls of a server with
// the given number of slots, or with an unknown one if it is 0.
func callsPerServer(slots int) float64 {
	if slots <= 0 {
		return maxCallsPerServer
	}
	return max(min(targetUse*float64(slots), maxCallsPerServer), 1)
}

// serversFor returns the target number of servers with the given number of slots
// for a number of concurrent calls.
func serversFor(calls float64, slots int) int { return int(math.Ceil(calls / callsPerServer(slots))) }

// need is how many servers without limits a load needs.
type need struct {
	// comfortable is the number at which calls hardly wait, required the number below
	// which they do not finish in time.
	comfortable, required int
}

// needed returns the number of servers without limits that the load needs. It uses the
// recent peak of the load, since a server takes seconds to start. A number of calls
// says little about the work in them, so that the work of prompts is counted too.
func (s *Scaler) needed(now time.Time, service identifier.Service, load Load, ready, slots int) need {
	d, calls := s.demand[service], load.Calls
	initial := int(math.Ceil(initialRatio * float64(s.initial[service].servers)))
	if d == nil {
		if calls == 0 {
			n := max(initial, minNeeded)
			return need{n, n}
		}
		d = &demand{since: now}
		s.demand[service] = d
	}
	if load.Refused {
		d.calls.hold(now)
	}
	peakCalls := max(d.calls.add(now, float64(calls), demandHalfLife)-float64(load.LimitedCalls), 0)
	work := load.unlimitedWork()
	peakWork := d.work.add(now, work, demandHalfLife)
	current := max(serversFor(float64(calls), slots), int(math.Ceil(work/comfortableUse)), 1)
	used := d.used.add(now, float64(min(d.sustainedReady(now, ready), current)), usedHalfLife)
	limit := int(maxGrowth*used) + minNeeded
	byCalls := max(serversFor(peakCalls, slots), minNeeded)
	n := need{
		comfortable: min(max(byCalls, int(math.Ceil(peakWork/comfortableUse))), limit),
		required:    min(max(byCalls, int(math.Ceil(peakWork/requiredUse))), limit),
	}
	if elapsed := now.Sub(d.since); s.firstStart && elapsed < learnTime {
		expected := min(serversFor(float64(calls)*learnTime.Seconds()/max(elapsed, Interval).Seconds(), slots), initial)
		n = need{max(n.comfortable, expected), max(n.required, expected)}
	}
	return n
}
