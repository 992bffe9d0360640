package dispatcher

import (
	"sync"
	"time"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/timer"
)

// Query is what the choice of a backend server depends on.
type Query struct {
	Table    *Table
	Request  *Request
	Version  identifier.Version
	Excluded []identifier.BackendServer
	// Avoid is a failure domain that another one is preferred to.
	Avoid identifier.FailureDomain
}

// excludes reports whether b was tried already.
func (q *Query) excludes(b identifier.BackendServer) bool {
	for _, x := range q.Excluded {
		if x == b {
			return true
		}
	}
	return false
}

// Outcome is how an attempt on a server ended.
type Outcome int

// The outcomes.
const (
	// Succeeded is a whole answer.
	Succeeded Outcome = iota
	// Blamed is a failure that speaks against the server.
	Blamed
	// Neutral says nothing about the server.
	Neutral
)

// Chooser chooses the backend server of an attempt.
type Chooser interface {
	// Choose returns a server and counts an attempt on it as started, or
	// reports that there is none.
	Choose(q Query) (configurer.BackendServer, bool)
	// Finished counts the attempt as ended.
	Finished(b identifier.BackendServer, o Outcome)
}

const (
	// firstPenalty is how long a blamed server is avoided.
	firstPenalty = 500 * time.Millisecond
	// maxPenalty bounds the doubling of firstPenalty.
	maxPenalty = 16 * time.Second
)

// serverState is what LeastInFlight knows of one server.
type serverState struct {
	inFlight int
	failures int
	until    time.Time
	leaving  bool
}

// LeastInFlight chooses the server with the fewest attempts in flight, in the
// own failure domain first. It is safe for concurrent use.
type LeastInFlight struct {
	domain identifier.FailureDomain
	clock  timer.Clock

	mu     sync.Mutex
	states map[identifier.BackendServer]*serverState
}

// NewLeastInFlight returns a chooser for a host in that failure domain.
func NewLeastInFlight(domain identifier.FailureDomain, clock timer.Clock) *LeastInFlight {
	return &LeastInFlight{domain: domain, clock: clock, states: make(map[identifier.BackendServer]*serverState)}
}

// Choose returns the best server that q does not exclude.
func (c *LeastInFlight) Choose(q Query) (configurer.BackendServer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	var best *configurer.BackendServer
	bestScore := 0.0
	for i := range q.Table.servers[q.Request.Service.Name] {
		b := &q.Table.servers[q.Request.Service.Name][i]
		if q.Version != "" && b.Version != q.Version || q.excludes(b.Name) {
			continue
		}
		if s, ok := c.score(b, &q, now); ok && (best == nil || s < bestScore) {
			best, bestScore = b, s
		}
	}
	if best == nil {
		return configurer.BackendServer{}, false
	}
	c.state(best.Name).inFlight++
	return *best, true
}

// score returns the rank of a server, lowest first, or false where it takes no
// new work.
func (c *LeastInFlight) score(b *configurer.BackendServer, q *Query, now time.Time) (float64, bool) {
	const spill, penalty = 1, 1000
	s := c.state(b.Name)
	if s.leaving {
		return 0, false
	}
	score := float64(s.inFlight) / float64(max(b.Concurrency, 1))
	if b.FailureDomain != c.domain {
		score += spill
	}
	if b.FailureDomain == q.Avoid {
		score += 2 * spill
	}
	if now.Before(s.until) {
		score += penalty
	}
	return score, true
}

func (c *LeastInFlight) state(b identifier.BackendServer) *serverState {
	s, ok := c.states[b]
	if !ok {
		s = new(serverState)
		c.states[b] = s
	}
	return s
}

// Finished counts the end of an attempt.
func (c *LeastInFlight) Finished(b identifier.BackendServer, o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state(b)
	s.inFlight--
	switch o {
	case Succeeded:
		s.failures, s.until = 0, time.Time{}
	case Blamed:
		s.until = c.clock.Now().Add(min(firstPenalty<<min(s.failures, 10), maxPenalty))
		s.failures++
	case Neutral:
	}
}

// SetLeaving tells whether a server takes no new work.
func (c *LeastInFlight) SetLeaving(b identifier.BackendServer, leaving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state(b).leaving = leaving
}
