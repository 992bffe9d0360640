package admitter

import "time"

// Bounds of the concurrency limit.
const (
	// minLimit is the lowest concurrency limit.
	minLimit = 1
	// decreaseFactor multiplies the limit when more than maxLateShare of the
	// first tokens were late.
	decreaseFactor = 0.95
	// severeDecreaseFactor multiplies the limit when more than severeLateShare
	// of them were late, as after a loss of servers.
	severeDecreaseFactor = 0.7
	// severeLateShare is the late part of a window above which
	// severeDecreaseFactor applies.
	severeLateShare = 0.5
	// increaseStep is what a saturated window without too many late first
	// tokens adds to the limit, in requests.
	increaseStep = 1
	// maxLateShare is the part of a window that may be late: the target is for
	// 95 in 100.
	maxLateShare = 0.05
	// minSamples is the smallest number of first tokens in a window.
	minSamples = 20
)

// limit bounds the in-flight requests of a service. At the end of a window of
// first tokens, it is multiplied by a factor below 1 if more of them were late
// than the target allows; it is raised by a step if they were not and the limit
// had delayed requests (additive increase, multiplicative decrease: Chiu and
// Jain, "Analysis of the Increase and Decrease Algorithms for Congestion
// Avoidance in Computer Networks", 1989).
type limit struct {
	target  time.Duration
	ceiling float64
	value   float64

	// samples and late count the first tokens of the window, peak is the
	// largest number of in-flight requests in it, and saturated is set when the
	// limit has delayed a request.
	samples, late int
	peak          float64
	saturated     bool
}

// newLimit returns a limit that starts at its ceiling.
func newLimit(target time.Duration, ceiling int) limit {
	c := float64(max(ceiling, minLimit))
	return limit{target: target, ceiling: c, value: c}
}

// setCeiling changes the ceiling. It scales the value in proportion, but lowers
// it only as far as the new ceiling.
func (l *limit) setCeiling(ceiling int) {
	c := float64(max(ceiling, minLimit))
	l.value = min(max(l.value*c/l.ceiling, minLimit), c)
	l.ceiling = c
}

// allows reports whether one more request may start when inFlight are running.
func (l *limit) allows(inFlight int) bool {
	if float64(inFlight)+1 <= l.value {
		return true
	}
	l.saturated = true
	return false
}

// observe records a first token that took d while inFlight requests were
// running.
func (l *limit) observe(d time.Duration, inFlight int) {
	if l.target <= 0 || d <= 0 {
		return
	}
	l.samples++
	l.peak = max(l.peak, float64(inFlight))
	if d > l.target {
		l.late++
	}
	if l.samples < max(minSamples, int(min(l.value, l.peak))) {
		return
	}
	late := float64(l.late) / float64(l.samples)
	// If the peak stayed below the limit, a decrease that starts from the limit
	// might have no effect, so it starts from the peak.
	switch reached := min(l.value, l.peak); {
	case late > severeLateShare:
		l.value = max(reached*severeDecreaseFactor, minLimit)
	case late > maxLateShare:
		l.value = max(reached*decreaseFactor, minLimit)
	case l.saturated:
		l.value = min(l.value+increaseStep, l.ceiling)
	}
	l.samples, l.late, l.peak, l.saturated = 0, 0, 0, false
}
