package loadbench

import (
	"time"

	"cyclamenhub.org/admitter"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/router"
)

// send makes one attempt: it picks a backend server and puts the request on the
// network.
func (b *simulation) send(h *host, c *call) {
	e, firstToken, release := b.pickServer(h, c)
	if e == nil {
		b.finishCall(c, admitter.Failed)
		return
	}
	b.updateCounts(c, func(n *Counts) {
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
	b.promptTokens += int64(c.prompt.tokens)
	a := &attempt{b: b, h: h, c: c, e: e, reportFirstToken: firstToken, release: release}
	b.After(networkDelay(h, e), a.arrive)
}

// networkDelay returns the one-way delay between a host and an engine.
func networkDelay(h *host, e *engine) time.Duration {
	if h.domain == e.FailureDomain {
		return sameDomainDelay
	}
	return crossDomainDelay
}

// attempt is one try of a request at one engine.
type attempt struct {
	b                *simulation
	h                *host
	c                *call
	e                *engine
	reportFirstToken func()
	release          func(router.Outcome)
	job              *job
	finished         bool
}

// arrive enqueues the request at the engine, or fails the attempt if the engine
// refuses it. It also arms the time-out for the first token.
func (a *attempt) arrive() {
	if a.e.refuses() {
		a.fail(router.Refused)
		return
	}
	a.job = &job{
		blocks: a.c.prompt.blocks, prompt: a.c.prompt.tokens, output: a.c.prompt.output,
		onFirstToken: func() { a.b.After(networkDelay(a.h, a.e), a.receiveFirstToken) },
		onDone:       func() { a.b.After(networkDelay(a.h, a.e), a.complete) },
	}
	a.e.enqueue(a.job)
	if t := a.b.s.Retries.Timeout; t > 0 {
		a.b.After(t, func() {
			if !a.job.firstTokenSeen {
				a.fail(router.TimedOut)
			}
		})
	}
}

// receiveFirstToken records the arrival of the first token at the host.
func (a *attempt) receiveFirstToken() {
	if a.finished {
		return
	}
	a.job.firstTokenSeen = true
	a.reportFirstToken()
	a.c.firstTokenLatency = a.b.Now().Sub(a.c.arrivedAt)
	if a.c.counted {
		_ = a.b.result.FirstToken.RecordValue(a.c.firstTokenLatency.Microseconds())
	}
}

// complete records the end of the answer.
func (a *attempt) complete() {
	if a.finished {
		return
	}
	a.finished = true
	a.release(router.Succeeded)
	a.b.finishCall(a.c, admitter.Succeeded)
}

// fail cancels the attempt and retries the request if that is allowed.
func (a *attempt) fail(o router.Outcome) {
	if a.finished {
		return
	}
	a.finished = true
	if a.job != nil {
		a.job.cancelled = true
	}
	a.release(o)
	if a.b.mayRetry(a.c) {
		a.b.send(a.h, a.c)
		return
	}
	a.b.finishCall(a.c, admitter.Failed)
}

// mayRetry reports whether the deadline and the retry budget allow another
// attempt.
func (b *simulation) mayRetry(c *call) bool {
	if b.s.Retries.Timeout <= 0 || b.Now().After(c.deadline) {
		return false
	}
	if b.s.Retries.Budget && c.grant != nil {
		return c.grant.Retry() == nil
	}
	return true
}

// finishCall releases the grant and counts the answer.
func (b *simulation) finishCall(c *call, r admitter.Result) {
	if c.grant != nil {
		c.grant.Done(admitter.Outcome{Result: r, FirstToken: b.timeToFirstToken(c), Generated: identifier.Tokens(c.prompt.output)})
	}
	if r != admitter.Succeeded {
		return
	}
	b.updateCounts(c, func(n *Counts) {
		n.Answered++
		if c.firstTokenLatency <= b.s.FirstTokenTarget && !b.Now().After(c.deadline) {
			n.InTime++
		}
	})
}

// timeToFirstToken returns the time from the grant to the first token, or to
// now if there is no first token yet.
func (b *simulation) timeToFirstToken(c *call) time.Duration {
	if c.firstTokenLatency > 0 {
		return c.firstTokenLatency - c.grantedAt.Sub(c.arrivedAt)
	}
	return b.Now().Sub(c.grantedAt)
}
