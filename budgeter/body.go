package budgeter

import (
	"errors"
	"io"
	"runtime"
	"time"
)

const (
	// minPartBytes and maxPartBytes bound the parts in which a body is held. A body that
	// stands still holds at most one part of which nothing has arrived.
	minPartBytes Bytes = 1 << 10
	maxPartBytes Bytes = 256 << 10
)

// ErrTooLarge reports a body that is larger than allowed.
var ErrTooLarge = errors.New("the body is too large")

// Body is a body while it is read.
type Body struct {
	Claim  *Claim
	Source io.Reader
	// Length is the length of the body, or below 0 if it is not known, and Max the largest
	// that is allowed.
	Length, Max Bytes
	// Deadline returns the deadline of the next read.
	Deadline func() time.Time

	size Bytes
}

// Read reads the body to its end and passes it to add in parts, each taken from the budget
// before it is allocated. If it fails, the bytes taken so far are given back, and the deadline of
// the last read may stay set.
func (b *Body) Read(add func(part []byte)) error {
	err := b.read(add)
	if ended := b.Claim.Settle(); ended != nil {
		err = ended // Its reads fail as they do when the time is up.
	}
	if err != nil {
		b.Claim.Release()
	}
	return err
}

// read reads the body to its end.
func (b *Body) read(add func(part []byte)) error {
	for {
		n := b.nextPart()
		if err := b.Claim.Take(n, b.size >= SmallBytes); err != nil {
			return err
		}
		part := make([]byte, n)
		arrived, err := b.fill(part)
		if arrived > 0 {
			add(part[:arrived])
			b.size += Bytes(arrived)
		}
		switch {
		case b.size > b.Max:
			return ErrTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// nextPart returns the size of the next part: no more than the body still has, if that is
// known, and no more than has arrived already beyond the first part.
func (b *Body) nextPart() Bytes {
	if b.Length < 0 || b.Length > b.Max {
		return min(max(b.size, minPartBytes), maxPartBytes, b.Max+1-b.size)
	}
	// A byte more than is left would be a second read that only finds the end.
	left := max(b.Length-b.size, 1)
	return min(left, max(b.size, SmallBytes), maxPartBytes)
}

// fill reads until the part is full.
func (b *Body) fill(part []byte) (n int, err error) {
	for n < len(part) && err == nil {
		if err = b.Claim.Await(b.Deadline()); err != nil {
			return n, err
		}
		var m int
		m, err = b.Source.Read(part[n:])
		n += m
		if b.size >= SmallBytes {
			runtime.Gosched() // Bodies in tiny chunks take long to decode.
		}
	}
	return n, err
}
