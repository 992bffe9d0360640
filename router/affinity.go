package router

import "math"

// affinity picks the part of the prefix that is hashed.
//
// It is the shortest part whose share of the requests one server can carry
// with the bound: on the way down, a style guide that everybody uses is too
// hot, a customer's own part of it is not. All requests below that part then
// go to one server, later turns of a conversation too. Where the whole prompt
// is too hot for one server, it is hashed over as many as carry it.
//
// Shares are the same on every host behind a balancer, so that all hosts cut
// at the same depth without any talk between them.
func (d *decision) affinity() {
	d.r.shares.begin()
	blocks := d.req.PrefixBlocks
	if len(blocks) == 0 {
		return
	}
	fits := d.r.cfg.Bound / float64(d.p.ownSize())
	d.keyed = true
	for depth := 1; depth <= len(blocks); depth = nextDepth(depth) {
		share := d.r.shares.add(blocks[depth-1])
		if depth == 1 || d.share > fits {
			d.key, d.share = blocks[depth-1], share
		}
	}
	d.findHint()
}

// findHint finds the server that is thought to hold most of the prefix.
func (d *decision) findHint() {
	blocks := d.req.PrefixBlocks
	for depth := lastDepth(len(blocks)); depth > 0; depth = previousDepth(depth) {
		if id, ok := d.r.hints.holder(blocks[depth-1]); ok {
			d.hinted = id
			return
		}
	}
}

// cachedOn guesses how many tokens of the prompt a server holds.
func (d *decision) cachedOn(m *member) float64 {
	blocks := d.req.PrefixBlocks
	for depth := lastDepth(len(blocks)); depth > 0; depth = previousDepth(depth) {
		if d.r.hints.holds(blocks[depth-1], m.s.id) {
			return float64(d.req.PromptTokens) * float64(depth) / float64(len(blocks)+1)
		}
	}
	return 0
}

// replicas is over how many servers of g the key is spread.
func (d *decision) replicas(g *group) int {
	n := len(g.members)
	k := int(math.Ceil(d.share * float64(n) / d.r.cfg.Bound))
	return min(max(k, 1), n)
}

// ownSize is the number of servers in the first domain.
func (p *pool) ownSize() int {
	n := 0
	for _, g := range p.groups {
		if g.domain == p.groups[0].domain {
			n += len(g.members)
		}
	}
	return n
}

// lastDepth returns the greatest depth to look at in n blocks.
func lastDepth(n int) int {
	if n >= probeStride {
		return n - n%probeStride
	}
	d := 0
	for next := 1; next <= n; next = nextDepth(next) {
		d = next
	}
	return d
}

// previousDepth returns the depth to look at before d, or 0.
func previousDepth(d int) int {
	if d > probeStride {
		return d - probeStride
	}
	return d / 2
}
