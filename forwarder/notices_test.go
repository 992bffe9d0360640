package forwarder

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/discoverer"
	"cyclamenhub.org/identifier"
)

// TestNewTimesCount checks which time counts when a listing names another one for a server that is
// taken away: the newest, but the same number again and again names no new one.
func TestNewTimesCount(t *testing.T) {
	start := time.Unix(1e9, 0)
	type naming struct{ after, leavesIn time.Duration }
	for _, tc := range []struct {
		name    string
		namings []naming
		// goneIn is the time that counts, after start.
		goneIn time.Duration
	}{
		{"one", []naming{{0, 3 * time.Second}}, 3 * time.Second},
		{"counted down", []naming{{0, 3 * time.Second}, {time.Second, 2 * time.Second}}, 3 * time.Second},
		{"not counted down", []naming{{0, 3 * time.Second}, {time.Second, 3 * time.Second}, {2 * time.Second, 3 * time.Second}}, 3 * time.Second},
		{"put off", []naming{{0, 3 * time.Second}, {time.Second, 9 * time.Second}}, 10 * time.Second},
		{"brought forward", []naming{{0, 30 * time.Second}, {time.Second, time.Second}}, 2 * time.Second},
		{"not named any more", []naming{{0, 3 * time.Second}, {time.Second, 0}}, 3 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var n notices
			for _, named := range tc.namings {
				in := describer.Instance{ID: "b0", Service: "s", Address: "127.0.0.1:1", Draining: true, LeavesIn: named.leavesIn}
				n.update(newFleet(&discoverer.Listing{At: start.Add(named.after), Instances: []describer.Instance{in}}))
			}
			known, _ := n.of(identifier.ServerRun{ID: "b0"})
			if diff := cmp.Diff(tc.goneIn, known.goneAt.Sub(start)); diff != "" {
				t.Errorf("the time at which the server is gone differs (-want +got):\n%s", diff)
			}
		})
	}
}

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
