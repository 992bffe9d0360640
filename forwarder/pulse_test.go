package forwarder

import (
	"testing"
	"time"
)

// TestPulseTellsThatTheHostStoodStill checks which times count as those after a standstill.
func TestPulseTellsThatTheHostStoodStill(t *testing.T) {
	start := time.Unix(1e9, 0)
	for _, tc := range []struct {
		name  string
		beats []time.Duration
		at    time.Duration
		want  bool
	}{
		{"no beats", nil, time.Hour, false},
		{"regular beats", []time.Duration{0, reachInterval, 2 * reachInterval}, 3 * reachInterval, false},
		{"beats of a busy host", []time.Duration{0, 3 * reachInterval}, 6 * reachInterval, false},
		{"an overdue beat", []time.Duration{0}, 4 * time.Second, true},
		{"right after a late beat", []time.Duration{0, 4 * time.Second}, 4 * time.Second, true},
		{"right before a late beat", []time.Duration{0, 4 * time.Second}, 4*time.Second - 1, true},
		{"some time after it", []time.Duration{0, 4 * time.Second, 4*time.Second + reachInterval}, 4*time.Second + 2*reachInterval, true},
		{"long after it", []time.Duration{0, 4 * time.Second, 4300 * time.Millisecond, 4600 * time.Millisecond, 4900 * time.Millisecond}, 5100 * time.Millisecond, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var p pulse
			for _, b := range tc.beats {
				p.beat(start.Add(b))
			}
			at := start.Add(tc.at)
			if got := p.stoodStillAround(at, at); got != tc.want {
				t.Errorf("stood still: %v, want %v", got, tc.want)
			}
		})
	}
}
