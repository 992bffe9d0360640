package roller

import "time"

// The schedule of a rollout.
const (
	// firstStageRate is the rate of requests on the candidate that the first
	// stage aims at, per second.
	firstStageRate = 0.1
	// scheduleShare is the part of the time to the deadline after which all
	// traffic has moved; the rest is for what goes wrong.
	scheduleShare = 0.85
)

// The bounds of the first stage's level: 0.1% and 10%.
const (
	lowestFirstLevel  Level = 1
	highestFirstLevel Level = 7
)

// unknownRateLevel is the first level while the rate of requests is not known:
// 1%.
const unknownRateLevel Level = 4

// defaultInFlight bounds the requests on the candidate that each host has in
// flight in the early stages.
const defaultInFlight = 16

// highestCappedLevel is the highest level with that bound: 10%. Above it the
// bound would keep a busy host from ever reaching its share, and the last step
// would be a leap.
const highestCappedLevel = highestFirstLevel

// FirstLevel returns the level of the first stage for a service that gets rate
// requests a second: low enough that a bad version gets few requests, and high
// enough that it shows.
func FirstLevel(rate float64) Level {
	l := lowestFirstLevel
	for l < highestFirstLevel && rate*float64((l+1).Share()) <= firstStageRate {
		l++
	}
	return l
}

// scheduledLevel returns the level that a rollout should have reached by now.
// The step reached grows with the square of the time passed: the low levels
// last longest, since there a bad version does least harm, and the later
// stages, which get more requests, need less time for as much evidence.
func scheduledLevel(s *StartRollout, now time.Time) Level {
	if !s.Leap.IsZero() {
		if now.Before(s.Leap) {
			return s.FirstLevel
		}
		return TopLevel
	}
	span := float64(s.Deadline.Sub(s.At)) * scheduleShare
	passed := min(max(float64(now.Sub(s.At))/span, 0), 1)
	steps := float64(TopLevel - s.FirstLevel)
	return s.FirstLevel + Level(steps*passed*passed)
}

// The last call before a deadline: a rollout that was not condemned moves all
// traffic a minute before, or a twentieth of its time where that is less.
const (
	lastCall     = time.Minute
	lastCallPart = 20
)

// isLastCall reports whether the last call has come.
func isLastCall(s *StartRollout, now time.Time) bool {
	early := min(lastCall, s.Deadline.Sub(s.At)/lastCallPart)
	return !now.Before(s.Deadline.Add(-early))
}
