package roller

import (
	"time"

	"cyclamenhub.org/identifier"
)

// comparisonLevels are the highest levels while a comparison goes on, 20% and
// 50%. Comparisons take them in turn: at the first a bad version does less harm
// and each event tells almost as much, at the second a fault shows that needs a
// larger share.
var comparisonLevels = [...]Level{8, 10}

// The length of a comparison; each one of a rollout is twice as long as the one
// before, within bounds.
const (
	minComparison = 5 * time.Minute
	maxComparison = 40 * time.Minute
)

// clearedLogRatio is the log likelihood ratio of clearedRatio times the
// tolerated risk below which a comparison ends early.
const (
	clearedLogRatio = -3.0
	clearedRatio    = 1 // index into riskRatios
)

// comparison is a time in which the share is held low, so that the two versions
// can be compared. Its zero value is over.
type comparison struct {
	until  time.Time
	length time.Duration
	level  Level
	of     suspect
	// begun counts the comparisons so far.
	begun int
	// base holds the events from before the comparison.
	base Events
}

// begin starts a comparison of what raised an alarm, unless one goes on.
func (c *comparison) begin(of suspect, cs Cells, now time.Time) {
	if c.isOn(now) {
		return
	}
	c.length = min(max(2*c.length, minComparison), maxComparison)
	c.until, c.of = now.Add(c.length), of
	c.level = comparisonLevels[c.begun%len(comparisonLevels)]
	c.begun++
	c.base = eventsOf(cs, of)
}

// isOn reports whether the comparison goes on.
func (c *comparison) isOn(now time.Time) bool { return now.Before(c.until) }

// clear ends the comparison once the events since it began say that both
// versions bring them alike. The next one is as short as the first.
func (c *comparison) clear(cs Cells, now time.Time) {
	if !c.isOn(now) {
		return
	}
	ev := eventsOf(cs, c.of)
	for l := range ev {
		ev[l].Candidate -= c.base[l].Candidate
		ev[l].Control -= c.base[l].Control
	}
	if growthOf(c.of.sign).logRatio(&ev, clearedRatio) <= clearedLogRatio {
		*c = comparison{begun: c.begun}
	}
}

// stop ends the comparison.
func (c *comparison) stop() { c.until = time.Time{} }

// suspicion is what the controller remembers of one rollout's alarms.
type suspicion struct {
	alarm      *alarm
	raised     bool
	by         suspect
	comparison comparison
}

// settle begins a comparison that an alarm asks for, and ends one that cleared
// the candidate.
func (s *suspicion) settle(cs Cells, now time.Time) {
	if s.raised {
		s.raised = false
		s.comparison.begin(s.by, cs, now)
	}
	s.comparison.clear(cs, now)
}

// suspicions holds them by rollout.
type suspicions map[identifier.RolloutID]*suspicion

// of returns the suspicion of a rollout, adding one where there is none.
func (s suspicions) of(id identifier.RolloutID) *suspicion {
	p := s[id]
	if p == nil {
		p = &suspicion{alarm: newAlarm()}
		s[id] = p
	}
	return p
}
