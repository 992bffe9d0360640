package expirer

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// tooLargeAnswer is the answer to a header that is too large.
	tooLargeAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Type: text/plain; charset=utf-8\r\n" +
		"Content-Length: 41\r\n\r\nthe header is too large: send less of it\n"
	// lingerTime and lingerBytes bound what is read after an answer that ends a connection:
	// a close with bytes unread would take the answer from the caller.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 64 << 10
)

// conn is a connection under the limits of an Expirer.
type conn struct {
	*net.TCPConn
	expirer *Expirer

	mu     sync.Mutex
	wait   wait
	limits Limits
	// leaving is set while the connection is to end so that others have room.
	leaving bool
	// held is the memory that its header is charged with.
	held int64
}

// SetReadDeadline sets the deadline of reads. Those of a server that Prepare has set up
// say what it waits for.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch left := time.Until(t); {
	case left > 2*headerMark:
		c.wait.awaitRequest(c.now(), c.limits)
		c.charge(c.wait.held())
	case left > headerMark/2:
		c.wait.awaitHeader(c.now(), c.limits)
	default:
		c.stay()
		c.wait.answer(c.limits)
		c.charge(c.wait.held())
		return c.TCPConn.SetReadDeadline(t)
	}
	return c.arm()
}

// SetDeadline sets the deadlines of reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Read reads until the present wait ends.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(b)
		if n > 0 {
			return c.afterArrival(n, err, c.arrived(b[:n], len(b)))
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.waitsOn() {
			return n, err
		}
	}
}

// Close closes the connection.
func (c *conn) Close() error {
	c.expirer.forget(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stay()
	c.charge(0)
	c.wait.answer(c.limits)
	return c.TCPConn.Close()
}

// arrival is what follows when bytes have arrived.
type arrival int

const (
	// goesOn: the server may have the bytes.
	goesOn arrival = iota
	// grows: it may have them if the memory for headers suffices.
	grows
	// tooLarge: the header is too large.
	tooLarge
)

// arrived records that bytes were read into a buffer of the given size. A header that is too
// large gets an answer as a request does.
func (c *conn) arrived(b []byte, size int) arrival {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wait.doing == busy {
		c.wait.arrived(b, size, time.Time{}, c.limits)
		return goesOn
	}
	c.stay()
	c.wait.arrived(b, size, c.now(), c.limits)
	more := c.charge(c.wait.held())
	if c.wait.tooLarge() {
		c.wait.answer(c.limits)
		return tooLarge
	}
	_ = c.arm() // It fails only on a closed connection.
	if more {
		return grows
	}
	return goesOn
}

// afterArrival returns what Read returns after n bytes and an error.
func (c *conn) afterArrival(n int, err error, a arrival) (int, error) {
	switch {
	case a == tooLarge:
		return 0, c.refuse()
	case a == grows && !c.expirer.hasHeadRoom(c):
		c.expirer.closedFull.Inc()
		return 0, os.ErrDeadlineExceeded // The server closes the connection without an answer.
	default:
		return n, err
	}
}

// refuse answers a header that is too large. It returns an error upon which the server
// closes the connection without a further answer.
func (c *conn) refuse() error {
	c.expirer.closedHead.Inc()
	if err := c.TCPConn.SetDeadline(time.Now().Add(lingerTime)); err != nil {
		return err
	}
	if _, err := io.WriteString(c.TCPConn, tooLargeAnswer); err != nil {
		return err
	}
	_ = c.CloseWrite() // It fails only on a closed connection.
	_, _ = io.CopyN(io.Discard, c.TCPConn, lingerBytes)
	return os.ErrDeadlineExceeded
}

// waitsOn reports whether the connection waits on after a deadline has passed: the limit
// was raised meanwhile, or bytes have arrived that were not read in time.
func (c *conn) waitsOn() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	end, limited := c.wait.end()
	switch {
	case !limited:
		return false
	case c.leaving && !bytesWait(c.TCPConn):
		c.expirer.closedFull.Inc()
		return false
	case c.leaving:
		c.stay()
		return c.TCPConn.SetReadDeadline(time.Time{}) == nil
	case c.now().Before(end):
		return c.arm() == nil
	case bytesWait(c.TCPConn):
		return c.TCPConn.SetReadDeadline(time.Time{}) == nil
	}
	c.expirer.count(c.wait.doing)
	return false
}

// raise applies limits that have come into force.
func (c *conn) raise(l Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = l
	c.wait.raise(l)
	if c.wait.doing != busy {
		_ = c.arm() // It fails only on a closed connection.
	}
}

// arm sets the deadline of the present wait. The caller holds mu.
func (c *conn) arm() error {
	if c.leaving {
		return c.TCPConn.SetReadDeadline(time.Unix(1, 0)) // at once
	}
	end, _ := c.wait.end()
	return c.TCPConn.SetReadDeadline(time.Now().Add(end.Sub(c.now())))
}

// now returns the time of the Expirer's clock.
func (c *conn) now() time.Time { return c.expirer.opts.Clock.Now() }

// bytesWait reports whether bytes, or the end of the stream, have arrived at a
// connection and were not read.
func bytesWait(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		waiting = err == nil
	})
	return err == nil && waiting
}
