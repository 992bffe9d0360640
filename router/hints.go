package router

import "sync/atomic"

// Sizes of the hint table.
const (
	hintSets = 1 << 14
	hintWays = 4
	// hintServerBits is the part of an entry that names the server.
	hintServerBits = 24
	hintServerMask = 1<<hintServerBits - 1
)

// hints guess which server holds which prefix in its cache: from this host's
// own sends and from cache events. It is a set-associative table of fixed
// size; the oldest entry of a full set goes. A guess may be wrong in both
// directions and only ever shortens an estimate.
type hints struct {
	// sets hold entries of a tag and a server id; 0 is empty.
	sets [hintSets][hintWays]atomic.Uint64
}

// hintEntry returns the set and the entry of a block on a server.
func hintEntry(b Block, server uint32) (set, entry uint64) {
	h := mix(uint64(b))
	return h % hintSets, h&^hintServerMask | uint64(server)
}

// add notes that a server holds a block.
func (t *hints) add(b Block, server uint32) {
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

// remove notes that a server no longer holds a block.
func (t *hints) remove(b Block, server uint32) {
	set, entry := hintEntry(b, server)
	for i := range t.sets[set] {
		t.sets[set][i].CompareAndSwap(entry, 0)
	}
}

// holds reports whether a server is thought to hold a block.
func (t *hints) holds(b Block, server uint32) bool {
	set, entry := hintEntry(b, server)
	for i := range t.sets[set] {
		if t.sets[set][i].Load() == entry {
			return true
		}
	}
	return false
}

// holder returns a server that is thought to hold a block.
func (t *hints) holder(b Block) (uint32, bool) {
	set, tag := hintEntry(b, 0)
	for i := range t.sets[set] {
		if e := t.sets[set][i].Load(); e != 0 && e&^hintServerMask == tag {
			return uint32(e & hintServerMask), true
		}
	}
	return 0, false
}
