package node

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"cyclamenhub.org/timer"
)

// closeInterval is the time between two closings of idle connections while a server stops.
const closeInterval = 20 * time.Millisecond

// stopper stops a server whose open connections may still bring calls. Shutdown of net/http
// closes the connection of such a call without an answer. A stopper leaves the call to the
// handler, which refuses what it does not serve.
type stopper struct {
	server   *http.Server
	listener net.Listener
	open     atomic.Int64 // connections
}

// newStopper returns a stopper of a server that does not serve yet.
func newStopper(s *http.Server, ln net.Listener) *stopper {
	out := &stopper{server: s, listener: ln}
	s.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			out.open.Add(1)
		case http.StateClosed, http.StateHijacked:
			out.open.Add(-1)
		case http.StateActive, http.StateIdle:
		}
	}
	return out
}

// finish closes the listener and waits until the calls on open connections have been
// answered, at most until ctx ends. It reports whether they have.
func (s *stopper) finish(ctx context.Context) bool {
	_ = s.listener.Close()
	for s.open.Load() > 0 {
		s.server.SetKeepAlivesEnabled(false) // This also closes connections that are idle.
		if !timer.Sleep(ctx, closeInterval) {
			return false
		}
	}
	return true
}

// close closes the connections that are left, after a time for the last answers.
func (s *stopper) close() {
	ctx, cancel := context.WithTimeout(context.Background(), refusalTime)
	defer cancel()
	if s.server.Shutdown(ctx) != nil {
		_ = s.server.Close()
	}
}
