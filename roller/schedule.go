package roller

import "time"

// The parameters of the schedule.
const (
	// firstStageRate is the target rate of requests on the candidate in the
	// first stage, per second.
	firstStageRate = 0.1
	// scheduleShare is the fraction of the time to the deadline after which all
	// traffic has moved. The rest is a reserve for delays.
	scheduleShare = 0.85
)

// The bounds of the first stage's level: 0.1% and 10%.
const (
	lowestFirstLevel  Level = 1
	highestFirstLevel Level = 7
)

// unknownRateLevel is the first level if the rate of requests is unknown: 1%.
const unknownRateLevel Level = 4

// defaultInFlight is the maximum number of in-flight requests on the candidate
// per host in the early stages.
const defaultInFlight = 16

// highestCappedLevel is the highest level at which the number of in-flight
// requests is limited: 10%. Above it, the limit would keep a busy host from
// ever reaching its share, and the last step would move most of the traffic at
// once.
const highestCappedLevel = highestFirstLevel

// FirstLevel returns the level of the first stage for a service that receives
// rate requests per second. The level is low enough that a bad version receives
// few requests, and high enough that its faults are detected.
func FirstLevel(rate float64) Level {
	l := lowestFirstLevel
	for l < highestFirstLevel && rate*float64((l+1).Share()) <= firstStageRate {
		l++
	}
	return l
}

// scheduledLevel returns the level that a rollout should have reached by now.
// The number of steps grows with the square of the elapsed time. The low levels
// last longest, since a bad version does the least harm there. The later stages
// receive more requests and therefore need less time to gather as much
// evidence.
func scheduledLevel(s *StartRollout, now time.Time) Level {
	span := float64(s.Deadline.Sub(s.At)) * scheduleShare
	elapsed := min(max(float64(now.Sub(s.At))/span, 0), 1)
	steps := float64(TopLevel - s.FirstLevel)
	return s.FirstLevel + Level(steps*elapsed*elapsed)
}

// The final step before the deadline: a rollout without a verdict moves all
// traffic finalStepLead before it, or 1/finalStepDivisor of the rollout's time
// before it if that is less.
const (
	finalStepLead    = time.Minute
	finalStepDivisor = 20
)

// finalStepDue reports whether it is time for the final step.
func finalStepDue(s *StartRollout, now time.Time) bool {
	lead := min(finalStepLead, s.Deadline.Sub(s.At)/finalStepDivisor)
	return !now.Before(s.Deadline.Add(-lead))
}
