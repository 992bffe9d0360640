package roller

import "testing"

// All requests that were in flight when a server was lost must be attributed to
// its host. A request assigned later that is lost on the same server must be
// attributed to the version.
func TestLossTrackerSeparatesHostFromVersion(t *testing.T) {
	var l lossTracker
	for range 2 {
		if l.record("b1", 0) {
			t.Error("the first loss of a server is attributed to the version")
		}
	}
	if l.record("b2", 1) {
		t.Error("the first loss of another server is attributed to the version")
	}
	if !l.record("b1", l.count.Load()) {
		t.Error("a request assigned and lost after the server recovered is not attributed to the version")
	}
}
