package connector

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
)

// failure is the error with which a connection broke. The kernel reports a reset once, to
// whichever use of the connection comes first; a read that comes later finds an end, as if
// the other side had closed the connection. It is safe for concurrent use.
type failure struct {
	mu  sync.Mutex
	err error
}

// record records the error of a use of the connection, if the connection has broken.
func (f *failure) record(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordLocked(err)
}

// watch calls use and records its error. A call of get meanwhile waits for it.
func (f *failure) watch(use func() error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	err := use()
	f.recordLocked(err)
	return err
}

// recordLocked is record for callers that hold mu.
func (f *failure) recordLocked(err error) {
	if f.err == nil && isBreak(err) {
		f.err = err
	}
}

// get returns the error with which the connection broke, or nil.
func (f *failure) get() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

// isBreak reports whether an error of a use of a connection means that the connection has
// broken: the use was not only stopped by this side, or had nothing to do yet.
func isBreak(err error) bool {
	for _, harmless := range []error{net.ErrClosed, os.ErrDeadlineExceeded, syscall.EAGAIN, syscall.EINTR} {
		if errors.Is(err, harmless) {
			return false
		}
	}
	return err != nil
}
