package router

import (
	"time"

	"cyclamenhub.org/identifier"
)

// Outcome tells how an attempt ended. The zero value is Succeeded.
type Outcome uint8

// The outcomes.
const (
	// Succeeded means that the whole answer came.
	Succeeded Outcome = iota
	// Failed means that the server answered with an error of the request.
	Failed
	// Refused means that the server took no connection or no request.
	Refused
	// Silent means that the server did not answer in time, on a fresh
	// connection too.
	Silent
	// Cancelled means that the caller went away; it says nothing of the server.
	Cancelled
)

// Choice is a chosen backend server with the load that it was given. It is not
// safe for concurrent use and must not be copied after the first call of a
// method.
type Choice struct {
	BackendServer identifier.BackendServer
	FailureDomain identifier.FailureDomain
	// CachedTokens guesses how much of the prompt the server holds already.
	CachedTokens identifier.Tokens
	// FirstTokenAfter estimates the time to the first token.
	FirstTokenAfter time.Duration

	r        *Router
	s        *server
	stats    *poolStats
	sent     time.Time
	pending  int64
	idle     bool
	released bool
}

// hold adds the choice's load to the counters.
func (c *Choice) hold() {
	c.s.inFlight.Add(1)
	c.s.pending.Add(c.pending)
}

// FirstToken tells that the first token has come, or the answer of a plain
// service.
func (c *Choice) FirstToken() {
	if c.released || c.pending == 0 {
		return
	}
	now := c.r.cfg.Clock.Now()
	took := now.Sub(c.sent)
	if c.idle {
		c.stats.prefill.add(took.Seconds() / float64(c.pending))
	}
	c.s.excess.add(max(took-c.FirstTokenAfter, 0).Seconds(), now)
	c.s.pending.Add(-c.pending)
	c.pending = 0
	c.s.clear()
}

// Release takes the choice's load away and learns from the outcome. Only the
// first call counts.
func (c *Choice) Release(o Outcome) {
	if c.released || c.s == nil {
		return
	}
	c.released = true
	c.s.inFlight.Add(-1)
	c.s.pending.Add(-c.pending)
	now := c.r.cfg.Clock.Now()
	switch o {
	case Succeeded:
		c.s.clear()
		c.stats.service.add(now.Sub(c.sent).Seconds())
	case Refused, Silent:
		c.s.strike(now)
	case Failed, Cancelled:
	}
}
