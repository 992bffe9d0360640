package roller

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamenhub.org/identifier"
)

// startedState returns a State with one rollout at 10%.
func startedState(t interface{ Fatal(...any) }) *State {
	var state State
	if _, err := state.Apply(StartRollout{
		ID: "m", Service: "drafting", From: "v1", To: "v2", At: testTime, Deadline: testTime.Add(time.Hour),
		Watch: time.Hour, FirstLevel: LevelOf(0.1), Hosts: 2, Routes: 1,
	}); err != nil {
		t.Fatal(err)
	}
	return &state
}

// failingReport returns the report of a host on which the candidate failed n of
// n requests and the control none of 9n.
func failingReport(host identifier.Host, n uint64) Report {
	c := &Cell{}
	c.Tallies[Candidate][LevelOf(0.1)] = Tally{Requests: n, Failed: n}
	c.Tallies[Control][LevelOf(0.1)] = Tally{Requests: 9 * n}
	return Report{
		Source: Source{Host: host, Epoch: 1}, Service: "drafting", Rollout: "m", Control: "v1",
		Cells: Cells{CellKey{Route: OtherRoute}: c},
	}
}

// The controller must propose a verdict again if its event was lost before the
// State applied it.
func TestControllerRepeatsLostVerdict(t *testing.T) {
	state := startedState(t)
	c := NewController(state)
	c.Merge(failingReport("h1", 20))
	for range 2 {
		es := c.Decide(testTime.Add(time.Second))
		if len(es) != 1 {
			t.Fatalf("events %v, want a verdict", es)
		}
		if _, ok := es[0].(VerdictReached); !ok {
			t.Fatalf("event %T, want a verdict", es[0])
		}
	}
}

// Sufficient evidence from one host's own counters must lead to a verdict,
// however many good answers the other hosts report.
func TestOneLocalReportIsEnough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := startedState(t)
		c := NewController(state)
		good := &Cell{}
		n := rapid.Uint64Range(0, 10000).Draw(t, "sound failures")
		good.Tallies[Candidate][LevelOf(0.1)] = Tally{Requests: 100 * n, Failed: n / 10}
		good.Tallies[Control][LevelOf(0.1)] = Tally{Requests: 900 * n, Failed: n}
		other := failingReport("h2", 0)
		other.Cells = Cells{CellKey{Route: OtherRoute}: good}
		c.Merge(other)
		bad := failingReport("h1", 20)
		bad.Verdicts = make([]Verdict, 1)
		c.Merge(bad)
		es := c.Decide(testTime.Add(time.Second))
		if len(es) != 1 {
			t.Fatalf("events %v, want a verdict", es)
		}
		if _, ok := es[0].(VerdictReached); !ok {
			t.Fatalf("event %T, want a verdict", es[0])
		}
	})
}

// Evidence near the limit must prolong the watch period, at most to twice its
// length.
func TestEvidenceNearLimitProlongsWatch(t *testing.T) {
	for _, tt := range []struct {
		failed uint64
		watch  time.Duration
	}{{0, time.Hour}, {3, 2 * time.Hour}} {
		state := startedState(t)
		c := NewController(state)
		moved := testTime.Add(30 * time.Minute)
		if _, err := state.Apply(StageReached{ID: "m", Level: TopLevel, At: moved}); err != nil {
			t.Fatal(err)
		}
		c.Merge(failingReport("h1", tt.failed))
		if es := c.Decide(moved.Add(tt.watch - time.Second)); len(es) > 0 {
			t.Errorf("%d failures: events %v before %v have passed", tt.failed, es, tt.watch)
		}
		es := c.Decide(moved.Add(tt.watch))
		if len(es) != 1 {
			t.Fatalf("%d failures: events %v after %v, want the end", tt.failed, es, tt.watch)
		}
		if _, ok := es[0].(WatchEnded); !ok {
			t.Errorf("%d failures: event %T after %v, want the end", tt.failed, es[0], tt.watch)
		}
	}
}
