package roller

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/identifier"
)

// pickedVersion returns the version that a request to the service goes to.
func pickedVersion(es *Evaluators) identifier.Version {
	t := es.Pick("drafting", "r-1", testRoute, LightLoad)
	t.End(Result{})
	return t.Version()
}

// The version of a request must follow from the fleet document and the ended
// rollouts, also if they arrive in either order after a restart.
func TestEvaluatorsFollowDocumentAndRollouts(t *testing.T) {
	done := EncodeDirectives([]Directive{{Service: "drafting", Sequence: 9, Control: "v2", Replaces: "v1"}})
	es := NewEvaluators(Source{Host: "a1", Epoch: 1})
	var got []identifier.Version
	step := func(f func()) {
		f()
		got = append(got, pickedVersion(es))
	}
	apply := func() {
		if err := es.ApplyDirectives(done, testTime); err != nil {
			t.Fatal(err)
		}
	}
	step(func() {})
	step(func() { es.Configure("drafting", "v1", nil) })
	step(apply)
	step(func() { es.Configure("drafting", "v2", nil) })
	step(func() { es.Configure("drafting", "v3", nil) })
	es = NewEvaluators(Source{Host: "a1", Epoch: 2})
	step(apply)
	step(func() { es.Configure("drafting", "v1", nil) })
	want := []identifier.Version{"", "v1", "v2", "v2", "v3", "", "v2"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// A host must report a new verdict immediately. Other reports wait for their
// interval.
func TestEvaluatorsReportVerdictsImmediately(t *testing.T) {
	es := NewEvaluators(Source{Host: "a1", Epoch: 1})
	es.Configure("drafting", "v1", []identifier.Route{testRoute})
	now := testTime
	if n := len(es.Tick(now, now)); n != 1 {
		t.Fatalf("%d reports at the start, want 1", n)
	}
	d := Directive{Service: "drafting", Rollout: "m", Sequence: 1, Control: "v1", Candidate: "v2", Level: LevelOf(0.1), Hosts: 1}
	if err := es.ApplyDirectives(EncodeDirectives([]Directive{d}), now); err != nil {
		t.Fatal(err)
	}
	sendRequests((*es.evaluators.Load())["drafting"], testRoute, 0, 500)
	rs := es.Tick(now.Add(time.Millisecond), now)
	if len(rs) != 1 || len(rs[0].Verdicts) == 0 {
		t.Errorf("reports %v, want one with a verdict", rs)
	}
}

// The version of a reverted rollout must not become the current one because
// more of its servers are listed than of the version in use.
func TestWithdrawnVersionIsUnproven(t *testing.T) {
	r := Record{Start: StartRollout{ID: "m", Service: "drafting", From: "v1", To: "v2"}, Phase: Staged, Level: 6}
	es := NewEvaluators(Source{Host: "a1", Epoch: 1})
	for i, p := range []Phase{Staged, Watched, Reverted, Done} {
		r.Phase, r.Sequence = p, uint64(i+1)
		if err := es.ApplyDirectives(EncodeDirectives([]Directive{r.directive()}), testTime); err != nil {
			t.Fatal(err)
		}
		want := identifier.Version("v2")
		if p == Done {
			want = ""
		}
		if got := es.Unproven("drafting"); got != want {
			t.Errorf("%s: %q is unproven, want %q", p, got, want)
		}
	}
}

// A stream that begins late must count as slow before it ends, and once.
func TestSlowStreamCountsAtFirstContent(t *testing.T) {
	e := NewEvaluator(Source{Host: "a1", Epoch: 1}, "drafting", "v1", nil)
	e.Apply(Directive{
		Service: "drafting", Rollout: "m", Sequence: 1, Control: "v1", Candidate: "v2", Level: TopLevel, Hosts: 1,
		Thresholds: []Threshold{{CellKey: CellKey{Route: OtherRoute, Band: LightLoad}, Latency: time.Second}},
	}, testTime)
	a := e.Pick("r-1", testRoute, LightLoad)
	a.FirstContent(2 * time.Second)
	if diff := cmp.Diff(Tally{Slow: 1}, e.Report().Cells.Total(Candidate)); diff != "" {
		t.Errorf("before the end (-want +got):\n%s", diff)
	}
	a.End(Result{Outcome: Succeeded, Latency: 2 * time.Second})
	if diff := cmp.Diff(Tally{Requests: 1, Slow: 1}, e.Report().Cells.Total(Candidate)); diff != "" {
		t.Errorf("after the end (-want +got):\n%s", diff)
	}
}
