package admitter

import "time"

// estimateWeight is the part of a new value in a moving average.
const estimateWeight = 0.05

// estimate is an exponentially weighted moving average. Its zero value knows
// nothing and takes the first value whole.
type estimate struct {
	value float64
	known bool
}

// add takes a new value in.
func (e *estimate) add(v float64) {
	if !e.known {
		e.value, e.known = v, true
		return
	}
	e.value += estimateWeight * (v - e.value)
}

// duration returns an average that was kept in seconds.
func (e *estimate) duration() time.Duration { return seconds(e.value) }
