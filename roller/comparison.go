package roller

import (
	"time"

	"cyclamenhub.org/identifier"
)

// comparisonLevels are the highest levels during a comparison, 20% and 50%.
// Successive comparisons alternate between them. At 20% a bad version does less
// harm, and each event carries almost as much information as at 50%. At 50%
// faults show that occur only at a larger share.
var comparisonLevels = [...]Level{8, 10}

// The bounds of a comparison's length. Each comparison of a rollout is twice as
// long as the one before, within these bounds.
const (
	minComparison = 5 * time.Minute
	maxComparison = 40 * time.Minute
)

// A comparison ends early once the log likelihood ratio of the alternative
// riskRatios[clearedRatio] is at most clearedLogRatio.
const (
	clearedLogRatio = -3.0
	clearedRatio    = 1 // index into riskRatios
)

// comparison is a period in which the share is held low, so that the two
// versions can be compared. Its zero value is inactive.
type comparison struct {
	until  time.Time
	length time.Duration
	level  Level
	cause  alarmCause
	// count is the number of comparisons so far.
	count int
	// baseline holds the events counted before the comparison began.
	baseline LevelCounts
}

// begin starts a comparison for the cause of an alarm, unless one is active.
func (c *comparison) begin(cause alarmCause, cs Cells, now time.Time) {
	if c.active(now) {
		return
	}
	c.length = min(max(2*c.length, minComparison), maxComparison)
	c.until, c.cause = now.Add(c.length), cause
	c.level = comparisonLevels[c.count%len(comparisonLevels)]
	c.count++
	c.baseline = eventCounts(cs, cause)
}

// active reports whether the comparison is in progress.
func (c *comparison) active(now time.Time) bool { return now.Before(c.until) }

// endIfCleared ends the comparison once the events since its start show that
// both versions cause them at the same rate. The next comparison then has the
// shortest length again.
func (c *comparison) endIfCleared(cs Cells, now time.Time) {
	if !c.active(now) {
		return
	}
	ev := eventCounts(cs, c.cause)
	for l := range ev {
		ev[l].Candidate -= c.baseline[l].Candidate
		ev[l].Control -= c.baseline[l].Control
	}
	if likelihoodsOf(c.cause.metric).logRatio(&ev, clearedRatio) <= clearedLogRatio {
		*c = comparison{count: c.count}
	}
}

// stop ends the comparison.
func (c *comparison) stop() { c.until = time.Time{} }

// alarmState is the controller's state of the alarm of one rollout.
type alarmState struct {
	alarm      *alarm
	raised     bool
	cause      alarmCause
	comparison comparison
}

// update begins a comparison if the alarm was raised, and ends one that cleared
// the candidate.
func (s *alarmState) update(cs Cells, now time.Time) {
	if s.raised {
		s.raised = false
		s.comparison.begin(s.cause, cs, now)
	}
	s.comparison.endIfCleared(cs, now)
}

// alarmStates holds the alarm states by rollout.
type alarmStates map[identifier.RolloutID]*alarmState

// get returns the alarm state of a rollout, adding one if there is none.
func (s alarmStates) get(id identifier.RolloutID) *alarmState {
	p := s[id]
	if p == nil {
		p = &alarmState{alarm: newAlarm()}
		s[id] = p
	}
	return p
}
