package roller

import "testing"

// All requests that were at work when a server was lost speak of its host; one
// drawn later that is lost on the same server speaks of the version.
func TestLossesTellHostFromVersion(t *testing.T) {
	var l losses
	for range 2 {
		if l.lost("b1", 0) {
			t.Error("the version is blamed for the first loss of a server")
		}
	}
	if l.lost("b2", 1) {
		t.Error("the version is blamed for the loss of another server")
	}
	if !l.lost("b1", l.count.Load()) {
		t.Error("the version is not blamed for a request drawn and lost after the server came back")
	}
}
