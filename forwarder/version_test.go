package forwarder

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/roller"
)

// A 500 of the new version must count against it also where the call may not be
// sent again. A version that failed half of its calls was promoted, since two
// thirds of them were not idempotent and counted as successes.
func TestFailuresOfRolloutCountForEachKind(t *testing.T) {
	for _, path := range []string{"/file/1", "/look/1", "/draft/1"} {
		bad := sealedResponse(http.StatusInternalServerError, "", "bad")
		h := newHarness(t, bad, bad)
		es := roller.NewEvaluators(roller.Source{Host: "h1", Epoch: 1})
		es.Configure("cases", "v0", nil)
		d := roller.Directive{Service: "cases", Rollout: "m", Sequence: 1, Control: "v0", Candidate: "v1", Level: roller.TopLevel, Hosts: 1}
		now := time.Now()
		if err := es.ApplyDirectives(roller.EncodeDirectives([]roller.Directive{d}), now); err != nil {
			t.Fatal(err)
		}
		h.opts.Versions = es
		h.call(t, http.MethodPost, path, "key", "body")
		var got roller.Tally
		for _, r := range es.Tick(now, now) {
			got = r.Cells.Total(roller.Candidate)
		}
		if diff := cmp.Diff(roller.Tally{Requests: 1, Failed: 1}, got); diff != "" {
			t.Errorf("%s: (-want +got):\n%s", path, diff)
		}
	}
}

// A call whose first content is overdue must count as slow while it is pending,
// and once.
func TestOverdueCallCountsAsSlow(t *testing.T) {
	h := newHarness(t, sealedResponse(http.StatusOK, "", "done"))
	h.backends.hold = make(chan struct{})
	es := roller.NewEvaluators(roller.Source{Host: "h1", Epoch: 1})
	es.Configure("cases", "v0", nil)
	d := roller.Directive{
		Service: "cases", Rollout: "m", Sequence: 1, Control: "v0", Candidate: "v1", Level: roller.TopLevel, Hosts: 1, ReportAll: true,
		Thresholds: []roller.Threshold{{CellKey: roller.CellKey{Route: roller.OtherRoute}, Latency: time.Millisecond}},
	}
	now := time.Now()
	if err := es.ApplyDirectives(roller.EncodeDirectives([]roller.Directive{d}), now); err != nil {
		t.Fatal(err)
	}
	h.opts.Versions = es
	ended := make(chan response)
	go func() { ended <- h.call(t, http.MethodPost, "/file/1", "key", "body") }()
	tally := func() roller.Tally {
		now = now.Add(time.Minute)
		var sum roller.Tally
		for _, r := range es.Tick(now, now) {
			sum = r.Cells.Total(roller.Candidate)
		}
		return sum
	}
	for range 3000 {
		if tally().Slow > 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if diff := cmp.Diff(roller.Tally{Slow: 1}, tally()); diff != "" {
		t.Errorf("while the call is pending (-want +got):\n%s", diff)
	}
	close(h.backends.hold)
	<-ended
	if diff := cmp.Diff(roller.Tally{Requests: 1, Slow: 1}, tally()); diff != "" {
		t.Errorf("after the call (-want +got):\n%s", diff)
	}
}
