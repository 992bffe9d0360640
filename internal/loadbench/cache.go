package loadbench

import (
	"container/list"

	"cyclamenhub.org/router"
)

// prefixCache holds the blocks of an engine's prefix cache. It evicts the least
// recently used blocks first.
type prefixCache struct {
	capacity int
	order    *list.List
	entries  map[router.Block]*list.Element
	// stored and evicted are the changes since the last cache event.
	stored, evicted []router.Block
}

// newPrefixCache returns an empty cache of the given capacity in blocks.
func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), entries: make(map[router.Block]*list.Element)}
}

// match returns how many leading blocks are cached.
func (c *prefixCache) match(blocks []router.Block) int {
	for i, b := range blocks {
		if _, ok := c.entries[b]; !ok {
			return i
		}
	}
	return len(blocks)
}

// store adds the blocks, the last one first, so that a prefix is evicted after
// the blocks that follow it.
func (c *prefixCache) store(blocks []router.Block) {
	for i := len(blocks) - 1; i >= 0; i-- {
		b := blocks[i]
		if e, ok := c.entries[b]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.entries[b] = c.order.PushFront(b)
		c.stored = append(c.stored, b)
	}
	for c.order.Len() > c.capacity {
		b := c.order.Remove(c.order.Back()).(router.Block)
		delete(c.entries, b)
		c.evicted = append(c.evicted, b)
	}
}

// takeChanges returns the changes since the last call and clears them.
func (c *prefixCache) takeChanges() (stored, evicted []router.Block) {
	stored, evicted = c.stored, c.evicted
	c.stored, c.evicted = nil, nil
	return stored, evicted
}
