package roller

import (
	"math"
	"time"

	"cyclamenhub.org/identifier"
)

// Exposure bounds the requests that an unproven version may get in one rollout:
// a share of all requests of the service, and a number in addition.
type Exposure struct {
	Share    identifier.Share `json:"share"`
	Requests float64          `json:"requests"`
}

// allowed returns the bound for a service that gets n requests.
func (e Exposure) allowed(n float64) float64 { return float64(e.Share)*n + e.Requests }

// canaryBudget is the fraction of the exposure that the share before the
// cutover may use. The rest is for the requests between the first bad answers
// and the revert.
const canaryBudget = 0.5

// maxCanaryUse is the fraction of the exposure that the candidate may be about
// to use before its share is lowered. It lies above canaryBudget, so that the
// share does not change with each reading of the rate.
const maxCanaryUse = 0.65

// maxCanaryLevel limits the share before the cutover to 20%, so that a rate
// that rises afterwards does not use up the exposure.
const maxCanaryLevel Level = 8

// minCanaryReading is the shortest time over which the request rate is measured
// before the share is chosen.
const minCanaryReading = 2 * time.Second

// The time between the cutover and the end of a rollout's time, as a fraction
// and within bounds. In that time calls on the old version complete, or the
// candidate is reverted.
const (
	cutoverLeadDivisor = 6
	minCutoverLead     = 2 * time.Second
	maxCutoverLead     = 30 * time.Second
)

// completionMargin is how long before the end of its time a rollout with a
// cutover is done. A change of leaders takes less.
const completionMargin = 800 * time.Millisecond

// firstShareDivisor divides the share of the exposure to get the share at the
// start of a rollout with a cutover.
const firstShareDivisor = 2

// PlanCutover makes e a rollout whose traffic moves in one step, and which is
// done within the given time from e.At.
func (e *StartRollout) PlanCutover(within time.Duration, x Exposure) {
	lead := min(max(within/cutoverLeadDivisor, minCutoverLead), maxCutoverLead)
	e.Cutover = e.At.Add(within - lead)
	e.Deadline = e.At.Add(within - lead/2)
	e.Watch = lead/2 - completionMargin
	e.FirstLevel = max(LevelOf(x.Share/firstShareDivisor), lowestFirstLevel)
	e.Exposure = x
}

// hasCutover reports whether all traffic moves in one step.
func (e *StartRollout) hasCutover() bool { return !e.Cutover.IsZero() }

// watchEnd returns when the watch period of a rollout with a cutover ends.
func (e *StartRollout) watchEnd() time.Time { return e.Deadline.Add(e.Watch) }

// canaryLevel returns the level before the cutover of a service that gets rate
// requests per second.
//
// It answers the load of a service with few requests and little time: at a
// share that is safe for a busy service, it would move on evidence from a
// handful of requests. Where the exposure allows, such a service gets a higher
// share. The number of bad answers that the test needs hardly depends on the
// share, so a higher share finds them earlier and spoils about as many answers.
func canaryLevel(s *StartRollout, rate float64) Level {
	n := rate * s.watchEnd().Sub(s.At).Seconds()
	budget := canaryBudget * s.Exposure.allowed(n)
	l := s.FirstLevel
	for l < maxCanaryLevel && float64((l+1).Share())*n <= budget {
		l++
	}
	return l
}

// canaryUse returns the fraction of the exposure that the candidate will have used
// at the end of the watch period, if it has got the given number of requests by
// now and stays at level l.
func canaryUse(s *StartRollout, l Level, rate, candidateRequests float64, now time.Time) float64 {
	end := s.watchEnd()
	expected := candidateRequests + float64(l.Share())*rate*max(end.Sub(now).Seconds(), 0)
	return expected / max(s.Exposure.allowed(rate*end.Sub(s.At).Seconds()), 1)
}

// adjustedLevel returns the level of a rollout at level l, now that the rate is
// known.
//
// It answers a rate that rises as the rollout begins, for example a few seconds
// after callers have begun to call: the first share follows from a rate that is
// too low. The share rises to that of canaryLevel if the candidate keeps
// within its budget, and falls if the candidate would leave it by far.
func adjustedLevel(s *StartRollout, l Level, rate, candidateRequests float64, now time.Time) Level {
	if higher := canaryLevel(s, rate); higher > l && canaryUse(s, higher, rate, candidateRequests, now) <= canaryBudget {
		return higher
	}
	for l > lowestFirstLevel && canaryUse(s, l, rate, candidateRequests, now) > maxCanaryUse {
		l--
	}
	return l
}

// cutoverWithin returns the time of the cutover of a service that gets rate
// requests per second, of which the candidate has got the given number. It is
// the first time from Cutover on after which the candidate gets no more requests
// than the exposure allows, should it turn bad at the last moment. The cutover of
// a service for which there is no such time before Deadline is not delayed: so
// many requests show a fault early.
func (e *StartRollout) cutoverWithin(rate, candidateRequests float64) time.Time {
	end := e.watchEnd().Add(completionMargin)
	left := e.Exposure.allowed(rate*end.Sub(e.At).Seconds()) - candidateRequests
	at := end.Add(-time.Duration(left / max(rate, 1) * float64(time.Second)))
	if at.Before(e.Cutover) || at.After(e.Deadline) {
		return e.Cutover
	}
	return at
}

// minSuspectEvents is the number of bad answers of the candidate below which the
// odds decide nothing.
const minSuspectEvents = 2

// The limits of the odds, in nats of log evidence, that decide a rollout with a
// cutover when its time is up. They are lower than those of a verdict, which
// may be reached at any time, and tolerate nothing: a version that is as good as
// the control is held back by mistake in at most one rollout of two, and taken
// back by mistake in at most one of five.
var (
	logLimitHold   = math.Log(2)
	logLimitRevert = math.Log(5)
)

// cutoverLevel returns the level of a rollout that moves in one step. The step
// waits until the deadline while the candidate seems to answer worse than the
// control.
func (c *Controller) cutoverLevel(r *Record, now time.Time) Level {
	s := &r.Start
	sum := c.evidenceFor(keyOf(r)).Sum()
	rate, known := c.rateDuring(s.ID, sum, now)
	known = known && s.Exposure != (Exposure{})
	cutover := s.Cutover
	if known {
		cutover = s.cutoverWithin(rate, float64(sum.Total(Candidate).Requests))
	}
	switch {
	case now.Before(cutover) && known:
		return adjustedLevel(s, r.Level, rate, float64(sum.Total(Candidate).Requests), now)
	case now.Before(cutover):
		return r.Level
	case now.Before(s.Deadline) && max(suspicion(sum).LogEvidence, latencySuspicion(sum).LogEvidence) >= logLimitHold:
		return r.Level
	default:
		return TopLevel
	}
}

// rateDuring returns the request rate of a service since the first request of
// its rollout was counted, and false before minCanaryReading has passed.
func (c *Controller) rateDuring(id identifier.RolloutID, sum Cells, now time.Time) (float64, bool) {
	n := sum.Total(Control).Requests + sum.Total(Candidate).Requests
	first, ok := c.firstReadings[id]
	if !ok && n > 0 {
		c.firstReadings[id] = reading{now, n}
	}
	elapsed := now.Sub(first.at)
	if !ok || elapsed < minCanaryReading {
		return 0, false
	}
	return float64(n-first.n) / elapsed.Seconds(), true
}

// finalVerdict returns a verdict on a rollout with a cutover whose time is up,
// at the deadline if its traffic has not moved and at the end of the watch
// period otherwise. Without proof against the candidate, the odds decide: a
// version that answers worse than the control is not promoted because the time
// was too short.
func finalVerdict(r *Record, sum Cells, now time.Time) (Verdict, bool) {
	if !r.Start.hasCutover() {
		return Verdict{}, false
	}
	last := r.Start.Deadline
	if r.Phase == Watched {
		last = r.Start.watchEnd()
	}
	if v := suspicion(sum); !now.Before(last) && v.LogEvidence >= logLimitRevert {
		return v, true
	}
	if r.Phase != Staged {
		return Verdict{}, false // The latencies of all traffic count, with cold caches.
	}
	limit := logLimitMerged()
	if now.Before(last) {
		limit *= earlyFactor
	}
	v := latencySuspicion(sum)
	return v, v.LogEvidence >= limit
}

// earlyFactor is how much stronger than for a verdict the evidence of latencies
// must be before the time is up.
const earlyFactor = 2

// suspicion returns the metric that speaks most against the candidate over all
// requests. Failures count at all shares, also after all traffic has moved, and
// are compared with those of the control before. Slow answers count only while
// both versions got requests, since a version that all traffic has just moved
// to has cold caches.
func suspicion(cs Cells) Verdict {
	candidate, control := cs.Total(Candidate), cs.Total(Control)
	failures := newSuspicion(Failures, candidate.Requests, control.Requests, candidate.Failed, control.Failed)
	candidate, control = cs.totalBelowTop(Candidate), cs.totalBelowTop(Control)
	slow := newSuspicion(SlowAnswers, candidate.Requests, control.Requests, candidate.Slow, control.Slow)
	if slow.LogEvidence > failures.LogEvidence {
		return slow
	}
	return failures
}

// latencySuspicion returns what the latencies say that both versions have shown in
// the rollout. An answer is slow if it is above the control's quantile in its cell.
//
// It answers a rollout that begins as callers begin to call: the thresholds from
// before are missing, or are those of a service that has just started, and a
// version that answers several times slower would be promoted unseen. A quantile
// that is not fixed before the events allows no test that may be looked at at any
// time, and the share may have changed together with the load. What it says
// therefore needs the strength of a verdict at the end of the rollout's time, and
// a multiple before.
func latencySuspicion(cs Cells) Verdict {
	var candidate, control Tally
	for _, c := range cs {
		if limit, ok := quantileBucket(c.Latency[Control], cutoverSlowQuantile); ok {
			candidate.add(c.Latency[Candidate].tallyAbove(limit))
			control.add(c.Latency[Control].tallyAbove(limit))
		}
	}
	return newSuspicion(SlowAnswers, candidate.Requests, control.Requests, candidate.Slow, control.Slow)
}

// tallyAbove returns the number of answers, and as slow ones those above a bucket.
func (h *Histogram) tallyAbove(bucket int) Tally {
	var t Tally
	if h == nil {
		return t
	}
	for i, n := range h {
		t.Requests += n
		if i > bucket {
			t.Slow += n
		}
	}
	return t
}

// newSuspicion returns what the bad answers of a metric say, given how many
// requests each version got.
func newSuspicion(m Metric, candidateRequests, controlRequests, candidate, control uint64) Verdict {
	v := Verdict{Scope: Scope{AllRoutes: true, AllBands: true}, Metric: m, Candidate: candidate, Control: control}
	if candidate >= minSuspectEvents && candidateRequests > 0 && controlRequests > 0 {
		share := float64(candidateRequests) / float64(candidateRequests+controlRequests)
		v.LogEvidence = pooledLogEvidence(identifier.Share(share), float64(candidate), float64(control))
	}
	return v
}

// pooledLogEvidence returns the log evidence of bad answers that two versions gave
// at any time, given the candidate's share of the requests in all that time.
// Unlike LogEvidence, it assumes that the risk of both did not change in between.
func pooledLogEvidence(share identifier.Share, candidate, control float64) float64 {
	p := candidateEventShare(share, 1)
	var sums [len(riskRatios)]float64
	for i, r := range riskRatios {
		q := candidateEventShare(share, r)
		sums[i] = candidate*math.Log(q/p) + control*math.Log((1-q)/(1-p))
	}
	return logMean(sums[:])
}
