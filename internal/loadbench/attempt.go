package loadbench

import (
	"time"

	"cyclamenhub.org/admitter"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/router"
)

// send makes one attempt.
func (b *bench) send(h *host, c *call) {
	e, firstToken, release := b.pick(h, c)
	if e == nil {
		b.end(c, admitter.Failed)
		return
	}
	b.count(c, func(n *Counts) {
		n.Attempts++
		if len(c.tried) > 0 {
			n.Retries++
		}
		if len(c.tried) == 0 {
			n.Granted++
		}
	})
	c.tried = append(c.tried, e.BackendServer)
	if e.FailureDomain != h.domain {
		b.spilled++
	}
	b.prompts += int64(c.prompt.tokens)
	a := &attempt{b: b, h: h, c: c, e: e, firstToken: firstToken, release: release}
	b.after(delay(h, e), a.arrive)
}

// delay is the time of one way between a host and an engine.
func delay(h *host, e *engine) time.Duration {
	if h.domain == e.FailureDomain {
		return sameDomain
	}
	return otherDomain
}

// attempt is a request on its way to an engine.
type attempt struct {
	b          *bench
	h          *host
	c          *call
	e          *engine
	firstToken func()
	release    func(router.Outcome)
	job        *job
	over       bool
}

// arrive puts the attempt into the engine's queue, or has it refused.
func (a *attempt) arrive() {
	if a.e.refuses() {
		a.fail(router.Refused)
		return
	}
	a.job = &job{
		blocks: a.c.prompt.blocks, prompt: a.c.prompt.tokens, output: a.c.prompt.output,
		firstToken: func() { a.b.after(delay(a.h, a.e), a.first) },
		done:       func() { a.b.after(delay(a.h, a.e), a.done) },
	}
	a.e.enqueue(a.job)
	if t := a.b.s.Retries.Timeout; t > 0 {
		a.b.after(t, func() {
			if !a.job.seen {
				a.fail(router.Silent)
			}
		})
	}
}

// first takes in the first token.
func (a *attempt) first() {
	if a.over {
		return
	}
	a.job.seen = true
	a.firstToken()
	a.c.first = a.b.now.Sub(a.c.arrived)
	if a.c.counted {
		_ = a.b.result.FirstToken.RecordValue(a.c.first.Microseconds())
	}
}

// done takes in the end of the answer.
func (a *attempt) done() {
	if a.over {
		return
	}
	a.over = true
	a.release(router.Succeeded)
	a.b.end(a.c, admitter.Succeeded)
}

// fail gives the attempt up and tries again where that is allowed.
func (a *attempt) fail(o router.Outcome) {
	if a.over {
		return
	}
	a.over = true
	if a.job != nil {
		a.job.cancelled = true
	}
	a.release(o)
	if a.b.mayRetry(a.c) {
		a.b.send(a.h, a.c)
		return
	}
	a.b.end(a.c, admitter.Failed)
}

// mayRetry asks the deadline and the budget.
func (b *bench) mayRetry(c *call) bool {
	if b.s.Retries.Timeout <= 0 || b.now.After(c.deadline) {
		return false
	}
	if b.s.Retries.Budget && c.grant != nil {
		return c.grant.Retry() == nil
	}
	return true
}

// end gives the grant back and counts the answer.
func (b *bench) end(c *call, r admitter.Result) {
	if c.grant != nil {
		c.grant.Done(admitter.Outcome{Result: r, FirstToken: b.sinceGrant(c), Generated: identifier.Tokens(c.prompt.output)})
	}
	if r != admitter.Succeeded {
		return
	}
	b.count(c, func(n *Counts) {
		n.Answered++
		if c.first <= b.s.FirstTokenTarget && !b.now.After(c.deadline) {
			n.InTime++
		}
	})
}

// sinceGrant is the time from the send to the first token, or to now where none
// has come.
func (b *bench) sinceGrant(c *call) time.Duration {
	if c.first > 0 {
		return c.first - c.granted.Sub(c.arrived)
	}
	return b.now.Sub(c.granted)
}
