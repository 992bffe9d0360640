package rolloutbench

import (
	"math/rand/v2"
	"strconv"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/sequencer"
	"cyclamenhub.org/roller"
)

// Result is the outcome of a policy in one run.
type Result struct {
	Scenario *Scenario
	Moved    time.Time
	Done     time.Time
	Reverted time.Time
	Cause    string
	// FirstEvidence is when the first request ended whose result was caused by
	// the candidate's fault.
	FirstEvidence time.Time
	// LastCandidateRequest is when the last request was sent to the candidate.
	LastCandidateRequest time.Time
	// Before counts the requests until the first evidence, After those from
	// then until the last request to the candidate.
	Before, After Exposure
	// InTime counts the requests in the time of the rollout.
	InTime Exposure
	// ManyBadAnswers is when the candidate had given badAnswersToAct bad answers.
	ManyBadAnswers time.Time
	// LateRequests counts requests sent to the candidate more than two seconds
	// after the verdict, on hosts that have been connected to the controller
	// for as long. AfterOwnVerdict counts requests sent to the candidate on a
	// host after its own verdict.
	LateRequests, AfterOwnVerdict int
	// MaxInFlight is the highest number of in-flight requests on the candidate
	// before the traffic moved, across the fleet.
	MaxInFlight int
}

// Exposure counts all requests and those that the candidate got.
type Exposure struct{ All, Candidate int }

// Share returns the candidate's share of the requests, 0 if there were none.
func (e Exposure) Share() float64 {
	if e.All == 0 {
		return 0
	}
	return float64(e.Candidate) / float64(e.All)
}

// lateThreshold is the time after a verdict from which no connected host may
// send requests to the candidate.
const lateThreshold = 2 * time.Second

// runner is the state of a run.
type runner struct {
	s             *Scenario
	q             *sequencer.Queue
	p             policy
	rng           *rand.Rand
	res           Result
	afterEvidence Exposure
	inFlight      int
	badAnswers    int
	sent          uint64
}

// Run runs a scenario under a policy.
func Run(s *Scenario, p Policy) Result {
	q := &sequencer.Queue{}
	r := &runner{s: s, q: q, p: newPolicy(p, s, q), rng: rand.New(rand.NewPCG(s.Seed, 2)), res: Result{Scenario: s}}
	q.Add(rolloutStart, r.p.begin)
	r.arrive(rolloutStart.Add(-s.pace.warmUp))
	for t, end := rolloutStart, s.end(); t.Before(end) && !r.finished(t); {
		t = t.Add(min(time.Minute, end.Sub(t)))
		q.Run(t)
	}
	out := r.p.outcome()
	r.res.Moved, r.res.Done, r.res.Reverted, r.res.Cause = out.moved, out.done, out.reverted, out.cause
	return r.res
}

// runAfterRevert is how long a run continues after a revert.
const runAfterRevert = 5 * time.Minute

// finished reports whether nothing more can happen in the run.
func (r *runner) finished(now time.Time) bool {
	out := r.p.outcome()
	if !out.done.IsZero() && now.Sub(rolloutStart) > r.s.Deadline+r.s.pace.watch {
		return true
	}
	if out.reverted.IsZero() {
		return false
	}
	for _, p := range r.s.partitions {
		if now.Before(p.to) {
			return false
		}
	}
	return now.Sub(out.reverted) > runAfterRevert
}

// arrive sends one request and schedules the next arrival. The first call, at
// the start of the warm-up, only schedules.
func (r *runner) arrive(now time.Time) {
	if !now.Before(rolloutStart) || r.sent > 0 {
		r.send(now)
	}
	r.sent++
	rate := float64(r.s.Rate) * r.s.loadFactor(now)
	wait := time.Duration(r.rng.ExpFloat64() / rate * float64(time.Second))
	r.q.Add(now.Add(wait), r.arrive)
}

// send picks the version for a request and schedules its answer.
func (r *runner) send(now time.Time) {
	c := call{at: now, host: r.rng.IntN(r.s.Hosts), route: r.pickRoute(), share: r.p.share()}
	if r.s.isHeavyLoad(now) {
		c.band = roller.HeavyLoad
	}
	id := identifier.RequestID(strconv.FormatUint(r.s.Seed, 36) + "-" + strconv.FormatUint(r.sent, 36))
	req := r.p.pick(c.host, id, c.route, c.band)
	if !req.candidateRuns(r.s, now) {
		req.assignment.End(roller.Result{Outcome: roller.Withdrawn})
		req = pickedRequest{host: req.host, route: req.route}
	}
	c.candidate = req.candidate
	r.countRequest(now, req)
	ans := r.s.sampleResult(&c, r.rng)
	r.q.Add(now.Add(ans.Latency), func(now time.Time) { r.finishCall(now, req, ans) })
}

// pickRoute samples a route by the routes' shares.
func (r *runner) pickRoute() int {
	x := r.rng.Float64()
	for i, rt := range routes {
		if x < rt.share {
			return i
		}
		x -= rt.share
	}
	return len(routes) - 1
}

// finishCall passes the result of a request to the policy.
func (r *runner) finishCall(now time.Time, req pickedRequest, ans callResult) {
	if req.candidate {
		r.inFlight--
	}
	if ans.candidateFault && r.res.FirstEvidence.IsZero() {
		r.res.FirstEvidence = now
	}
	r.countBadAnswer(now, req, ans)
	r.p.observe(now, req, ans.Result)
}

// badAnswersToAct is the number of bad answers after which a candidate must
// have been reverted within seconds.
const badAnswersToAct = 50

// countBadAnswer records when the candidate had given badAnswersToAct bad
// answers.
func (r *runner) countBadAnswer(now time.Time, req pickedRequest, ans callResult) {
	if !req.candidate || !ans.candidateFault {
		return
	}
	r.badAnswers++
	if r.badAnswers == badAnswersToAct {
		r.res.ManyBadAnswers = now
	}
}

// countRequest adds a request to the result.
func (r *runner) countRequest(now time.Time, req pickedRequest) {
	if now.Before(rolloutStart) {
		return
	}
	if now.Before(r.s.deadline()) {
		r.res.InTime.add(req.candidate)
	}
	if r.res.FirstEvidence.IsZero() {
		r.res.Before.add(req.candidate)
	} else {
		r.afterEvidence.add(req.candidate)
	}
	if !req.candidate {
		return
	}
	r.res.After, r.res.LastCandidateRequest = r.afterEvidence, now
	r.inFlight++
	out := r.p.outcome()
	if out.moved.IsZero() {
		r.res.MaxInFlight = max(r.res.MaxInFlight, r.inFlight)
	}
	if t := out.reverted; !t.IsZero() && now.Sub(t) > lateThreshold && r.connected(req.host, now) {
		r.res.LateRequests++
	}
	if t, ok := out.stopped[req.host]; ok && now.After(t) {
		r.res.AfterOwnVerdict++
	}
}

// connected reports whether a host can reach the controller now and could
// lateThreshold ago.
func (r *runner) connected(host int, now time.Time) bool {
	return !r.s.partitioned(host, now) && !r.s.partitioned(host, now.Add(-lateThreshold))
}

func (e *Exposure) add(candidate bool) {
	e.All++
	if candidate {
		e.Candidate++
	}
}
