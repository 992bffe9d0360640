package sequencer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestTimelineMovesWithEvents checks the clock during the events and after them.
func TestTimelineMovesWithEvents(t *testing.T) {
	start := time.Unix(1000, 0)
	line := NewTimeline(start)
	var got []time.Duration
	record := func() { got = append(got, line.Now().Sub(start)) }
	line.After(2*time.Second, record)
	line.After(time.Second, func() {
		record()
		line.After(500*time.Millisecond, record)
	})
	line.RunUntil(start.Add(time.Minute))
	record()
	if diff := cmp.Diff([]time.Duration{time.Second, 1500 * time.Millisecond, 2 * time.Second, time.Minute}, got); diff != "" {
		t.Errorf("times differ (-want +got):\n%s", diff)
	}
}
