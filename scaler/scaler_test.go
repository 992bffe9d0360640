package scaler

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/discoverer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/golden"
)

const service = identifier.Service("model")

// TestServersAreOrderedByWork replays calls that are few at a time and bring much work:
// the number of running calls alone would leave their prompts waiting for each other.
// What is ordered at the full price is only what the work cannot do without.
func TestServersAreOrderedByWork(t *testing.T) {
	for _, tc := range []struct {
		work float64
		need need
	}{
		{0, need{4, 4}},
		{2, need{5, 4}},
		{6, need{15, 10}},
	} {
		f := newFakePlatform(t)
		f.scaler.observeInitial(f.now, service, 60)
		var got need
		for range 40 {
			got = f.scaler.needed(f.now, service, Load{Calls: 60, Work: tc.work}, 60, 0)
			f.now = f.now.Add(Interval)
		}
		if got != tc.need {
			t.Errorf("60 calls with the work of %v servers need %+v, want %+v", tc.work, got, tc.need)
		}
	}
}

// TestNothingIsReleasedWhileNoneAreToBeHad replays a reclaim in one domain while the load
// is at its lowest: the reclaimable servers of the others are kept, since they could not
// be had again when the load rises.
func TestNothingIsReleasedWhileNoneAreToBeHad(t *testing.T) {
	f := newFakePlatform(t)
	f.calls = 120
	f.run(30 * time.Second)
	reclaimable := func() int {
		n := 0
		for p, list := range f.servers {
			if p.Reclaimable && p.FailureDomain != "b" {
				n += len(list)
			}
		}
		return n
	}
	before := reclaimable()
	f.servers[Place{service, "b", true}] = nil
	f.unavailableUntil = f.now.Add(25 * time.Second)
	f.calls = 10
	f.run(25 * time.Second)
	if got := reclaimable(); got < before {
		t.Errorf("%d reclaimable servers are left of %d while no others are available", got, before)
	}
	f.run(60 * time.Second)
	if got := reclaimable(); got >= before {
		t.Errorf("%d reclaimable servers are kept long after, of %d", got, before)
	}
}

// TestFullPriceServersStayWhileNoneAreToBeHad replays a reclaim in all domains and a dip
// of the load soon after, as failing calls cause one: the servers at the full price that
// carried the load were released, and it was back before others had started.
func TestFullPriceServersStayWhileNoneAreToBeHad(t *testing.T) {
	const dip = 9.0 // in busy servers
	f := newFakePlatform(t)
	f.calls, f.work = 60, 12
	f.run(30 * time.Second)
	for _, d := range []identifier.FailureDomain{"a", "b", "c", "d"} {
		f.reclaim(d, 40*time.Second)
	}
	f.run(10 * time.Second)
	before := f.ready()
	f.work = dip
	f.run(10 * time.Second)
	if got, want := f.ready(), min(before, int(math.Ceil(dip/comfortableUse))); got < want {
		t.Errorf("%d servers of %d are left, prompts seldom wait for each other with %d", got, before, want)
	}
}

// TestEvacuatedDomainIsReplaced checks that what an evacuated domain carried is ordered
// in the others, that nothing is ordered or released in it, and that its servers count
// again once the evacuation has ended.
func TestEvacuatedDomainIsReplaced(t *testing.T) {
	f := newFakePlatform(t)
	f.calls = 60
	f.run(20 * time.Second)
	elsewhere := func() int {
		n := 0
		for p, list := range f.servers {
			if p.FailureDomain != "b" {
				n += len(list)
			}
		}
		return n
	}
	before, inDomain := elsewhere(), len(f.servers[Place{service, "b", true}])+len(f.servers[Place{service, "b", false}])
	f.scaler.SetEvacuated([]identifier.FailureDomain{"b"})
	f.run(bootTime)
	if got := elsewhere(); got <= before {
		t.Errorf("%d servers outside the evacuated domain, %d before", got, before)
	}
	if got := len(f.servers[Place{service, "b", true}]) + len(f.servers[Place{service, "b", false}]); got != inDomain {
		t.Errorf("%d servers in the evacuated domain, %d before", got, inDomain)
	}
	f.scaler.SetEvacuated(nil)
	f.run(30 * time.Second)
	if got := elsewhere(); got > before+1 {
		t.Errorf("%d servers outside the domain long after its evacuation, %d before", got, before)
	}
}

// TestTwoReclaimsInARow checks that enough servers stay ready when two domains
// are reclaimed within six seconds while no reclaimable server is available.
func TestTwoReclaimsInARow(t *testing.T) {
	f := newFakePlatform(t)
	f.calls = 80
	f.run(20 * time.Second)
	for _, d := range []identifier.FailureDomain{"d", "c"} {
		f.reclaim(d, 13*time.Second)
		for range 12 {
			f.run(Interval)
			if f.ready() < 5 {
				t.Fatalf("after the reclaim of %s only %d servers are left", d, f.ready())
			}
		}
	}
	f.run(40 * time.Second)
	if reclaimable := len(f.servers[Place{service, "d", true}]); reclaimable < minReclaimablePerDomain {
		t.Errorf("long after the reclaim %d reclaimable servers are in its domain", reclaimable)
	}
}

// TestAllDomainsAreReclaimed checks that servers at the full price carry the
// load when every reclaimable server is taken, one domain after the other.
func TestAllDomainsAreReclaimed(t *testing.T) {
	f := newFakePlatform(t)
	f.calls = 70
	f.run(20 * time.Second)
	for _, d := range []identifier.FailureDomain{"a", "b", "c", "d"} {
		f.reclaim(d, 14*time.Second)
		f.run(5 * time.Second)
		if f.ready() < 3 {
			t.Fatalf("after the reclaim of %s only %d servers are left", d, f.ready())
		}
	}
}

// TestOrdersDoNotOscillate checks that a load that goes up and down changes the
// orders only a few times.
func TestOrdersDoNotOscillate(t *testing.T) {
	f := newFakePlatform(t)
	orders := 0
	for i := range 60 {
		f.calls = 60 + 40*(i%2)
		due := len(f.scaler.Plan(f.now, []describer.Service{f.service}, f.listing(), map[identifier.Service]Load{service: f.load()}, nil))
		orders += due
		f.run(2 * time.Second)
	}
	if orders > 40 {
		t.Errorf("%d orders were due in 120 s of an oscillating load", orders)
	}
}

// TestLaggingListingReleasesNoServers guards against releasing servers that a
// listing that lags does not show yet.
func TestLaggingListingReleasesNoServers(t *testing.T) {
	f := newFakePlatform(t)
	all := f.listing().Instances
	for n := 0; n <= len(all); n += 3 {
		part := &discoverer.Listing{Instances: all[:n], At: f.now}
		for _, o := range f.scaler.Plan(f.now, []describer.Service{f.service}, part, nil, nil) {
			if listed(service, part, "", nil)[o.Place].ready > o.Count {
				t.Errorf("with %d of %d servers listed %d are ordered in %+v", n, len(all), o.Count, o.Place)
			}
		}
		f.now = f.now.Add(time.Second)
	}
	if needed := f.scaler.needed(f.now, service, Load{}, len(all), 0); needed.comfortable != 7 {
		t.Errorf("of %d initial servers %d are needed", len(all), needed)
	}
}

// TestBacklogIsNotCountedAsLoad guards against counting a backlog as load. It
// reclaims most servers of a large service while none is available. Calls queue
// at the servers that are left, and the queue is worked off soon after others
// have started, so it must not raise the need with every batch of servers that
// starts.
func TestBacklogIsNotCountedAsLoad(t *testing.T) {
	f := newFakePlatform(t)
	f.service.Scaling.Max = 30
	const needed = 40
	f.calls = needed * maxCallsPerServer
	f.run(60 * time.Second)
	for _, d := range []identifier.FailureDomain{"a", "b", "c", "d"} {
		f.reclaim(d, 30*time.Second)
	}
	maxOrdered := 0
	for range 60 {
		// The backlog grows each interval and shrinks faster once enough
		// servers are ready.
		f.calls = min(f.calls+needed*4, 3*needed*maxCallsPerServer)
		if f.ready() >= needed {
			f.calls = max(f.calls-needed*16, needed*maxCallsPerServer)
		}
		f.run(Interval)
		total := 0
		for _, list := range f.servers {
			total += len(list)
		}
		maxOrdered = max(maxOrdered, total)
	}
	if maxOrdered > int(maxGrowth*needed)+minNeeded {
		t.Errorf("%d servers are ordered, the load needs %d", maxOrdered, needed)
	}
	if f.ready() < needed {
		t.Errorf("%d servers are ready, the load needs %d", f.ready(), needed)
	}
}

// startRollout starts a second set of servers at the full price beside those of
// the service, as the platform does for a rollout to v2.
func (f *fakePlatform) startRollout() {
	f.candidates, f.started = Candidates{service: {Version: "v2", StartedAt: f.now}}, make(map[Place]int)
	for i := range f.ready() {
		p := Place{service, []identifier.FailureDomain{"a", "b", "c", "d"}[i%4], false}
		f.servers[p] = append(f.servers[p], f.now.Add(bootTime))
		f.started[p]++
	}
}

// TestRolloutKeepsItsServers guards against releasing the servers of a new
// version as a surplus before traffic moves to them. The load falls and rises
// in the time of the rollout.
func TestRolloutKeepsItsServers(t *testing.T) {
	f := newFakePlatform(t)
	f.service.Scaling.Max = 9
	f.calls = 60
	f.run(30 * time.Second)
	f.startRollout()
	for _, calls := range []int{60, 10, 90} {
		f.calls = calls
		f.run(10 * time.Second)
		for p, n := range f.started {
			if len(f.servers[p]) < n {
				t.Errorf("with %d calls %d servers are left in %+v, where %d were started for the rollout", calls, len(f.servers[p]), p, n)
			}
		}
	}
	old := f.ready()
	for _, n := range f.started {
		old -= n
	}
	if need := serversFor(90, 0); old < need {
		t.Errorf("%d servers of the old version are ready, the load needs %d", old, need)
	}
}

// TestRolloutKeepsStartingServers guards against an order that takes the servers
// of a new version away before they are listed. An order sets the number of
// servers of a place, and full-price servers are released here at some time
// between the start of the rollout and the listing of its servers.
func TestRolloutKeepsStartingServers(t *testing.T) {
	for after := 2 * time.Second; after < 20*time.Second; after += Interval {
		f := newFakePlatform(t)
		f.service.Scaling.Max = 9
		f.calls = 60
		f.run(after)
		f.startRollout()
		f.run(2 * bootTime)
		for p, n := range f.started {
			if len(f.servers[p]) < n {
				t.Errorf("rollout after %v: %d servers are left in %+v, where %d were started for it", after, len(f.servers[p]), p, n)
			}
		}
	}
}

// TestFirstSeconds replays the first start of a system of 60 servers: the
// listing fills up for 4 s, calls come 12 s later, and the reclaimable servers
// of two domains are taken in the seconds after. Before the listing was awaited,
// all but 11 servers were released before the first call.
func TestFirstSeconds(t *testing.T) {
	f := newFakePlatform(t)
	f.scaler = New(true)
	f.service.Scaling.Max = 30
	f.service.Scaling.Prices = map[identifier.FailureDomain]float64{"a": 1, "b": 0.8, "c": 1.25}
	f.servers = make(map[Place][]time.Time)
	start := f.now
	for i := range 60 {
		p := Place{service, []identifier.FailureDomain{"a", "b", "c"}[i%3], false}
		f.servers[p] = append(f.servers[p], start.Add(time.Duration(i)*70*time.Millisecond))
	}
	var out strings.Builder
	for second := range 36 {
		switch second {
		case 14:
			f.reclaim("b", 14*time.Second)
		case 20:
			f.reclaim("a", 14*time.Second)
		}
		f.calls = min(max(second-12, 0)*120, 480)
		f.run(time.Second)
		full, reclaimable := 0, 0
		for p, list := range f.servers {
			if p.Reclaimable {
				reclaimable += len(list)
			} else {
				full += len(list)
			}
		}
		fmt.Fprintf(&out, "%2d s: %3d calls, %2d servers ready, %2d at the full price and %2d reclaimable kept\n", second+1, f.calls, f.ready(), full, reclaimable)
		if ready, need := f.ready(), serversFor(float64(f.calls), 0); second > 5 && ready < need {
			t.Errorf("after %d s %d servers are ready, %d calls need %d", second+1, ready, f.calls, need)
		}
	}
	golden.Compare(t, "testdata/firstseconds.golden", out.String())
}

// TestSmallEnginesAreNotOverloaded guards against reckoning with more calls a
// server than it has slots. The load of 480 calls needs 67 engines of 12 slots,
// which three reclaims in a row must not leave with less than a slot a call.
func TestSmallEnginesAreNotOverloaded(t *testing.T) {
	f := newFakePlatform(t)
	f.service.Scaling.Max = 30
	f.service.Engine = &describer.Engine{Slots: 12}
	f.calls = 480
	f.run(60 * time.Second)
	if ready, need := f.ready(), 67; ready < need {
		t.Errorf("%d engines are ready, 480 calls need %d", ready, need)
	}
	f.reclaim("d", 14*time.Second)
	f.run(2 * bootTime)
	if places := f.ready() * 12; places < f.calls {
		t.Errorf("after a reclaim %d slots are left for %d calls", places, f.calls)
	}
}

// TestLimitedServersAreReplaced replays a service whose servers all announce
// limits at once. Most calls are refused, so that few run, and the scaler must
// not take that for a load that has fallen: others are ordered beside them, and
// released once the limits have ended.
func TestLimitedServersAreReplaced(t *testing.T) {
	f := newFakePlatform(t)
	f.service.Scaling.Max = 9
	f.calls = 100
	f.run(30 * time.Second)
	before := f.ready()
	f.limited, f.refused = make(map[identifier.BackendServer]bool), true
	for _, in := range f.listing().Instances {
		f.limited[in.ID] = true
	}
	f.calls, f.limitedCalls = 25, 25
	f.run(2 * bootTime)
	if others, need := f.ready()-before, serversFor(100-25, 0); others < need {
		t.Errorf("%d servers are ready beside %d with limits, the load needs %d", others, before, need)
	}
	f.calls, f.refused = 100, false
	f.run(20 * time.Second)
	if f.ready() < before {
		t.Errorf("%d servers are ready, of %d with limits", f.ready(), before)
	}
	f.limited, f.limitedCalls = nil, 0
	f.run(40 * time.Second)
	if f.ready() > before {
		t.Errorf("%d servers are ready after the limits have ended, %d were enough before", f.ready(), before)
	}
}
