package roller

import (
	"fmt"
	"testing"
	"time"

	"cyclamenhub.org/identifier"
)

const (
	testRoute  identifier.Route = "POST /drafts"
	otherRoute identifier.Route = "POST /filings"
)

var testTime = time.Date(2026, 3, 2, 18, 0, 0, 0, time.UTC)

// newTestJudge returns a judge in a rollout at a level.
func newTestJudge(l Level, inFlight int) *Judge {
	j := NewJudge(Source{Host: "a1", Epoch: 1}, "schrijfhulp", "v1", []identifier.Route{testRoute, otherRoute})
	j.Apply(Directive{
		Service: "schrijfhulp", Rollout: "move-1", Sequence: 1, Control: "v1", Candidate: "v2",
		Level: l, InFlight: inFlight, Hosts: 1,
	}, testTime)
	return j
}

// play sends n requests on a route; the candidate fails all of its own. It
// returns how many the candidate got.
func play(j *Judge, r identifier.Route, from, n int) int {
	got := 0
	for i := range n {
		t := j.Draw(identifier.RequestID(fmt.Sprint("r-", from+i)), r, LightLoad)
		o := Succeeded
		if t.Arm() == Candidate {
			got++
			o = Failed
		}
		j.Observe(t, o, time.Second)
	}
	return got
}

func TestJudgeStopsAtOwnVerdict(t *testing.T) {
	j := newTestJudge(LevelOf(0.1), 0)
	if play(j, testRoute, 0, 500) == 0 {
		t.Fatal("the candidate got no request")
	}
	if j.Evaluate() == nil {
		t.Fatal("no verdict on a candidate that fails every request")
	}
	if n := play(j, testRoute, 500, 2000); n != 0 {
		t.Errorf("the candidate got %d requests after the host's own verdict", n)
	}
}

func TestJudgeBoundsInFlight(t *testing.T) {
	const bound = 3
	j := newTestJudge(LevelOf(0.5), bound)
	var open []Ticket
	for i := range 100 {
		if tk := j.Draw(identifier.RequestID(fmt.Sprint(i)), testRoute, LightLoad); tk.Arm() == Candidate {
			open = append(open, tk)
		}
	}
	if len(open) != bound {
		t.Fatalf("%d requests in flight on the candidate, want %d", len(open), bound)
	}
	j.Observe(open[0], Succeeded, time.Second)
	if n := play(j, testRoute, 100, 100); n == 0 {
		t.Error("the candidate got no request after a place was free")
	}
}
