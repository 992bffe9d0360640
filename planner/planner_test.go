package planner

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cyclamenhub.org/identifier"
)

// epoch is the start time of the test clock.
var epoch = time.Date(2026, 3, 1, 22, 0, 0, 0, time.UTC)

// fakePlatform refuses the offers in refuses and records the started hosts by
// order id.
type fakePlatform struct {
	refuses      map[OfferKey]bool
	hosts        map[identifier.OrderID]identifier.BackendServer
	unresponsive bool
}

// Start implements Platform.
func (f *fakePlatform) Start(_ context.Context, o StartOrder) (identifier.BackendServer, error) {
	if name, ok := f.hosts[o.OrderID]; ok {
		return name, nil
	}
	if f.unresponsive {
		return "", errors.New("the platform did not answer")
	}
	if f.refuses[o.Offer.OfferKey] {
		return "", fmt.Errorf("start %s: %w", o.OrderID, ErrRefused)
	}
	name := identifier.BackendServer(fmt.Sprint("w", len(f.hosts)))
	f.hosts[o.OrderID] = name
	return name, nil
}

// Stop implements Platform.
func (f *fakePlatform) Stop(context.Context, StopOrder) error { return nil }

// offer returns an offer of hosts with 4 slots.
func offer(domain string, reclaimable bool, price float64) Offer {
	return Offer{OfferKey: OfferKey{identifier.FailureDomain(domain), "m", reclaimable}, Price: price, Slots: 4}
}

// offers returns reclaimable offers in three domains and one on-demand offer.
func offers() []Offer {
	return []Offer{offer("a", true, 0.3), offer("b", true, 0.32), offer("c", true, 0.35), offer("a", false, 1)}
}

// fleet is a Planner with a fake platform and a clock.
type fleet struct {
	*Planner
	platform *fakePlatform
	now      time.Time
}

func newFleet(cfg Config, needs ...Need) *fleet {
	p := New(cfg)
	p.SetOffers(offers())
	p.SetNeeds(needs)
	return &fleet{Planner: p, now: epoch, platform: &fakePlatform{
		refuses: make(map[OfferKey]bool), hosts: make(map[identifier.OrderID]identifier.BackendServer),
	}}
}

// perform executes orders. It observes each answer twice, because a platform
// may repeat an answer.
func (f *fleet) perform(orders []Order) {
	for _, o := range orders {
		var e Event
		switch o := o.(type) {
		case StartOrder:
			e, _ = PerformStart(context.Background(), f.platform, o)
		case LoadOrder:
			e = Loaded{OrderID: o.OrderID}
		case StopOrder:
			e = Gone{BackendServer: o.BackendServer}
		}
		if e != nil {
			f.Observe(f.now, e)
			f.Observe(f.now, e)
		}
	}
}

// settle plans and performs until there are no more orders.
func (f *fleet) settle(t interface{ Fatal(...any) }) {
	for range 200 {
		orders := f.Plan(f.now, 1)
		if len(orders) == 0 {
			return
		}
		f.perform(orders)
	}
	t.Fatal("the planner still returns orders after 200 plans")
}

// counts returns the started slots by offer, without those being reclaimed.
func (f *fleet) counts() map[OfferKey]int {
	m := make(map[OfferKey]int)
	for _, h := range f.hosts {
		if !h.reclaimed {
			m[h.offer.OfferKey] += h.offer.Slots
		}
	}
	return m
}

func TestReclaimableHostsPreferredUpToFloor(t *testing.T) {
	f := newFleet(Config{}, Need{Service: "s", Version: "1", Slots: 24, Floor: 16})
	f.settle(t)
	want := map[OfferKey]int{
		offer("a", true, 0).OfferKey: 8, offer("b", true, 0).OfferKey: 8, offer("c", true, 0).OfferKey: 8,
	}
	if diff := cmp.Diff(want, f.counts()); diff != "" {
		t.Errorf("started slots (-want +got):\n%s", diff)
	}
}

func TestRefusedStartTriesNextOfferAndBacksOff(t *testing.T) {
	f := newFleet(Config{}, Need{Service: "s", Version: "1", Slots: 4})
	cheap := offer("a", true, 0).OfferKey
	f.platform.refuses[cheap] = true
	f.settle(t)
	if got := f.counts()[offer("b", true, 0).OfferKey]; got != 4 {
		t.Errorf("%d slots started in b after the refusal in a, want 4", got)
	}
	f.SetNeeds([]Need{{Service: "s", Version: "1", Slots: 8}})
	f.platform.refuses[cheap] = false
	f.settle(t)
	if got := f.counts()[cheap]; got != 0 {
		t.Errorf("%d slots started in a during the back-off", got)
	}
	f.now = f.now.Add(initialBackoff)
	f.SetNeeds([]Need{{Service: "s", Version: "1", Slots: 12}})
	f.settle(t)
	if got := f.counts()[cheap]; got != 4 {
		t.Errorf("%d slots started in a after the back-off, want 4", got)
	}
}

func TestRecentReclaimsOutweighALowerPrice(t *testing.T) {
	f := newFleet(Config{ReplaceHours: 1}, Need{Service: "s", Version: "1", Slots: 4})
	for i := range 8 {
		name := identifier.BackendServer(fmt.Sprint("old", i))
		f.Adopt(name, offer("a", true, 0.3), "other", "1")
		f.Observe(f.now, Reclaimed{BackendServer: name})
		f.Observe(f.now, Reclaimed{BackendServer: name})
		f.Observe(f.now, Gone{BackendServer: name})
	}
	f.settle(t)
	if got := f.counts()[offer("b", true, 0).OfferKey]; got != 4 {
		t.Errorf("started %v, want 4 slots in b, where fewer were reclaimed", f.counts())
	}
}

func TestUnansweredStartIsResentUnderItsID(t *testing.T) {
	f := newFleet(Config{}, Need{Service: "s", Version: "1", Slots: 4})
	f.platform.unresponsive = true
	first := f.Plan(f.now, 1)
	f.perform(first)
	if again := f.Plan(f.now, 1); len(again) != 0 {
		t.Fatalf("%d orders before ResendInterval has passed", len(again))
	}
	f.now = f.now.Add(defaultResendInterval)
	again := f.Plan(f.now, 2)
	want := first[0].(StartOrder)
	want.Fencing = 2
	if diff := cmp.Diff([]Order{want}, again); diff != "" {
		t.Errorf("resent orders (-want +got):\n%s", diff)
	}
}

func TestLoadsGoFirstToLargestShortfall(t *testing.T) {
	f := newFleet(Config{MaxLoads: 1}, Need{Service: "half", Version: "1", Slots: 8}, Need{Service: "none", Version: "1", Slots: 8})
	f.Adopt("h1", offer("a", true, 0.3), "half", "1")
	f.Adopt("h2", offer("a", true, 0.3), "half", "")
	f.Adopt("n1", offer("b", true, 0.3), "none", "")
	f.Adopt("n2", offer("b", true, 0.3), "none", "")
	var got []identifier.BackendServer
	for range 3 {
		for _, o := range f.Plan(f.now, 1) {
			l := o.(LoadOrder)
			got = append(got, l.BackendServer)
			f.Observe(f.now, Loaded{OrderID: l.OrderID})
		}
	}
	want := []identifier.BackendServer{"n1", "h2", "n2"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("loads (-want +got):\n%s", diff)
	}
}

// TestPropertyNeedsAreMetAfterReclaimWaves drives a Planner through reclaims of
// entire domains, refusals and unanswered orders. Once the platform answers
// again, the needs must be met, a reclaim of any one domain must leave the
// floor, and no host may have been started twice.
func TestPropertyNeedsAreMetAfterReclaimWaves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		need := Need{Service: "s", Version: "1", Slots: rapid.IntRange(1, 10).Draw(t, "hosts") * 4}
		need.Floor = rapid.IntRange(0, need.Slots).Draw(t, "floor")
		f := newFleet(Config{MaxLoads: rapid.IntRange(1, 3).Draw(t, "loads")}, need)
		t.Repeat(map[string]func(*rapid.T){
			"plan": func(t *rapid.T) {
				orders := f.Plan(f.now, 1)
				if len(f.loads) > f.cfg.MaxLoads {
					t.Fatalf("%d loads pending, want at most %d", len(f.loads), f.cfg.MaxLoads)
				}
				f.perform(rapid.SampledFrom([][]Order{orders, nil}).Draw(t, "performed"))
			},
			"wave": func(t *rapid.T) {
				d := rapid.SampledFrom([]identifier.FailureDomain{"a", "b", "c"}).Draw(t, "domain")
				for _, h := range f.sortedHosts("") {
					if h.offer.FailureDomain == d && h.offer.Reclaimable {
						f.Observe(f.now, Reclaimed{BackendServer: h.name})
						f.Observe(f.now, Gone{BackendServer: h.name})
					}
				}
			},
			"refuse": func(t *rapid.T) {
				f.platform.refuses[rapid.SampledFrom(offers()[:3]).Draw(t, "offer").OfferKey] = rapid.Bool().Draw(t, "refused")
			},
			"silence": func(t *rapid.T) { f.platform.unresponsive = rapid.Bool().Draw(t, "silent") },
			"need": func(t *rapid.T) {
				need.Slots = rapid.IntRange(1, 10).Draw(t, "hosts") * 4
				need.Floor = rapid.IntRange(0, need.Slots).Draw(t, "floor")
				f.SetNeeds([]Need{need})
			},
			"time": func(*rapid.T) { f.now = f.now.Add(20 * time.Second) },
		})
		f.platform.unresponsive = false
		f.now = f.now.Add(maxBackoff)
		f.settle(t)
		c := f.capacityOf(&need)
		if c.ready < need.Slots {
			t.Fatalf("%d slots are ready, want %d", c.ready, need.Slots)
		}
		for d, r := range c.reclaimable {
			if c.slots-r < need.Floor {
				t.Fatalf("a reclaim of %s leaves %d slots, want %d", d, c.slots-r, need.Floor)
			}
		}
		started := make(map[identifier.BackendServer]bool)
		for _, name := range f.platform.hosts {
			if started[name] {
				t.Fatalf("host %s was started twice", name)
			}
			started[name] = true
		}
	})
}
