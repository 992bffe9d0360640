package accountant

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const length = 5 * time.Second

// TestReportsMayComeTwiceAndLate checks that repeated, late and lost reports
// change no sum, and that two runs of one host add up.
func TestReportsMayComeTwiceAndLate(t *testing.T) {
	start := Window(100).End(length)
	m := NewMeter(length)
	m.Begin("foodbank", start)
	early := m.Counts(start)
	m.Begin("foodbank", start.Add(time.Second))
	m.Begin("choir", start.Add(2*time.Second))
	late := m.Counts(start.Add(3 * time.Second))

	l := NewLedger(length, 2*time.Second)
	now := start.Add(4 * time.Second)
	l.Merge(now, "a", 1, late)
	l.Merge(now, "a", 1, early)
	l.Merge(now, "a", 1, late)
	l.Merge(now, "a", 2, early)
	if diff := cmp.Diff(Counts{"foodbank": 3, "choir": 1}, l.Sum(101)); diff != "" {
		t.Errorf("sum differs (-want +got):\n%s", diff)
	}
}

func TestWindowsAreDueAfterTheirGrace(t *testing.T) {
	l := NewLedger(length, 2*time.Second)
	end := Window(101).End(length)
	l.Merge(end.Add(-time.Second), "a", 1, map[Window]Counts{101: {"choir": 1}})
	if due := l.Due(end.Add(time.Second), 100); len(due) != 0 {
		t.Errorf("windows %v are due before the grace period has passed", due)
	}
	if diff := cmp.Diff([]Window{101}, l.Due(end.Add(2*time.Second), 100)); diff != "" {
		t.Errorf("due windows differ (-want +got):\n%s", diff)
	}
	if due := l.Due(end.Add(2*time.Second), 101); len(due) != 0 {
		t.Errorf("closed windows %v are due again", due)
	}
}
