package placer

import "cyclamenhub.org/identifier"

// RecordLimit records what a response of the chosen server says about the rate
// of requests that the server accepts from all hosts together; nil means that it
// announces no limit. It returns the limit known before and whether the new one
// differs.
func (c *Choice) RecordLimit(limit *identifier.RequestRate) (before *identifier.RequestRate, changed bool) {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	before = c.state.limit
	c.state.limit = limit
	return before, !equalLimits(before, limit)
}

// RecordUnreadableLimit records that a response of the chosen server announces a
// limit that cannot be decoded. It returns true at the first such response of
// the server.
func (c *Choice) RecordUnreadableLimit() bool {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	first := !c.state.limitUnreadable
	c.state.limitUnreadable = true
	return first
}

// equalLimits reports whether two limits are the same.
func equalLimits(a, b *identifier.RequestRate) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// limitedServers returns the number of servers that are known to announce a
// limit.
func (p *Placer) limitedServers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, s := range p.servers {
		if s.limit != nil {
			n++
		}
	}
	return n
}
