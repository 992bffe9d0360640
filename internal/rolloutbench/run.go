package rolloutbench

import (
	"math/rand/v2"
	"strconv"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/roller"
)

// Result is what a policy did in one run.
type Result struct {
	Scenario *Scenario
	Moved    time.Time
	Done     time.Time
	Reverted time.Time
	Cause    string
	// FirstEvidence is when the first request ended badly by the candidate's
	// own fault.
	FirstEvidence time.Time
	// LastDraw is when the last request was drawn for the candidate.
	LastDraw time.Time
	// Before and After count requests until the first evidence, and from then
	// until the last draw for the candidate.
	Before, After Exposure
	// Late counts draws more than two seconds after the verdict on hosts that
	// have been connected for as long; Own counts draws on a host after its own verdict.
	Late, Own int
	// MaxInFlight is the highest number of requests in flight on the candidate
	// before the move, over the fleet.
	MaxInFlight int
}

// Exposure counts requests and those of them that the candidate got.
type Exposure struct{ All, Candidate int }

// Share returns the candidate's part.
func (e Exposure) Share() float64 {
	if e.All == 0 {
		return 0
	}
	return float64(e.Candidate) / float64(e.All)
}

// lateAfter is how long after a verdict no connected host may draw the
// candidate.
const lateAfter = 2 * time.Second

// runner plays one scenario.
type runner struct {
	s        *Scenario
	q        *queue
	p        policy
	rng      *rand.Rand
	res      Result
	tail     Exposure
	inFlight int
	sent     uint64
}

// Run plays a scenario under a policy.
func Run(s *Scenario, p Policy) Result {
	q := &queue{}
	r := &runner{s: s, q: q, p: newPolicy(p, s, q), rng: rand.New(rand.NewPCG(s.Seed, 2)), res: Result{Scenario: s}}
	q.add(start, r.p.begin)
	r.arrive(start.Add(-s.warmUp()))
	for t := start; t.Before(s.end()) && !r.over(t); t = t.Add(time.Minute) {
		q.run(t)
	}
	out := r.p.outcome()
	r.res.Moved, r.res.Done, r.res.Reverted, r.res.Cause = out.moved, out.done, out.reverted, out.cause
	return r.res
}

// afterRevert is how long a run goes on after a revert.
const afterRevert = 5 * time.Minute

// over reports whether nothing more can happen.
func (r *runner) over(now time.Time) bool {
	out := r.p.outcome()
	if !out.done.IsZero() && now.Sub(start) > r.s.Deadline+watch {
		return true
	}
	if out.reverted.IsZero() {
		return false
	}
	for _, c := range r.s.cuts {
		if now.Before(c.to) {
			return false
		}
	}
	return now.Sub(out.reverted) > afterRevert
}

// The factor of the mean rate under light and heavy load; the mean is kept.
const (
	heavyFactor = 2
	lightFactor = (1 - heavyPart*heavyFactor) / (1 - heavyPart)
)

// arrive sends one request and has the next one come.
func (r *runner) arrive(now time.Time) {
	if !now.Before(start) || r.sent > 0 {
		r.send(now)
	}
	r.sent++
	rate := float64(r.s.Rate) * lightFactor
	if heavy(now) {
		rate = float64(r.s.Rate) * heavyFactor
	}
	wait := time.Duration(r.rng.ExpFloat64() / rate * float64(time.Second))
	r.q.add(now.Add(wait), r.arrive)
}

// send draws a request's version and has it answered.
func (r *runner) send(now time.Time) {
	c := call{at: now, host: r.rng.IntN(r.s.Hosts), route: r.pickRoute(), share: r.p.share()}
	if heavy(now) {
		c.band = roller.HeavyLoad
	}
	id := identifier.RequestID(strconv.FormatUint(r.s.Seed, 36) + "-" + strconv.FormatUint(r.sent, 36))
	d := r.p.draw(c.host, id, c.route, c.band)
	c.candidate = d.candidate
	r.count(now, d)
	ans := r.s.answer(&c, r.rng)
	r.q.add(now.Add(ans.Latency), func(now time.Time) { r.end(now, d, ans) })
}

// pickRoute draws a route by the routes' shares.
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

// end hands an answer to the policy.
func (r *runner) end(now time.Time, d drawn, ans result) {
	if d.candidate {
		r.inFlight--
	}
	if ans.bad && r.res.FirstEvidence.IsZero() {
		r.res.FirstEvidence = now
	}
	r.p.observe(now, d, ans.Ending)
}

// count adds a drawn request to the result.
func (r *runner) count(now time.Time, d drawn) {
	if now.Before(start) {
		return
	}
	if r.res.FirstEvidence.IsZero() {
		r.res.Before.add(d.candidate)
	} else {
		r.tail.add(d.candidate)
	}
	if !d.candidate {
		return
	}
	r.res.After, r.res.LastDraw = r.tail, now
	r.inFlight++
	out := r.p.outcome()
	if out.moved.IsZero() {
		r.res.MaxInFlight = max(r.res.MaxInFlight, r.inFlight)
	}
	if t := out.reverted; !t.IsZero() && now.Sub(t) > lateAfter && r.connected(d.host, now) {
		r.res.Late++
	}
	if t, ok := out.stopped[d.host]; ok && now.After(t) {
		r.res.Own++
	}
}

// connected reports whether a host could hear the controller for lateAfter.
func (r *runner) connected(host int, now time.Time) bool {
	return !r.s.cutOff(host, now) && !r.s.cutOff(host, now.Add(-lateAfter))
}

func (e *Exposure) add(candidate bool) {
	e.All++
	if candidate {
		e.Candidate++
	}
}
