package admitter

import "time"

// Bounds of the concurrency limit.
const (
	// minLimit is the lowest concurrency limit.
	minLimit = 1
	// lowerFactor is what the limit is multiplied by when too many first
	// tokens came late.
	lowerFactor = 0.95
	// sharpFactor is the same when most of them came late, as after a loss of
	// servers.
	sharpFactor = 0.7
	// sharpShare is what part most is.
	sharpShare = 0.5
	// raiseStep is what a full window of timely first tokens adds, in requests.
	raiseStep = 1
	// lateShare is the part of a window that may be late: the target is for 95
	// in 100.
	lateShare = 0.05
	// minWindow is the fewest first tokens that a window is judged by.
	minWindow = 20
)

// limit bounds the requests that run side by side. It falls by a factor when
// more first tokens are late than the target allows and rises by a step when a
// window that used it up was timely (additive increase, multiplicative
// decrease: Chiu and Jain, "Analysis of the Increase and Decrease Algorithms
// for Congestion Avoidance in Computer Networks", 1989).
type limit struct {
	target  time.Duration
	ceiling float64
	value   float64

	// seen and late count first tokens in the window, most is the most requests
	// side by side in it, and full tells that the limit held something up.
	seen, late int
	most       float64
	full       bool
}

// newLimit returns a limit that starts at its ceiling.
func newLimit(target time.Duration, ceiling int) limit {
	c := float64(max(ceiling, minLimit))
	return limit{target: target, ceiling: c, value: c}
}

// setCeiling changes the ceiling; the value follows down at once, and up in
// proportion.
func (l *limit) setCeiling(ceiling int) {
	c := float64(max(ceiling, minLimit))
	l.value = min(max(l.value*c/l.ceiling, minLimit), c)
	l.ceiling = c
}

// allows reports whether one more may start beside inFlight others.
func (l *limit) allows(inFlight int) bool {
	if float64(inFlight)+1 <= l.value {
		return true
	}
	l.full = true
	return false
}

// observe takes in the time of a first token, with inFlight requests beside it.
func (l *limit) observe(d time.Duration, inFlight int) {
	if l.target <= 0 || d <= 0 {
		return
	}
	l.seen++
	l.most = max(l.most, float64(inFlight))
	if d > l.target {
		l.late++
	}
	if l.seen < max(minWindow, int(min(l.value, l.most))) {
		return
	}
	late := float64(l.late) / float64(l.seen)
	// A limit that was not reached bounds nothing: it falls from what was.
	switch reached := min(l.value, l.most); {
	case late > sharpShare:
		l.value = max(reached*sharpFactor, minLimit)
	case late > lateShare:
		l.value = max(reached*lowerFactor, minLimit)
	case l.full:
		l.value = min(l.value+raiseStep, l.ceiling)
	}
	l.seen, l.late, l.most, l.full = 0, 0, 0, false
}
