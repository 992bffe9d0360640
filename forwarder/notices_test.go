package forwarder

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/discoverer"
	"cyclamenhub.org/identifier"
)

// TestNoticesOutlastTheList checks for how long and since when it is known that a run leaves.
func TestNoticesOutlastTheList(t *testing.T) {
	run := identifier.ServerRun{ID: "b0"}
	start := time.Unix(1e9, 0)
	listed := func(n *notices, after time.Duration, isThere, draining bool) {
		l := &discoverer.Listing{At: start.Add(after)}
		if isThere {
			l.Instances = []describer.Instance{{ID: "b0", Service: "s", Address: "127.0.0.1:1", Draining: draining}}
		}
		n.update(newFleet(l))
	}
	for _, tc := range []struct {
		name   string
		events func(n *notices)
		// since is when the run is known to leave after start, or less than 0 if it is not.
		since time.Duration
	}{
		{"listed again and again", func(n *notices) { listed(n, 1, true, true); listed(n, 2, true, true) }, 1},
		{"gone from the list", func(n *notices) { listed(n, 1, true, true); listed(n, noticeMemory, false, false) }, 1},
		{"gone for long", func(n *notices) { listed(n, 1, true, true); listed(n, 2*noticeMemory, false, false) }, -1},
		{"said before it is listed", func(n *notices) { n.heard(run, true, start.Add(1)); listed(n, 2, true, true) }, 1},
		{"taken back", func(n *notices) { n.heard(run, true, start.Add(1)); n.heard(run, false, start.Add(2)) }, -1},
		{"taken back, but listed", func(n *notices) { listed(n, 1, true, true); n.heard(run, false, start.Add(2)) }, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var n notices
			tc.events(&n)
			got := time.Duration(-1)
			if known, ok := n.of(run); ok {
				got = known.at.Sub(start)
			}
			if diff := cmp.Diff(tc.since, got); diff != "" {
				t.Errorf("the time since which the run leaves differs (-want +got):\n%s", diff)
			}
		})
	}
}
