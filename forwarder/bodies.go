package forwarder

import (
	"errors"
	"io"
	"sync/atomic"

	"cyclamenhub.org/budgeter"
)

const (
	// smallBodyBytes is the part of a body that does not count in the budget, so
	// that small responses pass beside large ones.
	smallBodyBytes = 64 << 10
	// minChunkBytes and maxChunkBytes bound the parts in which a body is held.
	minChunkBytes = 1 << 10
	maxChunkBytes = 1 << 20
)

var (
	errBodyTooLarge  = errors.New("the answer is too large")
	errTooManyBodies = errors.New("this host holds too many large answers")
)

// chunks is a body in parts. A single growing buffer would take up several times its size.
type chunks struct {
	parts [][]byte
	size  int64
}

// add adds a part.
func (c *chunks) add(b []byte) {
	c.parts, c.size = append(c.parts, b), c.size+int64(len(b))
}

// WriteTo implements io.WriterTo.
func (c *chunks) WriteTo(w io.Writer) (int64, error) {
	var written int64
	for _, b := range c.parts {
		n, err := w.Write(b)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// bodyBudget counts the bytes of large bodies that a host holds. It is safe for
// concurrent use.
type bodyBudget struct {
	max  int64
	held atomic.Int64
}

// setMemory sets the budget for a host with the given memory in bytes, 0 if that is not
// known.
func (b *bodyBudget) setMemory(bytes int64) {
	b.max = budgeter.Divide(bytes).Answers
}

// maxBody returns the size of the largest body that is accepted: one leaves room for others.
func (b *bodyBudget) maxBody() int64 { return b.max / 3 * 2 }

// read reads a body. It returns the bytes taken from the budget, which the caller
// gives back once it holds the body no more.
func (b *bodyBudget) read(r io.Reader) (body chunks, taken int64, err error) {
	for err == nil {
		part := min(max(body.size, minChunkBytes), maxChunkBytes, b.maxBody()+1-body.size)
		if body.size >= smallBodyBytes {
			if !b.take(part) {
				return chunks{}, taken, errTooManyBodies
			}
			taken += part
		}
		buf := make([]byte, part)
		var n int
		n, err = fill(r, buf)
		body.add(buf[:n])
		if body.size > b.maxBody() {
			return chunks{}, taken, errBodyTooLarge
		}
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return body, taken, err
}

// fill reads until the buffer is full. Unlike io.ReadFull it returns the reader's own error.
func fill(r io.Reader, buf []byte) (n int, err error) {
	for n < len(buf) && err == nil {
		var m int
		m, err = r.Read(buf[n:])
		n += m
	}
	return n, err
}

// take takes n bytes from the budget, if they are left.
func (b *bodyBudget) take(n int64) bool {
	if b.held.Add(n) <= b.max {
		return true
	}
	b.held.Add(-n)
	return false
}

// release gives bytes back.
func (b *bodyBudget) release(n int64) { b.held.Add(-n) }
