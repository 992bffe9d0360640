package scaler

import (
	"fmt"
	"testing"
	"time"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/discoverer"
	"cyclamenhub.org/identifier"
)

// fakePlatform simulates the platform: an ordered server takes bootTime to
// start, and a reclaim takes all reclaimable servers of a domain and makes them
// unavailable for some time.
type fakePlatform struct {
	t                *testing.T
	now              time.Time
	scaler           *Scaler
	service          describer.Service
	servers          map[Place][]time.Time // when each server is ready
	unavailableUntil time.Time
	calls            int
	// work is that of the calls, in busy servers.
	work float64
	// limited are the servers with limits, limitedCalls the calls at them, and
	// refused is whether calls are refused because of the limits.
	limited      map[identifier.BackendServer]bool
	limitedCalls int
	refused      bool
	// started are the servers that the platform started for a rollout, by place.
	// They are the newest of the place.
	started    map[Place]int
	candidates Candidates
	// cost is in server seconds at the full price.
	cost float64
}

const bootTime = 4 * time.Second

// newFakePlatform returns a platform with nine servers at the full price.
func newFakePlatform(t *testing.T) *fakePlatform {
	f := &fakePlatform{t: t, now: time.Unix(1000, 0), scaler: New(false), servers: make(map[Place][]time.Time)}
	f.service = describer.Service{Name: service, Scaling: &describer.Scaling{
		Min: 1, Max: 6, BootTime: bootTime, ReclaimablePrice: 0.2,
		Prices: map[identifier.FailureDomain]float64{"a": 1, "b": 0.8, "c": 1.25, "d": 0.9},
	}}
	for i, d := range []identifier.FailureDomain{"a", "a", "a", "b", "b", "c", "c", "d", "d"} {
		p := Place{service, d, false}
		f.servers[p] = append(f.servers[p], f.now.Add(-time.Duration(i)*time.Second))
	}
	return f
}

// load returns the load that the scaler is told.
func (f *fakePlatform) load() Load {
	return Load{Calls: f.calls, LimitedCalls: f.limitedCalls, Limited: f.limited, Refused: f.refused, Work: f.work}
}

// run advances the time by d and executes the plans.
func (f *fakePlatform) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(Interval) {
		for _, o := range f.scaler.Plan(f.now, []describer.Service{f.service}, f.listing(), map[identifier.Service]Load{service: f.load()}, f.candidates) {
			f.order(o)
		}
		for p, list := range f.servers {
			price := f.service.Scaling.Prices[p.FailureDomain]
			if p.Reclaimable {
				price *= f.service.Scaling.ReclaimablePrice
			}
			f.cost += price * float64(len(list)) * Interval.Seconds()
		}
	}
}

// order executes an order.
func (f *fakePlatform) order(o Order) {
	if total := o.Count + len(f.servers[Place{service, o.FailureDomain, !o.Reclaimable}]); total > f.service.Scaling.Max {
		f.t.Errorf("%d servers are ordered in %s, want at most %d", total, o.FailureDomain, f.service.Scaling.Max)
	}
	unavailable := o.Reclaimable && f.now.Before(f.unavailableUntil) && o.Count > len(f.servers[o.Place])
	f.scaler.RecordResult(f.now, o, !unavailable, unavailable)
	if unavailable {
		return
	}
	for len(f.servers[o.Place]) < o.Count {
		f.servers[o.Place] = append(f.servers[o.Place], f.now.Add(bootTime))
	}
	f.servers[o.Place] = f.servers[o.Place][:o.Count]
}

// listing returns the servers that are ready.
func (f *fakePlatform) listing() *discoverer.Listing {
	l := &discoverer.Listing{At: f.now}
	for p, list := range f.servers {
		for i, ready := range list {
			if f.now.Before(ready) {
				continue
			}
			in := describer.Instance{
				ID: identifier.BackendServer(fmt.Sprint(p, i)), Service: service, FailureDomain: p.FailureDomain, Reclaimable: p.Reclaimable, Version: "v1",
			}
			if i >= len(list)-f.started[p] {
				in.Version = "v2"
			}
			l.Instances = append(l.Instances, in)
		}
	}
	return l
}

// reclaim removes the reclaimable servers of a domain and makes them
// unavailable for the given time.
func (f *fakePlatform) reclaim(d identifier.FailureDomain, unavailableFor time.Duration) {
	f.servers[Place{service, d, true}] = nil
	f.unavailableUntil = f.now.Add(unavailableFor)
}

// ready returns the number of ready servers.
func (f *fakePlatform) ready() int { return len(f.listing().Instances) }

// TestReclaimableServersReplaceOthers checks that, without reclaims,
// reclaimable servers and the minimum at the full price soon carry the load at
// a fraction of the price.
func TestReclaimableServersReplaceOthers(t *testing.T) {
	f := newFakePlatform(t)
	f.calls = 60
	f.run(30 * time.Second)
	full := 0
	for p, list := range f.servers {
		if !p.Reclaimable {
			full += len(list)
		}
	}
	if full != minFullPrice || f.ready() < 8 {
		t.Errorf("%d servers at the full price and %d in total serve a load of 60 calls", full, f.ready())
	}
	f.cost = 0
	f.run(30 * time.Second)
	if perSecond := f.cost / 30; perSecond > 0.5*9 {
		t.Errorf("a second costs %.2f, which is more than half of nine servers", perSecond)
	}
}
