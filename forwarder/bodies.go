package forwarder

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"
)

const (
	// maxResponseBytes bounds the body of a response that is not a stream.
	maxResponseBytes = 32 << 20
	// maxHeldBytes bounds the bodies of such responses that a host holds in all,
	// without the first smallBodyBytes of each.
	maxHeldBytes = 48 << 20
	// smallBodyBytes is the part of a body that does not count in maxHeldBytes, so
	// that small responses pass beside large ones.
	smallBodyBytes = 64 << 10
)

var (
	errBodyTooLarge  = errors.New("the answer is too large")
	errTooManyBodies = errors.New("this host holds too many large answers")
)

// bodyBudget counts the bytes of large bodies that a host holds. It is safe for
// concurrent use.
type bodyBudget struct{ held atomic.Int64 }

// read reads a body. It returns the bytes taken from the budget, which the caller
// gives back once it holds the body no more.
func (b *bodyBudget) read(r io.Reader) (body []byte, taken int64, err error) {
	var buf bytes.Buffer
	n, err := buf.ReadFrom(io.LimitReader(r, smallBodyBytes))
	for part := int64(smallBodyBytes); err == nil && n == part; {
		// Each part is as large as what is held already, up to one byte too many.
		part = min(int64(buf.Len()), maxResponseBytes+1-int64(buf.Len()))
		if !b.take(part) {
			return nil, taken, errTooManyBodies
		}
		taken += part
		n, err = buf.ReadFrom(io.LimitReader(r, part))
		if buf.Len() > maxResponseBytes {
			return nil, taken, errBodyTooLarge
		}
	}
	return buf.Bytes(), taken, err
}

// take takes n bytes from the budget, if they are left.
func (b *bodyBudget) take(n int64) bool {
	if b.held.Add(n) <= maxHeldBytes {
		return true
	}
	b.held.Add(-n)
	return false
}

// release gives bytes back.
func (b *bodyBudget) release(n int64) { b.held.Add(-n) }
