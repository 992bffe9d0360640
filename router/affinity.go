package router

import "math"

// maxPrefixLevels is the largest number of levels of one prompt.
const maxPrefixLevels = 6

// levelShareRatio is the ratio of a block's share to the share of the current
// level at or above which the block belongs to that level. A smaller share
// starts a new level.
const levelShareRatio = 0.7

// prefixLevel is a part of a prompt's prefix whose blocks occur in about the
// same share of the requests. Typical levels are the text that all prompts
// begin with, a style guide, and one conversation.
type prefixLevel struct {
	// key is the first block of the level. Servers are ranked by it.
	key Block
	// share is the fraction of the recent requests that contain the level.
	share float64
	// depth is the last examined depth that belongs to the level, in blocks.
	depth int
}

// splitPrefix splits the request's prefix into levels and looks up the cache
// hint for it.
//
// Each level selects servers from those of the level above by rendezvous
// hashing. It selects as many as its share of the requests needs under the load
// bound (see considerByPrefix). As a result, every server caches the text that
// all prompts share, a few servers cache a style guide, and one of those caches
// a conversation that uses it. Shares are the same on every host behind a
// balancer, so all hosts select the same servers without communicating.
func (d *decision) splitPrefix() {
	d.r.shares.countRequest()
	blocks := d.req.PrefixBlocks
	for depth := 1; depth <= len(blocks); depth = nextDepth(depth) {
		b := blocks[depth-1]
		share := d.r.shares.add(b)
		if d.levelCount > 0 {
			last := &d.levels[d.levelCount-1]
			if share >= levelShareRatio*last.share || d.levelCount == maxPrefixLevels {
				last.depth = depth
				continue
			}
		}
		d.levels[d.levelCount] = prefixLevel{key: b, share: share, depth: depth}
		d.levelCount++
	}
	d.findHint()
}

// replicaCount returns how many of n servers a level is hashed over; at least
// 1.
func (d *decision) replicaCount(l *prefixLevel, n int) int {
	return max(int(math.Ceil(l.share*float64(n)*d.r.cfg.LoadBound)), 1)
}

// findHint finds the server that probably caches most of the prefix. It ignores
// a hint for a part that several servers cache: the level's server set gives
// the same information and is identical on all hosts.
func (d *decision) findHint() {
	blocks := d.req.PrefixBlocks
	for depth := lastDepth(len(blocks)); depth > 0; depth = previousDepth(depth) {
		if id, ok := d.r.hints.holder(blocks[depth-1]); ok {
			if d.shareAt(depth)*float64(d.p.size)*d.r.cfg.LoadBound <= 1 {
				d.hintedServer, d.hintDepth = id, depth
			}
			return
		}
	}
}

// shareAt returns the share of the level that contains depth, or 0 if no level
// does.
func (d *decision) shareAt(depth int) float64 {
	for i := range d.levelCount {
		if depth <= d.levels[i].depth {
			return d.levels[i].share
		}
	}
	return 0
}

// cachedBlocks estimates how many blocks of the prompt a server has cached. It
// uses the cache hints and warm, the depth in blocks that the server probably
// caches because it belongs to the set of a level.
func (d *decision) cachedBlocks(m *member, warm int) int {
	if m.s.id == d.hintedServer {
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
