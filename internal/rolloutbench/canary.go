package rolloutbench

import (
	"math/rand/v2"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/sequencer"
	"cyclamenhub.org/roller"
)

// canarySteps are the candidate's shares of the requests in the canary's steps,
// which are of equal length.
var canarySteps = []float64{0.05, 0.2, 0.4, 0.7, 1}

const (
	// canaryMaxErrorRate is the candidate's error rate since the rollout began
	// above which the canary reverts.
	canaryMaxErrorRate = 0.05
	canaryMinRequests  = 20
	canaryInterval     = 10 * time.Second
)

// canary is the baseline policy: a fixed canary rollout in five steps. It
// counts every request without an answer as an error, sums the errors over
// routes and load bands, and keeps the candidate once it has passed the last
// step.
type canary struct {
	s        *Scenario
	q        *sequencer.Queue
	rng      *rand.Rand
	step     int
	requests int
	errors   int
	out      outcome
}

func newCanary(s *Scenario, q *sequencer.Queue) *canary {
	return &canary{s: s, q: q, rng: rand.New(rand.NewPCG(s.Seed, 3)), step: -1}
}

func (c *canary) begin(now time.Time) {
	c.step = 0
	c.q.Add(now.Add(canaryInterval), c.check)
}

func (c *canary) share() float64 {
	if c.step < 0 || !c.out.reverted.IsZero() {
		return 0
	}
	return canarySteps[c.step]
}

func (c *canary) pick(host int, _ identifier.RequestID, route int, _ roller.Band) pickedRequest {
	return pickedRequest{host: host, route: route, candidate: c.rng.Float64() < c.share()}
}

func (c *canary) observe(_ time.Time, req pickedRequest, e roller.Result) {
	if !req.candidate {
		return
	}
	c.requests++
	if e.Outcome != roller.Succeeded {
		c.errors++
	}
}

func (c *canary) outcome() outcome { return c.out }

// check reverts the rollout if the error rate is too high. Otherwise it
// advances to the step that is due.
func (c *canary) check(now time.Time) {
	if c.requests >= canaryMinRequests && float64(c.errors) > canaryMaxErrorRate*float64(c.requests) {
		c.out.reverted = now
		return
	}
	last := len(canarySteps) - 1
	due := min(int(float64(now.Sub(rolloutStart))/float64(c.s.Deadline)*float64(last+1)), last)
	c.step = max(c.step, due)
	if c.step == last && c.out.moved.IsZero() {
		c.out.moved = now
	}
	if now.After(c.s.deadline()) {
		c.out.done = now
		return
	}
	c.q.Add(now.Add(canaryInterval), c.check)
}
