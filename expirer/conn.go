package expirer

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
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
			return n, errors.Join(err, c.arrived(b[:n], len(b)))
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

// arrived records that bytes were read into a buffer of the given size.
func (c *conn) arrived(b []byte, size int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wait.doing == busy {
		c.wait.arrived(b, size, time.Time{}, c.limits)
		return nil
	}
	c.wait.arrived(b, size, c.now(), c.limits)
	return c.arm()
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
