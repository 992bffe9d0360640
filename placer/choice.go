package placer

import (
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/permitter"
)

// Outcome is the result of an attempt.
type Outcome uint8

// The outcomes.
const (
	// Succeeded means that the response was complete.
	Succeeded Outcome = iota
	// Failed means that the server answered with an error or not within the
	// deadline.
	Failed
	// Full means that the server refused the call because it had no capacity.
	Full
	// Unreachable means that no connection to the server could be opened.
	Unreachable
	// Cancelled means that the caller cancelled the call.
	Cancelled
	// Unsent means that the call was not sent to the server after all.
	Unsent
)

// maxSlowness caps one sample of the ratio of measured to expected time to the
// first token.
const maxSlowness = 20.0

// minExpectedMs is the smallest expected time to the first token, in
// milliseconds, that a measured time is divided by.
const minExpectedMs = 30.0

// Responder is the server from which a response has come, for what it announces there.
type Responder struct {
	p     *Placer
	state *serverState
}

// Responder returns the server of a run, or false if that run is not listed.
func (p *Placer) Responder(run identifier.ServerRun) (Responder, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[run.ID]
	if s == nil || s.run() != run {
		return Responder{}, false
	}
	return Responder{p, s}, true
}

// ID returns the id of the server.
func (r Responder) ID() identifier.BackendServer { return r.state.ID }

// Run returns the run of the server.
func (r Responder) Run() identifier.ServerRun { return r.state.run() }

// Choice is the server chosen for one attempt, together with the load that the
// attempt adds to it. A Choice is not safe for concurrent use.
type Choice struct {
	Responder
	Server identifier.BackendServer
	// Uncached is the estimated number of prompt tokens that are not in the
	// prefix cache of the server.
	Uncached identifier.Tokens

	chosenAt      time.Time
	firstTokenMs  float64
	baseMs        float64
	waitMs        float64
	load          Load
	permit        permitter.GrantID
	firstReceived bool
	ended         bool
}

// ExpectedFirstToken returns the estimated time from the choice to the first
// token of a model engine. The first event of the response follows some tokens
// later. It returns 0 for a plain service.
func (c *Choice) ExpectedFirstToken() time.Duration {
	return time.Duration(c.firstTokenMs * float64(time.Millisecond))
}

// ExpectedWait returns the part of the estimated time to the first content for which
// the call waits for others.
func (c *Choice) ExpectedWait() time.Duration {
	return time.Duration(c.waitMs * float64(time.Millisecond))
}

// FirstContent records that the first content of the response has arrived. Only
// the first call has an effect, and only before End.
func (c *Choice) FirstContent() {
	if c.firstReceived || c.ended {
		return
	}
	c.firstReceived = true
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	now := c.p.opts.Clock.Now()
	took := now.Sub(c.chosenAt)
	c.state.clearBackoff()
	c.state.removeAwaiting(c)
	c.state.announced.end(c, now, true)
	c.state.lastContent, c.state.triedAt = now, now
	c.p.permits.HasStarted(now, c.state.run(), c.chosenAt)
	delete(c.p.unreachable, c.state.FailureDomain)
	if c.state.Engine {
		base := time.Duration(c.baseMs * float64(time.Millisecond))
		c.p.paces.First(now, c.state.run(), c.state.Service, base, took)
		expected := max(c.firstTokenMs, minExpectedMs)
		ratio := min(max(float64(took.Milliseconds())/expected, 1), maxSlowness)
		c.state.slowness.add(now, ratio)
	} else {
		if c.state.callSeconds == 0 {
			c.state.callSeconds = took.Seconds()
		}
		c.state.callSeconds += averageWeight * (took.Seconds() - c.state.callSeconds)
	}
	// The server has processed the prompt.
	c.state.own.Unread -= c.load.Unread
	c.load.Unread = 0
}

// End removes the load of the choice and updates the statistics of the server
// with the outcome. Only the first call has an effect.
func (c *Choice) End(o Outcome) {
	if c.ended {
		return
	}
	c.ended = true
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	now := c.p.opts.Clock.Now()
	c.state.removeAwaiting(c)
	c.state.announced.end(c, now, o == Succeeded)
	c.state.own = c.state.own.Plus(Load{-c.load.Running, -c.load.Unread, -c.load.Context})
	c.endPlace(now, o)
	switch o {
	case Succeeded:
		c.state.failureRate.add(now, 0)
	case Failed:
		c.state.failureRate.add(now, 1)
	case Full:
		c.state.slowness.add(now, maxSlowness/4)
	case Unreachable:
		c.p.permits.Refund(c.state.run(), c.permit)
		c.state.startBackoff(now)
		c.p.recordUnreachable(c.state, now)
		c.p.recordMayStart(c.state, now)
	case Unsent:
		c.p.permits.Refund(c.state.run(), c.permit)
	case Cancelled:
	}
}
