package placer

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/reserver"
	"cyclamenhub.org/timer"
)

// TestCallsAtBrittleServersNeedPlaces guards against calls that are sent to a brittle server
// without a place, against places that are lost when a call has ended, and against a choice
// of a server that seems to be down while the leader could issue a place at another one.
func TestCallsAtBrittleServersNeedPlaces(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	p := New(Options{Clock: clock, Random: rand.New(rand.NewPCG(1, 1))})
	p.Publish([]Server{{ID: "s1", Service: "cases", Version: "v1", Slots: 2}, {ID: "s2", Service: "cases", Version: "v1", Slots: 2}})
	r := Request{Service: "cases", Version: "v1"}
	choose := func(r Request) *Choice {
		t.Helper()
		c, err := p.Choose(r)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	ledger := reserver.NewLedger(clock.Now())
	exchange := func() { p.ApplyPlaces(ledger.Exchange(clock.Now(), "h1", p.PlaceReport())) }

	clock.Advance(time.Minute)
	first := choose(r)
	first.RecordBrittle(nil)
	clock.Advance(100 * time.Millisecond)
	n := identifier.RequestRate(2)
	first.RecordBrittle(&n)
	first.End(Succeeded)
	down := choose(Request{Service: "cases", Version: "v1", Exclude: []identifier.BackendServer{"s2"}})
	down.End(Unreachable)
	exchange()
	clock.Advance(100 * time.Millisecond)

	var limited *LimitedError
	if _, err := p.Choose(r); !errors.As(err, &limited) || !limited.Asks || !p.NeedsPlaces() {
		t.Fatalf("without a place: %v, asks the leader: %v", err, p.NeedsPlaces())
	}
	exchange()
	r.HasAsked = true
	c := choose(r)
	if c.Server != "s2" {
		t.Errorf("a place at %s, which seems to be down", c.Server)
	}
	c.End(Succeeded)
	choose(r).End(Full)
	if _, err := p.Choose(r); !errors.As(err, &limited) || limited.Asks || limited.Wait <= 0 {
		t.Errorf("after a refusal by the server: %v", err)
	}
}
