package roller

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/identifier"
)

const (
	testRoute  identifier.Route = "POST /drafts"
	otherRoute identifier.Route = "POST /filings"
)

var testTime = time.Date(2026, 3, 2, 18, 0, 0, 0, time.UTC)

// newTestEvaluator returns an evaluator in a rollout at level l.
func newTestEvaluator(l Level, inFlight int) *Evaluator {
	e := NewEvaluator(Source{Host: "a1", Epoch: 1}, "schrijfhulp", "v1", []identifier.Route{testRoute, otherRoute})
	e.Apply(Directive{
		Service: "schrijfhulp", Rollout: "move-1", Sequence: 1, Control: "v1", Candidate: "v2",
		Level: l, InFlight: inFlight, Hosts: 1,
	}, testTime)
	return e
}

// sendRequests sends n requests on a route; all those on the candidate fail. It
// returns the number of requests that went to the candidate.
func sendRequests(e *Evaluator, r identifier.Route, from, n int) int {
	got := 0
	for i := range n {
		t := e.Pick(identifier.RequestID(fmt.Sprint("r-", from+i)), r, LightLoad)
		o := Succeeded
		if t.Arm() == Candidate {
			got++
			o = Failed
		}
		e.Observe(t, Result{Outcome: o, Latency: time.Second})
	}
	return got
}

func TestEvaluatorStopsAtOwnVerdict(t *testing.T) {
	e := newTestEvaluator(LevelOf(0.1), 0)
	if sendRequests(e, testRoute, 0, 500) == 0 {
		t.Fatal("the candidate got no request")
	}
	if e.Evaluate() == nil {
		t.Fatal("no verdict on a candidate that fails every request")
	}
	if n := sendRequests(e, testRoute, 500, 2000); n != 0 {
		t.Errorf("the candidate got %d requests after the host's own verdict", n)
	}
}

func TestEvaluatorBoundsInFlight(t *testing.T) {
	const bound = 3
	e := newTestEvaluator(LevelOf(0.5), bound)
	var open []Assignment
	for i := range 100 {
		if a := e.Pick(identifier.RequestID(fmt.Sprint(i)), testRoute, LightLoad); a.Arm() == Candidate {
			open = append(open, a)
		}
	}
	if len(open) != bound {
		t.Fatalf("%d requests in flight on the candidate, want %d", len(open), bound)
	}
	e.Observe(open[0], Result{Outcome: Succeeded, Latency: time.Second})
	if n := sendRequests(e, testRoute, 100, 100); n == 0 {
		t.Error("the candidate got no request after a slot became free")
	}
}

// Without contact with the controller, a host keeps its share until
// contactTimeout and then lowers it in steps. A repeated directive restores it.
func TestLostContactLowersShare(t *testing.T) {
	e := newTestEvaluator(TopLevel, 0)
	d := e.directive
	var got []Level
	for _, after := range []time.Duration{contactTimeout / 2, contactTimeout, contactTimeout + stepDownInterval, time.Hour} {
		e.Tick(testTime.Add(after))
		got = append(got, e.split.Load().level)
	}
	e.Apply(d, testTime.Add(time.Hour))
	got = append(got, e.split.Load().level)
	if diff := cmp.Diff([]Level{TopLevel, TopLevel - 1, TopLevel - 2, NoLevel, TopLevel}, got); diff != "" {
		t.Error(diff)
	}
}

// Goroutines that race for the last in-flight slot must not exceed the limit on
// in-flight requests.
func TestConcurrentPicksRespectInFlightBound(t *testing.T) {
	const bound, goroutines, picks = 5, 8, 500
	e := newTestEvaluator(LevelOf(0.5), bound)
	var got atomic.Int64
	var wg sync.WaitGroup
	for g := range goroutines {
		wg.Go(func() {
			for i := range picks {
				if a := e.Pick(identifier.RequestID(fmt.Sprint(g, "-", i)), testRoute, LightLoad); a.Arm() == Candidate {
					got.Add(1)
				}
			}
		})
	}
	wg.Wait()
	if got.Load() != bound {
		t.Errorf("%d requests in flight on the candidate, want %d", got.Load(), bound)
	}
}
