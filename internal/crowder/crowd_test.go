//go:build crowd

package crowder

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"cyclamenhub.org/platform/standin"
)

const (
	// writeTimeout is how long a member tries to send a piece that is not taken.
	writeTimeout = 20 * time.Second
	// pieceBytes is how much each member sends before the next piece of any.
	pieceBytes = 32 << 10
	// settleTimeout bounds how long the crowd waits until what it sent has been read.
	settleTimeout = 30 * time.Second
)

// state is what became of a member of a crowd.
type state string

const (
	open   state = "open"   // has sent all so far and is connected
	closed state = "closed" // the process closed the connection or refused it
	held   state = "held"   // the process does not read on
)

// member is a client.
type member struct {
	conn  net.Conn
	state state
	sent  int64
}

// write sends b unless the connection is closed or not read.
func (m *member) write(b []byte) {
	if m.state != open {
		return
	}
	n := 0
	err := m.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err == nil {
		n, err = m.conn.Write(b)
	}
	m.sent += int64(n)
	switch {
	case err == nil:
	case errors.Is(err, os.ErrDeadlineExceeded):
		m.state = held
	default:
		m.state = closed
	}
}

// crowd is a number of clients of one kind.
type crowd struct {
	t       *testing.T
	address string
	members []*member
}

// newCrowd connects a crowd to an address until the end of the test.
func newCrowd(t *testing.T, size int, address string) *crowd {
	t.Helper()
	c := &crowd{t: t, address: address, members: make([]*member, size)}
	errs := make([]error, size)
	c.each(func(i int, _ *member) { c.members[i], errs[i] = connect(address) })
	t.Cleanup(func() {
		for _, m := range c.members {
			if m != nil && m.conn != nil {
				_ = m.conn.Close()
			}
		}
	})
	if err := errors.Join(errs...); err != nil {
		t.Fatal(err)
	}
	return c
}

// connect connects one member. A process may refuse it, or leave it waiting.
func connect(address string) (*member, error) {
	conn, err := net.DialTimeout("tcp", address, writeTimeout)
	var timeout net.Error
	switch {
	case err == nil:
		return &member{conn: conn, state: open}, nil
	case errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET):
		return &member{state: closed}, nil
	case errors.As(err, &timeout) && timeout.Timeout():
		return &member{state: held}, nil
	}
	return nil, fmt.Errorf("a member of the crowd cannot connect: %w", err)
}

// each runs f for all members at once.
func (c *crowd) each(f func(i int, m *member)) {
	var wg sync.WaitGroup
	for i, m := range c.members {
		wg.Go(func() { f(i, m) })
	}
	wg.Wait()
}

// write makes each member send b.
func (c *crowd) write(b []byte) { c.each(func(_ int, m *member) { m.write(b) }) }

// writeInPieces makes the members send b in pieces, each of which all have sent before
// the next one.
func (c *crowd) writeInPieces(b []byte) {
	for len(b) > 0 {
		n := min(len(b), pieceBytes)
		c.write(b[:n])
		b = b[n:]
	}
}

// writeWithoutEnd makes the members send b again and again, until all connections are
// closed or not read, or each has sent the given number of bytes.
func (c *crowd) writeWithoutEnd(b []byte, bytes int) {
	for sent := 0; sent < bytes && c.count()[open] > 0; sent += len(b) {
		c.writeInPieces(b)
	}
}

// writeHeads makes each member send the head of a request with an id of its own, which
// ends in the given lines.
func (c *crowd) writeHeads(path string, lines []byte) {
	c.each(func(_ int, m *member) { m.write(append(head(path), lines...)) })
}

// finish makes one member of ten send the last bytes of its request.
func (c *crowd) finish(b []byte) {
	c.each(func(i int, m *member) {
		if i%10 == 0 {
			m.write(b)
		}
	})
}

// count returns the number of members in each state.
func (c *crowd) count() map[state]int {
	counts := make(map[state]int)
	for _, m := range c.members {
		counts[m.state]++
	}
	return counts
}

// settle waits until the process has read what the crowd has sent, or does not read on.
// Then it checks that each member has sent the given number of bytes at least, unless
// the process closed its connection or does not read on.
func (c *crowd) settle(bytes int64) {
	c.t.Helper()
	unread := 0
	for until := time.Now().Add(settleTimeout); ; time.Sleep(pollInterval) {
		if unread = unreadBytes(c.t, c.address); unread == 0 || time.Now().After(until) {
			break
		}
	}
	var sent int64
	for i, m := range c.members {
		sent += m.sent
		if m.state == open && m.sent < bytes {
			c.t.Errorf("member %d has sent %d bytes of %d: the fault is not brought about", i, m.sent, bytes)
		}
	}
	c.t.Logf("crowd: %d members, now %v; sent %d MB, of which %d KB are not read", len(c.members), c.count(), sent>>20, unread>>10)
}

// head returns the lines of the head of a request without the empty line at its end.
func head(path string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\n", path, standin.CallHost)
	// A buffer takes all that is written.
	_ = standin.CallHeader(newCallID(), key, callTimeout).Write(&b)
	return b.Bytes()
}
