package connector

import (
	"errors"
	"io"
	"maps"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// endMemory is how long the end of a connection is remembered once this side has closed it.
	endMemory = 2 * time.Second
	// maxEnds is how many of them are remembered for one address.
	maxEnds = 256
)

// End is the end of a connection by the server, amid an exchange or after its answer.
type End struct {
	// At is when the end was first seen.
	At time.Time
	// Quiet is how long the exchange had waited then for something to arrive.
	Quiet time.Duration
	// Broken is set if the end shows that the answer is not complete.
	Broken bool
}

// endRecord holds the end of a connection, which the exchange or a look from outside sees
// first. It is safe for concurrent use.
type endRecord struct {
	mu  sync.Mutex
	end End
	// isBusy is set while the connection has an exchange, and waitsSince is when it began, last
	// began to wait for bytes or got some. isMet is set if the end was there when it began to wait.
	isBusy, isMet bool
	waitsSince    time.Time
}

// begin records that an exchange begins.
func (r *endRecord) begin(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.end, r.isBusy, r.isMet, r.waitsSince = End{}, true, false, now
}

// finish records that the exchange is over and the connection is idle.
func (r *endRecord) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isBusy = false
}

// awake records that something has arrived, or that the exchange begins to wait for it.
func (r *endRecord) awake(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waitsSince = now
}

// seen records that the end is there, unless it was seen before.
func (r *endRecord) seen(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.end.At.IsZero() {
		r.end.At, r.end.Quiet = now, now.Sub(r.waitsSince)
	}
}

// read records that the exchange has read the end. A look from outside may have seen it before,
// but does not know of bytes that the exchange was about to get.
func (r *endRecord) read(now time.Time) {
	r.seen(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isMet {
		r.end.Quiet = now.Sub(r.waitsSince)
	}
}

// meet records that the end is there as the exchange begins to wait.
func (r *endRecord) meet(now time.Time) {
	r.seen(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.end.Quiet, r.isMet = 0, true
}

// markBroken records that the answer is not complete.
func (r *endRecord) markBroken() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.end.Broken = true
}

// isAwaited reports whether the connection has an exchange and its end was not seen.
func (r *endRecord) isAwaited() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isBusy && r.end.At.IsZero()
}

// get returns the end, or false if the connection is idle or none was seen.
func (r *endRecord) get() (End, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.end, r.isBusy && !r.end.At.IsZero()
}

// End returns how the server has ended the connection. The exchange has read that end.
func (c *Conn) End() End {
	end, _ := c.end.get()
	return end
}

// MarkBroken records that the answer of the exchange ended too early by what it holds.
func (c *Conn) MarkBroken() { c.end.markBroken() }

// isEnd reports whether an error of a read means that the server has ended the connection.
func isEnd(err error) bool { return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) }

// markIncomplete records that the answer is not complete if its length or its chunks show that.
func (c *Conn) markIncomplete() {
	if c.res != nil && c.res.Delimited && !c.bodyEnded {
		c.end.markBroken()
	}
}

// beginWait records that the exchange begins to wait for bytes. An end that is there already was not
// awaited, however late this process gets to read it. Only answers without a length or chunks are
// looked at, since the look is a system call.
func (c *Conn) beginWait() {
	c.end.awake(c.clock.Now())
	if c.res != nil && !c.res.Delimited && c.br.Buffered() == 0 {
		if n, err := c.peek(); n == 0 && err == nil {
			c.end.meet(c.clock.Now())
		}
	}
}

// lookForEnd looks whether the server has ended the connection amid an exchange, which another
// goroutine may be at.
func (c *Conn) lookForEnd() (End, bool) {
	if !c.end.isAwaited() {
		return c.end.get()
	}
	if n, err := c.peek(); n == 0 && (err == nil || errors.Is(err, syscall.ECONNRESET)) {
		c.end.seen(c.clock.Now())
	}
	return c.end.get()
}

// OtherEnds returns the ends of other connections than c to its address, each amid an exchange.
// Those that this side has closed are remembered for a short time.
func (p *Pool) OtherEnds(c *Conn) []End {
	p.mu.Lock()
	conns, ends := slices.Collect(maps.Keys(p.open[c.address])), slices.Clone(p.ended[c.address])
	p.mu.Unlock()
	for _, other := range conns {
		if other == c {
			continue
		}
		if end, ok := other.lookForEnd(); ok {
			ends = append(ends, end)
		}
	}
	return ends
}

// remember keeps the end of a connection that this side closes. The caller holds mu.
func (p *Pool) remember(c *Conn) {
	c.markIncomplete()
	end, ok := c.end.get()
	if !ok {
		return
	}
	oldest := p.opt.Clock.Now().Add(-endMemory)
	isOld := func(e End) bool { return e.At.Before(oldest) }
	maps.DeleteFunc(p.ended, func(_ string, ends []End) bool {
		return !slices.ContainsFunc(ends, func(e End) bool { return !isOld(e) })
	})
	ends := append(slices.DeleteFunc(p.ended[c.address], isOld), end)
	p.ended[c.address] = ends[max(len(ends)-maxEnds, 0):]
}
