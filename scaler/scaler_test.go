package scaler

import (
	"fmt"
	"testing"
	"time"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/discoverer"
	"cyclamenhub.org/identifier"
)

const service = identifier.Service("model")

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
	// cost is in server seconds at the full price.
	cost float64
}

const bootTime = 4 * time.Second

// newFakePlatform returns a platform with nine servers at the full price.
func newFakePlatform(t *testing.T) *fakePlatform {
	m := &fakePlatform{t: t, now: time.Unix(1000, 0), scaler: New(false), servers: make(map[Place][]time.Time)}
	m.service = describer.Service{Name: service, Scaling: &describer.Scaling{
		Min: 1, Max: 6, BootTime: bootTime, ReclaimablePrice: 0.2,
		Prices: map[identifier.FailureDomain]float64{"a": 1, "b": 0.8, "c": 1.25, "d": 0.9},
	}}
	for i, d := range []identifier.FailureDomain{"a", "a", "a", "b", "b", "c", "c", "d", "d"} {
		p := Place{service, d, false}
		m.servers[p] = append(m.servers[p], m.now.Add(-time.Duration(i)*time.Second))
	}
	return m
}

// run advances the time by d and executes the plans.
func (m *fakePlatform) run(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(Interval) {
		for _, o := range m.scaler.Plan(m.now, []describer.Service{m.service}, m.listing(), map[identifier.Service]int{service: m.calls}) {
			m.order(o)
		}
		for p, list := range m.servers {
			price := m.service.Scaling.Prices[p.FailureDomain]
			if p.Reclaimable {
				price *= m.service.Scaling.ReclaimablePrice
			}
			m.cost += price * float64(len(list)) * Interval.Seconds()
		}
	}
}

// order executes an order.
func (m *fakePlatform) order(o Order) {
	if total := o.Count + len(m.servers[Place{service, o.FailureDomain, !o.Reclaimable}]); total > m.service.Scaling.Max {
		m.t.Errorf("%d servers are ordered in %s, want at most %d", total, o.FailureDomain, m.service.Scaling.Max)
	}
	unavailable := o.Reclaimable && m.now.Before(m.unavailableUntil) && o.Count > len(m.servers[o.Place])
	m.scaler.RecordResult(m.now, o, !unavailable, unavailable)
	if unavailable {
		return
	}
	for len(m.servers[o.Place]) < o.Count {
		m.servers[o.Place] = append(m.servers[o.Place], m.now.Add(bootTime))
	}
	m.servers[o.Place] = m.servers[o.Place][:o.Count]
}

// listing returns the servers that are ready.
func (m *fakePlatform) listing() *discoverer.Listing {
	l := &discoverer.Listing{At: m.now}
	for p, list := range m.servers {
		for i, ready := range list {
			if !m.now.Before(ready) {
				l.Instances = append(l.Instances, describer.Instance{
					ID: identifier.BackendServer(fmt.Sprint(p, i)), Service: service, FailureDomain: p.FailureDomain, Reclaimable: p.Reclaimable,
				})
			}
		}
	}
	return l
}

// reclaim removes the reclaimable servers of a domain and makes them
// unavailable for the given time.
func (m *fakePlatform) reclaim(d identifier.FailureDomain, unavailableFor time.Duration) {
	m.servers[Place{service, d, true}] = nil
	m.unavailableUntil = m.now.Add(unavailableFor)
}

// ready returns the number of ready servers.
func (m *fakePlatform) ready() int { return len(m.listing().Instances) }

// TestReclaimableServersReplaceOthers checks that, without reclaims,
// reclaimable servers and the minimum at the full price soon carry the load at
// a fraction of the price.
func TestReclaimableServersReplaceOthers(t *testing.T) {
	m := newFakePlatform(t)
	m.calls = 60
	m.run(30 * time.Second)
	full := 0
	for p, list := range m.servers {
		if !p.Reclaimable {
			full += len(list)
		}
	}
	if full != minFullPrice || m.ready() < 8 {
		t.Errorf("%d servers at the full price and %d in total serve a load of 60 calls", full, m.ready())
	}
	m.cost = 0
	m.run(30 * time.Second)
	if perSecond := m.cost / 30; perSecond > 0.5*9 {
		t.Errorf("a second costs %.2f, which is more than half of nine servers", perSecond)
	}
}

// TestTwoReclaimsInARow checks that enough servers stay ready when two domains
// are reclaimed within six seconds while no reclaimable server is available.
func TestTwoReclaimsInARow(t *testing.T) {
	m := newFakePlatform(t)
	m.calls = 80
	m.run(20 * time.Second)
	for _, d := range []identifier.FailureDomain{"d", "c"} {
		m.reclaim(d, 13*time.Second)
		for range 12 {
			m.run(Interval)
			if m.ready() < 5 {
				t.Fatalf("after the reclaim of %s only %d servers are left", d, m.ready())
			}
		}
	}
	m.run(40 * time.Second)
	if reclaimable := len(m.servers[Place{service, "d", true}]); reclaimable < minReclaimablePerDomain {
		t.Errorf("long after the reclaim %d reclaimable servers are in its domain", reclaimable)
	}
}

// TestAllDomainsAreReclaimed checks that servers at the full price carry the
// load when every reclaimable server is taken, one domain after the other.
func TestAllDomainsAreReclaimed(t *testing.T) {
	m := newFakePlatform(t)
	m.calls = 70
	m.run(20 * time.Second)
	for _, d := range []identifier.FailureDomain{"a", "b", "c", "d"} {
		m.reclaim(d, 14*time.Second)
		m.run(5 * time.Second)
		if m.ready() < 3 {
			t.Fatalf("after the reclaim of %s only %d servers are left", d, m.ready())
		}
	}
}

// TestOrdersDoNotOscillate checks that a load that goes up and down changes the
// orders only a few times.
func TestOrdersDoNotOscillate(t *testing.T) {
	m := newFakePlatform(t)
	orders := 0
	for i := range 60 {
		m.calls = 60 + 40*(i%2)
		due := len(m.scaler.Plan(m.now, []describer.Service{m.service}, m.listing(), map[identifier.Service]int{service: m.calls}))
		orders += due
		m.run(2 * time.Second)
	}
	if orders > 40 {
		t.Errorf("%d orders were due in 120 s of an oscillating load", orders)
	}
}

// TestLaggingListingGivesNoServersUp guards against giving up servers that a
// listing that lags does not show yet.
func TestLaggingListingGivesNoServersUp(t *testing.T) {
	m := newFakePlatform(t)
	all := m.listing().Instances
	for n := 0; n <= len(all); n += 3 {
		part := &discoverer.Listing{Instances: all[:n], At: m.now}
		for _, o := range m.scaler.Plan(m.now, []describer.Service{m.service}, part, nil) {
			if listed(service, part)[o.Place].ready > o.Count {
				t.Errorf("with %d of %d servers listed %d are ordered in %+v", n, len(all), o.Count, o.Place)
			}
		}
		m.now = m.now.Add(time.Second)
	}
	if needed := m.scaler.needed(m.now, service, 0, len(all)); needed != 7 {
		t.Errorf("of %d initial servers %d are needed", len(all), needed)
	}
}

// TestBacklogOrdersNoMoreThanTheLoadNeeds guards against counting a backlog as
// load. It reclaims most servers of a large service while none is available.
// Calls queue at the servers that are left, and the queue is worked off soon
// after others have started, so it must not raise the need with every batch of
// servers that starts.
func TestBacklogOrdersNoMoreThanTheLoadNeeds(t *testing.T) {
	m := newFakePlatform(t)
	m.service.Scaling.Max = 30
	const needed = 40
	m.calls = needed * callsPerServer
	m.run(60 * time.Second)
	for _, d := range []identifier.FailureDomain{"a", "b", "c", "d"} {
		m.reclaim(d, 30*time.Second)
	}
	maxOrdered := 0
	for range 60 {
		// The backlog grows each interval and shrinks faster once enough servers are
		// ready.
		m.calls = min(m.calls+needed*4, 3*needed*callsPerServer)
		if m.ready() >= needed {
			m.calls = max(m.calls-needed*16, needed*callsPerServer)
		}
		m.run(Interval)
		total := 0
		for _, list := range m.servers {
			total += len(list)
		}
		maxOrdered = max(maxOrdered, total)
	}
	if maxOrdered > int(maxGrowth*needed)+minNeeded {
		t.Errorf("%d servers are ordered, the load needs %d", maxOrdered, needed)
	}
	if m.ready() < needed {
		t.Errorf("%d servers are ready, the load needs %d", m.ready(), needed)
	}
}
