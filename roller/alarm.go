package roller

import "math"

// The alarm triggers a comparison while none is active. A false alarm only
// lowers the candidate's share for a while, so its limits need no proof of a
// bounded error rate.
const (
	// alarmRatio is the factor over the reference rate that the alarm tests
	// for.
	alarmRatio = 3
	// minAlarmLimit is the lowest cumulative sum, in nats, that raises the
	// alarm.
	minAlarmLimit = 4.0
	// minReferenceRate is the lowest reference rate, in events per request.
	minReferenceRate = 0.005
	// referencePrior is the weight, in requests, of the usual rate when it is
	// combined with the measured one.
	referencePrior = 100
)

// alarm monitors the candidate's adverse events with a cumulative sum (Page,
// "Continuous inspection schemes", Biometrika 41, 1954). It detects that the
// candidate became worse than the control used to be, even while no request is
// assigned to the control.
type alarm struct {
	seen     Cells
	sums     map[Scope]*[numMetrics]float64
	requests float64
}

// alarmCause identifies the scope and metric that raised an alarm.
type alarmCause struct {
	scope  Scope
	metric Metric
}

// newAlarm returns an alarm with empty sums.
func newAlarm() *alarm {
	return &alarm{seen: make(Cells), sums: make(map[Scope]*[numMetrics]float64)}
}

// limit returns the cumulative sum that raises the alarm. It grows with the
// logarithm of the number of requests, so that a service with many requests
// raises no more false alarms than one with few.
func (a *alarm) limit() float64 { return max(math.Log(a.requests+1), minAlarmLimit) }

// add processes the growth of a cell since the last call. It returns the cause
// and true if the alarm was raised, and then resets the sums.
func (a *alarm) add(k CellKey, c *Cell) (alarmCause, bool) {
	seen := a.seen.cell(k)
	after, before := c.sum(Candidate, NoLevel, numLevels), seen.sum(Candidate, NoLevel, numLevels)
	ctrl := c.sum(Control, NoLevel, numLevels)
	*seen = *c
	requests := float64(after.Requests - before.Requests)
	if requests == 0 {
		return alarmCause{}, false
	}
	a.requests += requests
	growth := [numMetrics]float64{
		Failures:    sumIncrement(float64(after.Failed-before.Failed), requests, referenceRate(ctrl.Failed, ctrl.Requests, minReferenceRate)),
		SlowAnswers: sumIncrement(float64(after.Slow-before.Slow), requests, referenceRate(ctrl.Slow, ctrl.Requests, 1-slowQuantile)),
	}
	return a.addToSums(k, &growth)
}

// addToSums adds growth to the cumulative sums of each scope that contains the
// cell. It returns the first cause whose sum reaches the limit, and true; all
// sums are then reset.
func (a *alarm) addToSums(k CellKey, growth *[numMetrics]float64) (alarmCause, bool) {
	var out alarmCause
	raised := false
	for _, s := range scopesOf(k) {
		sums := a.sums[s]
		if sums == nil {
			sums = &[numMetrics]float64{}
			a.sums[s] = sums
		}
		for i := range sums {
			sums[i] = max(sums[i]+growth[i], 0)
			if !raised && sums[i] >= a.limit() {
				out, raised = alarmCause{scope: s, metric: Metric(i)}, true
			}
		}
	}
	if raised {
		clear(a.sums)
	}
	return out, raised
}

// sumIncrement returns the log likelihood ratio of n events in m requests: the
// rate alarmRatio*rate against rate.
func sumIncrement(n, m, rate float64) float64 {
	return n*math.Log(alarmRatio) - m*rate*(alarmRatio-1)
}

// referenceRate returns the control's event rate. While the control has
// answered few requests, the rate is shrunk towards the usual one.
func referenceRate(events, requests uint64, usual float64) float64 {
	rate := (float64(events) + referencePrior*usual) / (float64(requests) + referencePrior)
	return max(rate, minReferenceRate)
}
