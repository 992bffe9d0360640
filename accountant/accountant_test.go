package accountant

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/describer"
)

const length = 5 * time.Second

// TestReportsMayRepeatAndArriveLate checks that repeated, late and lost reports
// do not change a sum, and that the counts of two runs of one host are added.
func TestReportsMayRepeatAndArriveLate(t *testing.T) {
	start := describer.Window(100).End(length)
	m := NewMeter(length)
	m.Begin("foodbank", start)
	early := m.Counts(start)
	m.Begin("foodbank", start.Add(time.Second))
	m.Begin("choir", start.Add(2*time.Second))
	late := m.Counts(start.Add(3 * time.Second))

	l := NewLedger(length, 2*time.Second, 8*time.Second)
	now := start.Add(4 * time.Second)
	l.Merge(now, "a", 1, late)
	l.Merge(now, "a", 1, early)
	l.Merge(now, "a", 1, late)
	l.Merge(now, "a", 2, early)
	if diff := cmp.Diff(describer.Counts{"foodbank": 3, "choir": 1}, l.Sum(101)); diff != "" {
		t.Errorf("sum differs (-want +got):\n%s", diff)
	}
}

func TestWindowsAreDueAfterTheGracePeriod(t *testing.T) {
	l := NewLedger(length, 2*time.Second, 8*time.Second)
	end := describer.Window(101).End(length)
	l.Merge(end.Add(-time.Second), "a", 1, map[describer.Window]describer.Counts{101: {"choir": 1}})
	l.Merge(end.Add(time.Second), "a", 1, map[describer.Window]describer.Counts{101: {"choir": 1}})
	if due := l.Due(end.Add(time.Second), 100); len(due) != 0 {
		t.Errorf("windows %v are due before the grace period has passed", due)
	}
	l.Merge(end.Add(2*time.Second), "a", 1, nil)
	if diff := cmp.Diff([]describer.Window{101}, l.Due(end.Add(2*time.Second), 100)); diff != "" {
		t.Errorf("due windows differ (-want +got):\n%s", diff)
	}
	if due := l.Due(end.Add(2*time.Second), 101); len(due) != 0 {
		t.Errorf("closed windows %v are due again", due)
	}
}

// TestWindowsWaitForSilentHosts guards against losing counts when a host is
// partitioned around the end of a window or the leader is new: the window is
// closed late, with the counts that arrived in the meantime.
func TestWindowsWaitForSilentHosts(t *testing.T) {
	end := describer.Window(101).End(length)
	for _, isNew := range []bool{false, true} {
		l := NewLedger(length, 2*time.Second, 8*time.Second)
		if isNew {
			l.Begin(end.Add(time.Second))
		} else {
			l.Merge(end.Add(-time.Second), "cut-off", 1, map[describer.Window]describer.Counts{101: {"choir": 1}})
		}
		l.Merge(end.Add(3*time.Second), "a", 1, map[describer.Window]describer.Counts{101: {"choir": 2}})
		if due := l.Due(end.Add(3*time.Second), 100); len(due) != 0 {
			t.Errorf("new leader %v: windows %v are due without all counts", isNew, due)
		}
		l.Merge(end.Add(7*time.Second), "cut-off", 1, map[describer.Window]describer.Counts{101: {"choir": 5}})
		l.Merge(end.Add(7*time.Second), "a", 1, map[describer.Window]describer.Counts{101: {"choir": 2}})
		if due := l.Due(end.Add(8*time.Second), 100); len(due) != 1 || l.Sum(101)["choir"] != 7 {
			t.Errorf("new leader %v: windows %v are due with %v", isNew, due, l.Sum(101))
		}
	}
}

// TestWindowsAreClosedInOrder guards against closing a window before an earlier
// one: the first window of a new leader is closed late, since the leader may not
// know all hosts yet.
func TestWindowsAreClosedInOrder(t *testing.T) {
	end := describer.Window(101).End(length)
	l := NewLedger(length, 2*time.Second, 8*time.Second)
	l.Begin(end.Add(-500 * time.Millisecond))
	for at := end; at.Before(end.Add(8 * time.Second)); at = at.Add(250 * time.Millisecond) {
		l.Merge(at, "a", 1, map[describer.Window]describer.Counts{101: {"choir": 2}, 102: {"choir": 3}})
		if due := l.Due(at, 100); len(due) != 0 {
			t.Fatalf("%v after the end of window 101 windows %v are due", at.Sub(end), due)
		}
	}
	l.Merge(end.Add(8*time.Second), "a", 1, nil)
	if diff := cmp.Diff([]describer.Window{101, 102}, l.Due(end.Add(8*time.Second), 100)); diff != "" {
		t.Errorf("due windows differ (-want +got):\n%s", diff)
	}
}

// TestHostsOfAWindow checks that a restarted host counts once and that a silent
// host is reported.
func TestHostsOfAWindow(t *testing.T) {
	now := describer.Window(101).End(length)
	l := NewLedger(length, 2*time.Second, 8*time.Second)
	l.Merge(now, "a", 1, map[describer.Window]describer.Counts{101: {"choir": 1}})
	l.Merge(now, "a", 2, map[describer.Window]describer.Counts{101: {"choir": 1}})
	l.Merge(now.Add(-silentAfter-1), "b", 1, nil)
	if reported, silent := l.Hosts(101, now); reported != 1 || silent != 1 {
		t.Errorf("%d hosts reported counts and %d are silent, want 1 and 1", reported, silent)
	}
}

// TestStoppedHostIsNotWaitedFor checks that the last report of a host that
// stops is counted and that the host does not delay the closing of windows.
func TestStoppedHostIsNotWaitedFor(t *testing.T) {
	l := NewLedger(length, 2*time.Second, 8*time.Second)
	end := describer.Window(101).End(length)
	l.Merge(end.Add(-2*time.Second), "a", 1, map[describer.Window]describer.Counts{101: {"choir": 1}})
	l.Leave(end.Add(-time.Second), "a", 1, map[describer.Window]describer.Counts{101: {"choir": 2}})
	if diff := cmp.Diff([]describer.Window{101}, l.Due(end.Add(2*time.Second), 100)); diff != "" {
		t.Errorf("due windows differ (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(describer.Counts{"choir": 2}, l.Sum(101)); diff != "" {
		t.Errorf("sum differs (-want +got):\n%s", diff)
	}
}
