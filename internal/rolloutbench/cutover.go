package rolloutbench

import (
	"math/rand/v2"
	"time"

	"cyclamenhub.org/roller"
)

// cutoverPace is the pace of rollouts of seconds.
var cutoverPace = pace{
	warmUp: 20 * time.Second, turnsBadAfter: 3 * time.Second, start: 1500 * time.Millisecond, medianLatency: 40 * time.Millisecond,
	decideInterval: 200 * time.Millisecond, reportInterval: 200 * time.Millisecond, steadyLoad: true, tail: 10 * time.Second,
}

// cutoverExposure bounds the requests on the candidate in a rollout of seconds.
var cutoverExposure = roller.Exposure{Share: 0.1, Requests: 50}

// maxCutoverBackground is the highest background failure probability.
const maxCutoverBackground = 0.02

// cutoverSlowdown is the factor by which a slow candidate's latency grows.
const cutoverSlowdown = 8

// NewCutoverScenario samples a rollout that has only seconds for a service with
// the given rate. A faulty candidate fails failureShare of its requests.
func NewCutoverScenario(k Kind, seed uint64, rate Rate, within time.Duration, failureShare float64) *Scenario {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := &Scenario{Kind: k, Seed: seed, Rate: rate, Deadline: within, pace: cutoverPace, exposure: cutoverExposure}
	s.Hosts = minHosts + rng.IntN(maxHosts-minHosts+1)
	s.ReportLag = time.Duration(5+rng.IntN(50)) * time.Millisecond
	s.failureProbability = failureShare
	s.slowdown = cutoverSlowdown
	s.badRoute = rng.IntN(len(routes))
	s.backgroundFailureProbability = maxCutoverBackground * rng.Float64()
	return s
}

// hasCutover reports whether the rollout moves all traffic in one step.
func (s *Scenario) hasCutover() bool { return s.exposure != (roller.Exposure{}) }

// rollbackBound is how long after the candidate's badAnswersToAct-th bad answer
// requests may still reach it.
const rollbackBound = 5 * time.Second

// KeepsExposure reports whether the candidate of a cutover scenario got no more
// requests than allowed, and none later than rollbackBound after it had shown
// to be bad.
func (r *Result) KeepsExposure() bool {
	x := r.Scenario.exposure
	if float64(r.InTime.Candidate) > float64(x.Share)*float64(r.InTime.All)+x.Requests {
		return false
	}
	return r.ManyBadAnswers.IsZero() || !r.LastCandidateRequest.After(r.ManyBadAnswers.Add(rollbackBound))
}
