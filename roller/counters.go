package roller

import (
	"sync/atomic"
	"time"
)

// numShards is the number of copies of the counters over which requests are
// spread to reduce contention.
const numShards = 8

// liveTally is a Tally that request goroutines update.
type liveTally struct{ requests, failed, slow atomic.Uint64 }

// liveCell is a Cell that request goroutines update.
type liveCell struct {
	tallies     [numArms][numLevels]liveTally
	unreachable [numArms]atomic.Uint64
	reclaimed   [numArms]atomic.Uint64
	latency     [numArms][numBuckets]atomic.Uint64
}

// read adds the counters to c. It adds the latency histograms only if latency
// is set.
func (lc *liveCell) read(c *Cell, latency bool) {
	for a := range numArms {
		for l := range numLevels {
			t, live := &c.Tallies[a][l], &lc.tallies[a][l]
			t.Requests += live.requests.Load()
			t.Failed += live.failed.Load()
			t.Slow += live.slow.Load()
		}
		if latency {
			lc.readLatency(c, Arm(a))
		}
		c.Unreachable[a] += lc.unreachable[a].Load()
		c.Reclaimed[a] += lc.reclaimed[a].Load()
	}
}

// readLatency adds the histogram of one arm to c.
func (lc *liveCell) readLatency(c *Cell, a Arm) {
	h := c.histogram(a)
	for b := range numBuckets {
		h[b] += lc.latency[a][b].Load()
	}
}

// cellSlot holds the counters of one cell. Each shard is allocated when its
// first request ends.
type cellSlot struct {
	key       CellKey
	threshold time.Duration
	shards    [numShards]atomic.Pointer[liveCell]
}

// shard returns the counters of shard i.
func (s *cellSlot) shard(i uint8) *liveCell {
	p := &s.shards[i]
	if c := p.Load(); c != nil {
		return c
	}
	p.CompareAndSwap(nil, &liveCell{})
	return p.Load()
}

// read returns the sum of the shards, and false if no shard is allocated.
func (s *cellSlot) read(latency bool) (*Cell, bool) {
	var out *Cell
	for i := range s.shards {
		c := s.shards[i].Load()
		if c == nil {
			continue
		}
		if out == nil {
			out = &Cell{}
		}
		c.read(out, latency)
	}
	return out, out != nil
}

// observe counts one ended request.
func (s *cellSlot) observe(a Assignment, o Outcome, latency time.Duration) {
	c := s.shard(a.shard)
	tally := &c.tallies[a.arm][a.level]
	switch o {
	case Succeeded:
		tally.requests.Add(1)
		c.latency[a.arm][bucketOf(latency)].Add(1)
	case Failed:
		tally.requests.Add(1)
		tally.failed.Add(1)
	case Unreachable, Lost:
		c.unreachable[a.arm].Add(1)
	case Reclaimed:
		c.reclaimed[a.arm].Add(1)
	case Withdrawn:
	}
}
