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

// market plays the platform: orders take bootTime, and a reclaim takes all
// reclaimable servers of a domain and lets none be had for a while.
type market struct {
	t       *testing.T
	now     time.Time
	scaler  *Scaler
	service describer.Service
	have    map[Place][]time.Time // when each server is ready
	dry     time.Time
	calls   int
	// cost is in server seconds at the full price.
	cost float64
}

const bootTime = 4 * time.Second

// newMarket returns a market with nine servers at the full price.
func newMarket(t *testing.T) *market {
	m := &market{t: t, now: time.Unix(1000, 0), scaler: New(false), have: make(map[Place][]time.Time)}
	m.service = describer.Service{Name: service, Scaling: &describer.Scaling{
		Min: 1, Max: 6, BootTime: bootTime, ReclaimablePrice: 0.2,
		Prices: map[identifier.FailureDomain]float64{"a": 1, "b": 0.8, "c": 1.25, "d": 0.9},
	}}
	for i, d := range []identifier.FailureDomain{"a", "a", "a", "b", "b", "c", "c", "d", "d"} {
		p := Place{service, d, false}
		m.have[p] = append(m.have[p], m.now.Add(-time.Duration(i)*time.Second))
	}
	return m
}

// run lets time pass.
func (m *market) run(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(Interval) {
		for _, o := range m.scaler.Plan(m.now, []describer.Service{m.service}, m.listing(), map[identifier.Service]int{service: m.calls}) {
			m.order(o)
		}
		for p, list := range m.have {
			price := m.service.Scaling.Prices[p.FailureDomain]
			if p.Reclaimable {
				price *= m.service.Scaling.ReclaimablePrice
			}
			m.cost += price * float64(len(list)) * Interval.Seconds()
		}
	}
}

// order carries an order out.
func (m *market) order(o Order) {
	if total := o.Count + len(m.have[Place{service, o.FailureDomain, !o.Reclaimable}]); total > m.service.Scaling.Max {
		m.t.Errorf("%d servers are ordered in %s, at most %d may be", total, o.FailureDomain, m.service.Scaling.Max)
	}
	unavailable := o.Reclaimable && m.now.Before(m.dry) && o.Count > len(m.have[o.Place])
	m.scaler.Answer(m.now, o, !unavailable, unavailable)
	if unavailable {
		return
	}
	for len(m.have[o.Place]) < o.Count {
		m.have[o.Place] = append(m.have[o.Place], m.now.Add(bootTime))
	}
	m.have[o.Place] = m.have[o.Place][:o.Count]
}

// listing returns what the list shows.
func (m *market) listing() *discoverer.Listing {
	l := &discoverer.Listing{At: m.now}
	for p, list := range m.have {
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

// reclaim takes the reclaimable servers of a domain.
func (m *market) reclaim(d identifier.FailureDomain, dryFor time.Duration) {
	m.have[Place{service, d, true}] = nil
	m.dry = m.now.Add(dryFor)
}

// ready returns how many servers serve.
func (m *market) ready() int { return len(m.listing().Instances) }

// TestReclaimableServersReplaceOthers checks the calm case: after a while the
// load is carried by reclaimable servers above a floor, at a fraction of the
// price.
func TestReclaimableServersReplaceOthers(t *testing.T) {
	m := newMarket(t)
	m.calls = 60
	m.run(30 * time.Second)
	full := 0
	for p, list := range m.have {
		if !p.Reclaimable {
			full += len(list)
		}
	}
	if full != floorServers || m.ready() < 8 {
		t.Errorf("%d servers at the full price and %d in all serve a load of 60 calls", full, m.ready())
	}
	m.cost = 0
	m.run(30 * time.Second)
	if perSecond := m.cost / 30; perSecond > 0.5*9 {
		t.Errorf("a second costs %.2f, half of nine servers or more", perSecond)
	}
}

// TestTwoReclaimsInARow takes two domains within six seconds while no
// reclaimable server is to be had: the load still finds servers all the while.
func TestTwoReclaimsInARow(t *testing.T) {
	m := newMarket(t)
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
	if reclaimable := len(m.have[Place{service, "d", true}]); reclaimable < leastPerDomain {
		t.Errorf("long after the reclaim %d reclaimable servers are in its domain", reclaimable)
	}
}

// TestAllDomainsAreReclaimed takes every reclaimable server one domain after the
// other: those at the full price carry the load until some are back.
func TestAllDomainsAreReclaimed(t *testing.T) {
	m := newMarket(t)
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

// TestOrdersDoNotSwing plays a load that goes up and down: no place changes its
// order more than a few times.
func TestOrdersDoNotSwing(t *testing.T) {
	m := newMarket(t)
	orders := 0
	for i := range 60 {
		m.calls = 60 + 40*(i%2)
		before := len(m.scaler.Plan(m.now, []describer.Service{m.service}, m.listing(), map[identifier.Service]int{service: m.calls}))
		orders += before
		m.run(2 * time.Second)
	}
	if orders > 40 {
		t.Errorf("%d orders were due in 120 s of a wave", orders)
	}
}

// TestListThatFillsGivesNoServersUp shows the scaler a list that lags: servers
// that are not listed yet are not given up.
func TestListThatFillsGivesNoServersUp(t *testing.T) {
	m := newMarket(t)
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
		t.Errorf("of %d servers found %d are needed", len(all), needed)
	}
}

// TestBacklogOrdersNoMoreThanTheLoadNeeds takes most of the servers of a large
// service while none can be had for a while. Calls pile up at those that are
// left, and the pile is worked off soon after others have come: it must not be
// taken for load, again and again, with every batch that comes.
func TestBacklogOrdersNoMoreThanTheLoadNeeds(t *testing.T) {
	m := newMarket(t)
	m.service.Scaling.Max = 30
	const needed = 40
	m.calls = needed * callsPerServer
	m.run(60 * time.Second)
	for _, d := range []identifier.FailureDomain{"a", "b", "c", "d"} {
		m.reclaim(d, 30*time.Second)
	}
	most := 0
	for range 60 {
		// What more than enough servers could not yet work off is still there.
		m.calls = min(m.calls+needed*4, 3*needed*callsPerServer)
		if m.ready() >= needed {
			m.calls = max(m.calls-needed*16, needed*callsPerServer)
		}
		m.run(Interval)
		total := 0
		for _, list := range m.have {
			total += len(list)
		}
		most = max(most, total)
	}
	if most > int(mostGrowth*needed)+leastNeeded {
		t.Errorf("%d servers are ordered, the load needs %d", most, needed)
	}
	if m.ready() < needed {
		t.Errorf("%d servers are ready, the load needs %d", m.ready(), needed)
	}
}
