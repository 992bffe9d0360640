package router

import (
	"time"

	"cyclamenhub.org/identifier"
)

// Outcome is the result of an attempt. The zero value is Succeeded.
type Outcome uint8

// Outcomes of an attempt.
const (
	// Succeeded means that the complete response arrived.
	Succeeded Outcome = iota
	// Failed means that the server answered with an error for this request.
	Failed
	// Refused means that the server refused the connection or the request.
	Refused
	// TimedOut means that the server did not answer in time, even on a new
	// connection.
	TimedOut
	// Cancelled means that the caller cancelled the request. It gives no
	// information about the server.
	Cancelled
)

// Choice is a chosen backend server and the load that the attempt adds to it.
// It is not safe for concurrent use and must not be copied after the first
// method call.
type Choice struct {
	BackendServer identifier.BackendServer
	FailureDomain identifier.FailureDomain
	// CachedTokens is the estimated number of prompt tokens that the server has
	// cached.
	CachedTokens identifier.Tokens
	// EstimatedFirstToken is the estimated time from sending to the first
	// token.
	EstimatedFirstToken time.Duration

	r             *Router
	s             *server
	stats         *poolStats
	sent          time.Time
	pendingTokens int64
	// idle reports whether the server had a free slot and no waiting prompt
	// tokens when it was chosen. Only then does the time to the first token
	// count as a measurement of the processing time per prompt token.
	idle     bool
	released bool
}

// addLoad adds the attempt's load to the server's counters.
func (c *Choice) addLoad() {
	c.s.inFlight.Add(1)
	c.s.pendingTokens.Add(c.pendingTokens)
}

// FirstToken records that the first token has arrived, or the response of a
// service that does not stream. Calls after the first one and after Release
// have no effect.
func (c *Choice) FirstToken() {
	if c.released || c.pendingTokens == 0 {
		return
	}
	now := c.r.cfg.Clock.Now()
	took := now.Sub(c.sent)
	if c.idle {
		c.stats.prefill.add(took.Seconds() / float64(c.pendingTokens))
	}
	c.s.firstTokenDelay.add(max(took-c.EstimatedFirstToken, 0).Seconds(), now)
	c.s.pendingTokens.Add(-c.pendingTokens)
	c.pendingTokens = 0
	c.s.clearFailures()
}

// Release removes the attempt's load and updates the server's state and
// statistics from the outcome. Only the first call has an effect.
func (c *Choice) Release(o Outcome) {
	if c.released || c.s == nil {
		return
	}
	c.released = true
	c.s.inFlight.Add(-1)
	c.s.pendingTokens.Add(-c.pendingTokens)
	now := c.r.cfg.Clock.Now()
	switch o {
	case Succeeded:
		c.s.clearFailures()
		c.stats.service.add(now.Sub(c.sent).Seconds())
	case Refused, TimedOut:
		c.s.recordFailure(now)
	case Failed, Cancelled:
	}
}
