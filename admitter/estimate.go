package admitter

import "time"

// estimateWeight is the weight of a new value in the moving average.
const estimateWeight = 0.05

// estimate is an exponentially weighted moving average. The zero value holds no
// average; its first value becomes the average.
type estimate struct {
	value float64
	known bool
}

// add includes v in the average.
func (e *estimate) add(v float64) {
	if !e.known {
		e.value, e.known = v, true
		return
	}
	e.value += estimateWeight * (v - e.value)
}

// duration returns the average, which must be in seconds, as a duration.
func (e *estimate) duration() time.Duration { return seconds(e.value) }
