package forwarder

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/discoverer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/placer"
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

// TestCurrentVersionTakesCallsOfLimitedCandidate checks that a call picked for a
// version whose servers have used up their limits is sent to the current one.
func TestCurrentVersionTakesCallsOfLimitedCandidate(t *testing.T) {
	h := newHarness(t, sealedResponse(http.StatusOK, testLimit+": 0.5\r\n", "done"), sealedResponse(http.StatusOK, "", "done"))
	h.opts.Placer = placer.New(placer.Options{})
	l := &discoverer.Listing{}
	for i, v := range []identifier.Version{"v1", "v0"} {
		l.Instances = append(l.Instances, describer.Instance{
			ID: identifier.BackendServer(fmt.Sprint("b", i)), Service: "cases", Address: h.backends.start(), Version: v, Slots: 4,
		})
	}
	h.SetListing(l)
	es := roller.NewEvaluators(roller.Source{Host: "h1", Epoch: 1})
	es.Configure("cases", "v0", nil)
	d := roller.Directive{Service: "cases", Rollout: "m", Sequence: 1, Control: "v0", Candidate: "v1", Level: roller.TopLevel, Hosts: 1}
	if err := es.ApplyDirectives(roller.EncodeDirectives([]roller.Directive{d}), time.Now()); err != nil {
		t.Fatal(err)
	}
	h.opts.Versions = es
	for range 2 {
		if res := h.call(t, http.MethodPost, "/file/1", "key", ""); res.status != http.StatusOK {
			t.Errorf("status %d, want 200", res.status)
		}
	}
	var servers []string
	for _, r := range h.backends.requests() {
		servers = append(servers, r.header.Get(testServer))
	}
	if diff := cmp.Diff([]string{"b0", "b1"}, servers); diff != "" {
		t.Errorf("servers of the calls differ (-want +got):\n%s", diff)
	}
}
