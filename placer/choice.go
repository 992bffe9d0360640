package placer

import (
	"time"

	"cyclamenhub.org/identifier"
)

// Outcome tells how an attempt ended.
type Outcome uint8

// The outcomes.
const (
	// Succeeded is a whole answer.
	Succeeded Outcome = iota
	// Failed is an answer that the server got wrong, or none in time.
	Failed
	// Full means that the server refused the call for want of room.
	Full
	// Unreachable means that the server took no connection.
	Unreachable
	// Cancelled means that the caller went away.
	Cancelled
)

// mostSlowness bounds one reading of how slow a server is.
const mostSlowness = 20.0

// leastExpectedMs is the least time that a first answer is compared with.
const leastExpectedMs = 30.0

// Choice is a chosen server with the load that it was given. One goroutine uses
// it at a time.
type Choice struct {
	Server identifier.BackendServer
	// Unread is how many tokens of the prompt the server is thought to have to
	// read.
	Unread identifier.Tokens

	p       *Placer
	s       *state
	at      time.Time
	firstMs float64
	load    Load
	first   bool
	ended   bool
}

// ExpectedFirst returns how long after the choice an engine is thought to make
// its first token; its first event follows some tokens later.
func (c *Choice) ExpectedFirst() time.Duration {
	return time.Duration(c.firstMs * float64(time.Millisecond))
}

// First tells that the first content of the answer has come.
func (c *Choice) First() {
	if c.first || c.ended {
		return
	}
	c.first = true
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	now := c.p.opts.Clock.Now()
	took := now.Sub(c.at)
	c.s.clear()
	c.s.stopWaiting(c)
	c.s.heard = now
	delete(c.p.unreached, c.s.FailureDomain)
	if c.s.Engine {
		expected := max(c.firstMs, leastExpectedMs)
		ratio := min(max(float64(took.Milliseconds())/expected, 1), mostSlowness)
		c.s.slowness.add(now, ratio)
	} else {
		if c.s.took == 0 {
			c.s.took = took.Seconds()
		}
		c.s.took += learnWeight * (took.Seconds() - c.s.took)
	}
	// The prompt is read.
	c.s.own.Unread -= c.load.Unread
	c.load.Unread = 0
}

// End takes the choice's load away and learns from the outcome. Only the first
// call counts.
func (c *Choice) End(o Outcome) {
	if c.ended {
		return
	}
	c.ended = true
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	now := c.p.opts.Clock.Now()
	c.s.stopWaiting(c)
	c.s.own = c.s.own.Plus(Load{-c.load.Running, -c.load.Unread, -c.load.Context})
	switch o {
	case Succeeded:
		c.s.failing.add(now, 0)
	case Failed:
		c.s.failing.add(now, 1)
	case Full:
		c.s.slowness.add(now, mostSlowness/4)
	case Unreachable:
		c.s.strike(now)
		c.p.noteUnreached(c.s, now)
	case Cancelled:
	}
}
