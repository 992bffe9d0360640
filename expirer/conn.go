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
}

// SetReadDeadline sets the deadline of reads. Those of a server that Prepare has set up
// say what it waits for.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch left := time.Until(t); {
	case left > 2*headerMark:
		c.wait.awaitRequest(c.now(), c.limits)
	case left > headerMark/2:
		c.wait.awaitHeader(c.now(), c.limits)
	default:
		c.wait.answer(c.limits)
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
			tooLarge, aerr := c.arrived(b[:n], len(b))
			if tooLarge {
				return 0, c.refuse()
			}
			return n, errors.Join(err, aerr)
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.waitsOn() {
			return n, err
		}
	}
}

// Close closes the connection.
func (c *conn) Close() error {
	c.expirer.forget(c)
	return c.TCPConn.Close()
}

// arrived records that bytes were read into a buffer of the given size. It reports whether
// the header is too large, which gets an answer as a request does.
func (c *conn) arrived(b []byte, size int) (tooLarge bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wait.doing == busy {
		c.wait.arrived(b, size, time.Time{}, c.limits)
		return false, nil
	}
	c.wait.arrived(b, size, c.now(), c.limits)
	if c.wait.tooLarge() {
		c.wait.answer(c.limits)
		return true, nil
	}
	return false, c.arm()
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
