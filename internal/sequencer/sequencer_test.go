package sequencer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestEventsRunInOrder checks that events run by time, those of the same time in
// the order in which they were added, and none after the given time.
func TestEventsRunInOrder(t *testing.T) {
	start := time.Unix(1000, 0)
	var q Queue
	var got []string
	record := func(name string) func(time.Time) { return func(time.Time) { got = append(got, name) } }
	q.Add(start.Add(2*time.Second), record("third"))
	q.Add(start, func(now time.Time) {
		got = append(got, "first")
		q.Add(now.Add(2*time.Second), record("fourth"))
		q.Add(now.Add(time.Second), record("second"))
	})
	q.Add(start.Add(2*time.Second+1), record("too late"))
	q.Run(start.Add(2 * time.Second))
	if diff := cmp.Diff([]string{"first", "second", "third", "fourth"}, got); diff != "" {
		t.Errorf("events differ (-want +got):\n%s", diff)
	}
}
