package placer

import (
	"time"

	"cyclamenhub.org/identifier"
)

const (
	// likelyServers is how many servers of a failure domain must not be reached
	// in a row, without any answer from there, for the domain to be passed by.
	likelyServers = 2
	// likelyFor is how long it is passed by.
	likelyFor = time.Second
)

// cutOff is what a host knows of a failure domain that it may be cut off from.
// It answers a partition: without it every server of the domain is tried in
// turn.
type cutOff struct {
	servers map[identifier.BackendServer]bool
	at      time.Time
}

// isLikely reports whether the domain is to be passed by.
func (c *cutOff) isLikely(now time.Time) bool {
	return c != nil && len(c.servers) >= likelyServers && now.Sub(c.at) < likelyFor
}

// noteUnreached notes that a server took no connection. The caller holds mu.
func (p *Placer) noteUnreached(s *state, now time.Time) {
	c := p.unreached[s.FailureDomain]
	if c == nil || now.Sub(c.at) > suspectMost {
		c = &cutOff{servers: make(map[identifier.BackendServer]bool)}
		p.unreached[s.FailureDomain] = c
	}
	c.servers[s.ID], c.at = true, now
}
