package roller

import "math"

// The alarm, which asks for a comparison where none is going on. A false alarm
// costs no more than a lower share for a while, so that its limits need no
// proof.
const (
	// alarmRatio is how many times the reference rate the alarm looks for.
	alarmRatio = 3
	// minAlarmLimit is the lowest cumulative sum that raises the alarm, in nats.
	minAlarmLimit = 4.0
	// minReferenceRate is the lowest rate of events that counts as usual.
	minReferenceRate = 0.005
	// referencePrior is the weight of the usual rate among counted requests.
	referencePrior = 100
)

// alarm watches the candidate's events with a cumulative sum (Page, "Continuous
// inspection schemes", Biometrika 41, 1954): it sees that the candidate got
// worse than the control used to be, also while no request is drawn for the
// control.
type alarm struct {
	seen     Cells
	sums     map[Scope]*[numSigns]float64
	requests float64
}

// suspect names the events that raised an alarm.
type suspect struct {
	scope Scope
	sign  Sign
}

// newAlarm returns an alarm that has seen nothing.
func newAlarm() *alarm {
	return &alarm{seen: make(Cells), sums: make(map[Scope]*[numSigns]float64)}
}

// limit returns the cumulative sum that raises the alarm. It grows with the
// logarithm of the requests seen, so that a busy service raises no more false
// alarms than a quiet one.
func (a *alarm) limit() float64 { return max(math.Log(a.requests+1), minAlarmLimit) }

// add takes the growth of a cell in and returns what raised the alarm, if
// anything did. It starts anew after it was raised.
func (a *alarm) add(k CellKey, c *Cell) (suspect, bool) {
	seen := a.seen.cell(k)
	after, before := armTotal(c, Candidate), armTotal(seen, Candidate)
	ctrl := armTotal(c, Control)
	*seen = *c
	requests := float64(after.Requests - before.Requests)
	if requests == 0 {
		return suspect{}, false
	}
	a.requests += requests
	growth := [numSigns]float64{
		Failures:    cumulate(float64(after.Failed-before.Failed), requests, referenceRate(ctrl.Failed, ctrl.Requests, minReferenceRate)),
		SlowAnswers: cumulate(float64(after.Slow-before.Slow), requests, referenceRate(ctrl.Slow, ctrl.Requests, 1-slowQuantile)),
	}
	return a.raise(k, &growth)
}

// raise adds growth to the sums of a cell's scopes.
func (a *alarm) raise(k CellKey, growth *[numSigns]float64) (suspect, bool) {
	var out suspect
	raised := false
	for _, s := range scopesOf(k) {
		sums := a.sums[s]
		if sums == nil {
			sums = &[numSigns]float64{}
			a.sums[s] = sums
		}
		for i := range sums {
			sums[i] = max(sums[i]+growth[i], 0)
			if !raised && sums[i] >= a.limit() {
				out, raised = suspect{scope: s, sign: Sign(i)}, true
			}
		}
	}
	if raised {
		clear(a.sums)
	}
	return out, raised
}

// cumulate returns the log likelihood ratio of n events in m requests, for
// alarmRatio times the reference rate against that rate.
func cumulate(n, m, rate float64) float64 {
	return n*math.Log(alarmRatio) - m*rate*(alarmRatio-1)
}

// referenceRate returns the control's rate of events, drawn towards the usual
// rate while it has answered few requests.
func referenceRate(events, requests uint64, usual float64) float64 {
	rate := (float64(events) + referencePrior*usual) / (float64(requests) + referencePrior)
	return max(rate, minReferenceRate)
}

// armTotal sums the tallies of an arm over the levels.
func armTotal(c *Cell, a Arm) Tally {
	var sum Tally
	for _, t := range c.Tallies[a] {
		sum.Requests += t.Requests
		sum.Failed += t.Failed
		sum.Slow += t.Slow
	}
	return sum
}
