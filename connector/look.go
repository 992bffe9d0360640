package connector

import (
	"cmp"
	"errors"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// isOpen reports whether a connection is known to be open on both sides: nothing has arrived
// that was not read, nor its end. It may be in use.
func (c *Conn) isOpen() bool {
	_, err := c.peek()
	return errors.Is(err, unix.EAGAIN)
}

// isUsable reports whether an idle connection is open and has no unexpected
// data to read.
func (c *Conn) isUsable() bool {
	_, err := c.peek()
	return errors.Is(err, unix.EAGAIN) || errors.Is(err, errNoSocket)
}

// staysOpen reports whether a new connection is not closed by the server within a time.
func (c *Conn) staysOpen(d time.Duration) bool {
	_ = c.nc.SetReadDeadline(time.Now().Add(d))
	_, err := c.nc.Read(make([]byte, 1))
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// HasInput reports whether a byte has arrived that was not read yet. It may be called by
// Limits.GiveUp.
func (c *Conn) HasInput() bool {
	n, err := c.peek()
	return err == nil && n > 0
}

// errNoSocket means that a connection is no socket.
var errNoSocket = errors.New("the connection is no socket")

// peek returns how many bytes can be read without waiting, at most one; 0 means that the
// server has closed the connection, and EAGAIN that nothing has arrived. Deadlines do not
// matter.
func (c *Conn) peek() (n int, err error) {
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return 0, errNoSocket
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var peekErr error
	err = rc.Control(func(fd uintptr) {
		peekErr = c.failure.watch(func() (err error) {
			var b [1]byte
			n, _, err = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
			return err
		})
	})
	return n, cmp.Or(err, peekErr)
}
