package budgeter

import (
	"errors"
	"sync"
	"time"

	"cyclamenhub.org/timer"
)

// Grace is how long a body may receive nothing before it may be ended to make room. A client
// that sends its body at once pauses for that long only where packets are lost.
const Grace = time.Second

var (
	// ErrFull reports that the budget is full of bodies that move.
	ErrFull = errors.New("this host holds too many bodies of requests; send it again later")
	// ErrEnded reports that the body was ended to make room for others.
	ErrEnded = errors.New("the body stood still while this host needed its memory; send it again")
)

// Options configure a Budget.
type Options struct {
	// Max is what all bodies may take, and Large what parts of large ones may.
	Max, Large Bytes
	Clock      timer.Clock
}

// Budget counts the bytes of bodies. It is safe for concurrent use.
type Budget struct {
	opts Options

	mu          sync.Mutex
	held, large Bytes
	// arriving holds the claims whose bodies are not complete.
	arriving map[*Claim]struct{}
	counts   Counts
}

// Counts tell what a Budget holds and has done.
type Counts struct {
	// Held is what all bodies have taken, and Large what parts of large ones have.
	Held, Large Bytes
	// Arriving is the number of bodies that are not complete.
	Arriving int
	// Refused and Ended count the parts refused and the bodies ended to make room.
	Refused, Ended uint64
}

// New returns an empty Budget.
func New(opts Options) *Budget {
	if opts.Clock == nil {
		opts.Clock = timer.System{}
	}
	return &Budget{opts: opts, arriving: make(map[*Claim]struct{})}
}

// Counts returns what the budget holds and has done.
func (b *Budget) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts
	c.Held, c.Large, c.Arriving = b.held, b.large, len(b.arriving)
	return c
}

// fits reports whether n bytes are left. The caller holds mu.
func (b *Budget) fits(n Bytes, isLarge bool) bool {
	return b.held+n <= b.opts.Max && (!isLarge || b.large+n <= b.opts.Large)
}

// makeRoom ends bodies until n bytes are left, and reports whether they are. The caller
// holds mu.
func (b *Budget) makeRoom(n Bytes, isLarge bool) bool {
	for !b.fits(n, isLarge) {
		c := b.stillest(isLarge && b.held+n <= b.opts.Max)
		if c == nil {
			b.counts.Refused++
			return false
		}
		b.end(c)
	}
	return true
}

// stillest returns the claim whose body has received nothing for longest, or nil if none
// has for the grace; of large bodies only, if the share of large ones is what is full. Of two
// that stood still equally long it is the one that holds more. The caller holds mu.
func (b *Budget) stillest(largeOnly bool) *Claim {
	latest := b.opts.Clock.Now().Add(-Grace)
	var found *Claim
	for c := range b.arriving {
		if c.held == 0 || largeOnly && c.large == 0 || c.movedAt.After(latest) {
			continue
		}
		if found == nil || c.movedAt.Before(found.movedAt) || c.held > found.held {
			found, latest = c, c.movedAt
		}
	}
	return found
}

// end ends the body of a claim. The caller holds mu.
func (b *Budget) end(c *Claim) {
	c.isEnded = true
	b.counts.Ended++
	b.drop(c)
	c.setDeadline(aLongTimeAgo)
}

// drop takes what a claim holds out of the budget. The caller holds mu.
func (b *Budget) drop(c *Claim) {
	delete(b.arriving, c)
	b.held -= c.held
	b.large -= c.large
	c.held, c.large = 0, 0
}
