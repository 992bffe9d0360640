package router

import "math"

// maxLevels bounds the levels of one prompt.
const maxLevels = 6

// levelDrop is what a share must fall to, of the one above, to start a level.
const levelDrop = 0.7

// level is a part of the prompt's prefix that a like share of the requests has
// in common: what all prompts start with, then a style guide, then a
// conversation.
type level struct {
	// key is the first block of the level.
	key Block
	// share is the level's share of the recent requests.
	share float64
	// depth is the last depth that was looked at in the level, in blocks.
	depth int
}

// affinity cuts the prefix into levels.
//
// Every level is hashed over as many servers as carry its share of the
// requests with the bound (see byPrefix), out of those of the level above.
// So what everybody uses is held everywhere, a style guide by few, and a
// conversation by one that holds its style guide. Shares are the same on every
// host behind a balancer, so that all hosts reach the same sets without any
// talk between them.
func (d *decision) affinity() {
	d.r.shares.begin()
	blocks := d.req.PrefixBlocks
	for depth := 1; depth <= len(blocks); depth = nextDepth(depth) {
		b := blocks[depth-1]
		share := d.r.shares.add(b)
		if d.levels > 0 {
			last := &d.path[d.levels-1]
			if share >= levelDrop*last.share || d.levels == maxLevels {
				last.depth = depth
				continue
			}
		}
		d.path[d.levels] = level{key: b, share: share, depth: depth}
		d.levels++
	}
	d.findHint()
}

// replicas is over how many of n servers a level is hashed.
func (d *decision) replicas(l *level, n int) int {
	return max(int(math.Ceil(l.share*float64(n)*d.r.cfg.Bound)), 1)
}

// findHint finds the server that is thought to hold most of the prefix. A hint
// of what is held by several servers is dropped: the level's set says as much,
// and is the same on all hosts.
func (d *decision) findHint() {
	blocks := d.req.PrefixBlocks
	for depth := lastDepth(len(blocks)); depth > 0; depth = previousDepth(depth) {
		if id, ok := d.r.hints.holder(blocks[depth-1]); ok {
			if d.shareAt(depth)*float64(d.p.size)*d.r.cfg.Bound <= 1 {
				d.hinted, d.hintDepth = id, depth
			}
			return
		}
	}
}

// shareAt returns the share of the level that a depth lies in.
func (d *decision) shareAt(depth int) float64 {
	for i := range d.levels {
		if depth <= d.path[i].depth {
			return d.path[i].share
		}
	}
	return 0
}

// cachedOn guesses how many blocks of the prompt a server holds: by the hints,
// and by warm, the depth that it holds as one of few.
func (d *decision) cachedOn(m *member, warm int) int {
	if m.s.id == d.hinted {
		return max(d.hintDepth, warm)
	}
	blocks := d.req.PrefixBlocks
	for depth := lastDepth(len(blocks)); depth > warm; depth = previousDepth(depth) {
		if d.r.hints.holds(blocks[depth-1], m.s.id) {
			return depth
		}
	}
	return warm
}
