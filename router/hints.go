package router

import "sync/atomic"

// Sizes of the cache hint table.
const (
	hintSets = 1 << 14
	hintWays = 4
	// hintServerBits is the number of low bits of an entry that hold the server
	// id.
	hintServerBits = 24
	hintServerMask = 1<<hintServerBits - 1
)

// cacheHints records which server probably caches which prefix, from this
// host's own requests and from cache events. It is a set-associative table of
// fixed size. An insertion into a full set evicts the oldest entry. A hint may
// be outdated, and hints may be missing; a hint only ever reduces an estimate.
type cacheHints struct {
	// sets hold entries that combine a tag and a server id; 0 is an empty
	// entry.
	sets [hintSets][hintWays]atomic.Uint64
}

// hintEntry returns the index of the set and the entry for a block on a server.
func hintEntry(b Block, server uint32) (set, entry uint64) {
	h := mix(uint64(b))
	return h % hintSets, h&^hintServerMask | uint64(server)
}

// add records that a server caches a block.
func (t *cacheHints) add(b Block, server uint32) {
	set, entry := hintEntry(b, server)
	ways := &t.sets[set]
	for i := range ways {
		old := ways[i].Load()
		if old == entry {
			return
		}
		if old == 0 {
			ways[i].Store(entry)
			return
		}
	}
	for i := hintWays - 1; i > 0; i-- {
		ways[i].Store(ways[i-1].Load())
	}
	ways[0].Store(entry)
}

// remove records that a server no longer caches a block.
func (t *cacheHints) remove(b Block, server uint32) {
	set, entry := hintEntry(b, server)
	for i := range t.sets[set] {
		t.sets[set][i].CompareAndSwap(entry, 0)
	}
}

// holds reports whether a server probably caches a block.
func (t *cacheHints) holds(b Block, server uint32) bool {
	set, entry := hintEntry(b, server)
	for i := range t.sets[set] {
		if t.sets[set][i].Load() == entry {
			return true
		}
	}
	return false
}

// holder returns the id of a server that probably caches a block.
func (t *cacheHints) holder(b Block) (uint32, bool) {
	set, tag := hintEntry(b, 0)
	for i := range t.sets[set] {
		if e := t.sets[set][i].Load(); e != 0 && e&^hintServerMask == tag {
			return uint32(e & hintServerMask), true
		}
	}
	return 0, false
}
