package budgeter

import "time"

// aLongTimeAgo is a deadline that has passed.
var aLongTimeAgo = time.Unix(1, 0)

// Claim is what one body has taken from a Budget. Its methods are for one goroutine, except
// Release.
type Claim struct {
	b *Budget
	// deadline sets the deadline of the reads of the body.
	deadline func(t time.Time) error
	// The Budget's mutex guards the following fields.
	held, large Bytes
	movedAt     time.Time
	isEnded     bool
}

// Open returns the claim of a body that begins to arrive. deadline sets the deadline of its
// reads; it must not block.
func (b *Budget) Open(deadline func(t time.Time) error) *Claim {
	c := &Claim{b: b, deadline: deadline, movedAt: b.opts.Clock.Now()}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arriving[c] = struct{}{}
	return c
}

// Take takes n bytes for the next part of the body. Its error is ErrFull or ErrEnded.
func (c *Claim) Take(n Bytes, isLarge bool) error {
	now := c.b.opts.Clock.Now()
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	if c.isEnded {
		return ErrEnded
	}
	c.movedAt = now
	if !c.b.makeRoom(n, isLarge) {
		return ErrFull
	}
	c.held += n
	c.b.held += n
	if isLarge {
		c.large += n
		c.b.large += n
	}
	return nil
}

// Await records that the body has received something and sets the deadline of the next
// read. Its error is ErrEnded.
func (c *Claim) Await(deadline time.Time) error {
	now := c.b.opts.Clock.Now()
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	if c.isEnded {
		return ErrEnded
	}
	c.movedAt = now
	c.setDeadline(deadline)
	return nil
}

// Settle records that nothing more of the body arrives. Its bytes stay taken. Its error is
// ErrEnded, even if the rest of the body has come since.
func (c *Claim) Settle() error {
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	if c.isEnded {
		return ErrEnded
	}
	delete(c.b.arriving, c)
	c.setDeadline(time.Time{})
	return nil
}

// Release gives back what the body has taken. It may be called more than once, and on nil.
func (c *Claim) Release() {
	if c == nil {
		return
	}
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	c.b.drop(c)
}

// setDeadline sets the deadline of reads. It fails only on connections that are closed or
// know no deadlines, whose reads end by themselves or not at all.
func (c *Claim) setDeadline(t time.Time) { _ = c.deadline(t) }
