package roller

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// cutoverRecord returns a rollout of 16 s that has only a cutover.
func cutoverRecord() *Record {
	r := &Record{Start: StartRollout{ID: "m", Service: "filing", From: "v1", To: "v2", At: testTime, Hosts: 2, Routes: 1}, Phase: Staged}
	r.Start.PlanCutover(16*time.Second, Exposure{Share: 0.1, Requests: 50})
	r.Level = r.Start.FirstLevel
	return r
}

// cutoverReport returns a report of n requests on the control, and of as many
// on the candidate as its share gives, of which failed failed.
func cutoverReport(r *Record, n, failed uint64) Report {
	c := &Cell{}
	c.Tallies[Candidate][r.Level] = Tally{Requests: max(uint64(float64(n)*float64(r.Level.Share())), failed), Failed: failed}
	c.Tallies[Control][r.Level] = Tally{Requests: n, Failed: n / 50}
	return Report{
		Source: Source{Host: "h1", Epoch: 1}, Service: r.Start.Service, Rollout: r.Start.ID, Control: r.Start.From,
		Cells: Cells{CellKey{Route: OtherRoute}: c},
	}
}

// A rollout whose time is too short for stages must keep its level until the
// time at which all traffic moves in one step, unless the exposure allows more.
func TestLevelHoldsUntilCutover(t *testing.T) {
	r := cutoverRecord()
	r.Start.Exposure = Exposure{}
	c := NewController(&State{})
	got := make(map[time.Duration]Level)
	want := map[time.Duration]Level{
		0: r.Start.FirstLevel, 9 * time.Second: r.Start.FirstLevel,
		r.Start.Cutover.Sub(r.Start.At) - 1: r.Start.FirstLevel, r.Start.Cutover.Sub(r.Start.At): TopLevel, time.Minute: TopLevel,
	}
	for after := range want {
		got[after] = c.cutoverLevel(r, testTime.Add(after))
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// The fewer requests a service gets, the larger the share that uses up half of
// the exposure.
func TestCanaryLevelFollowsRate(t *testing.T) {
	got := make(map[float64]float64)
	for _, rate := range []float64{0.5, 5, 10, 25, 40, 100, 1000} {
		got[rate] = float64(canaryLevel(&cutoverRecord().Start, rate).Share())
	}
	want := map[float64]float64{0.5: 0.2, 5: 0.2, 10: 0.2, 25: 0.1, 40: 0.05, 100: 0.05, 1000: 0.05}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Five failures in twenty requests are no proof. They must hold back the
// cutover, and must take the candidate back when the time is up.
func TestSuspectedCandidateIsNotPromoted(t *testing.T) {
	r := cutoverRecord()
	c := NewController(&State{})
	c.Merge(cutoverReport(r, 400, 5))
	if es := c.decide(r, r.Start.Cutover); len(es) > 0 {
		t.Errorf("events %v at the cutover, want none", es)
	}
	es := c.decide(r, r.Start.Deadline)
	if len(es) != 1 {
		t.Fatalf("events %v at the deadline, want a verdict", es)
	}
	if _, ok := es[0].(VerdictReached); !ok {
		t.Errorf("event %T at the deadline, want a verdict", es[0])
	}
}

// A candidate that turns bad after the cutover must be taken back at the end of
// the watch period, however few requests the control still got.
func TestCandidateTurnsBadAfterCutover(t *testing.T) {
	for _, tt := range []struct {
		failed uint64
		want   Event
	}{{0, WatchEnded{}}, {12, VerdictReached{}}} {
		r := cutoverRecord()
		c := NewController(&State{})
		c.Merge(cutoverReport(r, 300, 0))
		r.Phase, r.Level, r.MovedAt = Watched, TopLevel, r.Start.Cutover
		after := cutoverReport(r, 0, tt.failed)
		after.Host = "h2"
		c.Merge(after)
		es := c.decide(r, r.Start.watchEnd())
		if len(es) != 1 {
			t.Fatalf("%d failures: events %v, want one", tt.failed, es)
		}
		if got, want := fmt.Sprintf("%T", es[0]), fmt.Sprintf("%T", tt.want); got != want {
			t.Errorf("%d failures: %s, want %s", tt.failed, got, want)
		}
	}
}

// The share of a low rate must fall once the rate is known to be higher, and must
// not change with each reading.
func TestCanaryLevelFollowsRisingRate(t *testing.T) {
	r := cutoverRecord()
	r.Level = maxCanaryLevel
	c := NewController(&State{})
	n := uint64(0)
	var got []float64
	for after := time.Second; after < r.Start.Cutover.Sub(r.Start.At); after += time.Second {
		n += 60
		c.Merge(cutoverReport(r, n, 0))
		if l := c.cutoverLevel(r, testTime.Add(after)); l != r.Level {
			r.Level = l
			got = append(got, float64(l.Share()))
		}
	}
	if diff := cmp.Diff([]float64{0.05}, got); diff != "" {
		t.Errorf("changes of the share differ (-want +got):\n%s", diff)
	}
}
