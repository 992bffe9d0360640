package expirer

import (
	"maps"
	"time"
)

// scanPause is the time after a search for a connection that waits, when all were busy,
// until the next one.
const scanPause = 10 * time.Millisecond

// room closes connections that wait, so that others have room. The Expirer's mu guards it.
type room struct {
	queue queue[*conn]
	// since returns since when a connection waits whose close makes room, and false if its
	// close makes none.
	since func(*conn) (time.Time, bool)
	// busyAt is when no such connection was found.
	busyAt time.Time
}

// make asks the connection that has waited longest to end, and reports whether there is
// one.
func (r *room) make(conns map[*conn]struct{}, now time.Time) bool {
	if !r.busyAt.IsZero() && now.Sub(r.busyAt) < scanPause {
		return false
	}
	for {
		c, ok := r.queue.take(maps.Keys(conns), r.since)
		if !ok {
			r.busyAt = now
			return false
		}
		if c.leave() {
			return true
		}
	}
}

// waitsSince returns since when a connection waits, and false if it is busy or leaves.
func (c *conn) waitsSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wait.start, c.wait.doing != busy && !c.leaving
}

// sendsSince returns since when a connection waits for the rest of a header that holds
// memory, and false if it does not.
func (c *conn) sendsSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wait.start, c.wait.doing != busy && !c.leaving && c.held > 0
}

// leave makes a connection end that waits, unless bytes have arrived that were not read. It
// reports whether the connection waits.
func (c *conn) leave() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wait.doing == busy || c.leaving {
		return false
	}
	c.leaving = true
	c.expirer.leaving.Add(1)
	c.charge(0)
	_ = c.arm() // It fails only on a closed connection.
	return true
}

// stay lets a connection go on that was to leave. The caller holds mu.
func (c *conn) stay() {
	if c.leaving {
		c.leaving = false
		c.expirer.leaving.Add(-1)
	}
}

// charge records the memory that the header of a connection holds, and reports whether it
// is more than before. The caller holds mu.
func (c *conn) charge(n int64) bool {
	if n == c.held {
		return false
	}
	grows := n > c.held
	c.expirer.held.Add(n - c.held)
	c.held = n
	return grows
}

// place says whether there is room for one more connection.
type place int

const (
	free place = iota
	// soonFree: connections that wait are about to leave.
	soonFree
	// full: all connections are busy.
	full
)

// connectionPlace returns whether there is room for one more connection, and makes room for
// further ones. The caller holds mu.
func (e *Expirer) connectionPlace() place {
	n := int64(len(e.conns)) + 1
	leaving := e.leaving.Load()
	made := e.connections.needsRoom(n-leaving) && e.connectionRoom.make(e.conns, e.opts.Clock.Now())
	switch {
	case !e.connections.exceededBy(n):
		return free
	case made || leaving > 0:
		return soonFree
	default:
		return full
	}
}

// hasHeadRoom reports whether the header of a connection may stay in memory with the others,
// and makes room for it. If it has waited longest itself, it may not.
func (e *Expirer) hasHeadRoom(c *conn) bool {
	if !e.headMemory.needsRoom(e.held.Load()) {
		return true
	}
	e.mu.Lock()
	for e.headMemory.needsRoom(e.held.Load()) && e.headRoom.make(e.conns, e.opts.Clock.Now()) {
	}
	e.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.leaving && !e.headMemory.exceededBy(e.held.Load())
}
