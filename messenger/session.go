package messenger

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"cyclamenhub.org/timer"
)

// streams are those of one session that calls are using. When yamux begins to end
// a session it wakes their readers and writers, which then look again and again,
// without a pause, until the connection below is closed. Closing it waits for its
// reader, which never gets to run where these keep the one processor busy: so
// their calls are ended first.
type streams struct {
	mu    sync.Mutex
	open  map[*yamux.Stream]struct{}
	ended bool
}

// add notes a stream that a call begins to use.
func (s *streams) add(st *yamux.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = make(map[*yamux.Stream]struct{})
	}
	s.open[st] = struct{}{}
	if s.ended {
		expire(st)
	}
}

// remove forgets a stream.
func (s *streams) remove(st *yamux.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, st)
}

// end ends the calls on all streams, and on those that are still to come.
func (s *streams) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for st := range s.open {
		expire(st)
	}
}

// expire ends reads and writes of st.
func expire(st *yamux.Stream) {
	// A stream takes any time.
	_ = st.SetDeadline(time.Unix(1, 0))
}

// watchedConn is a connection that remembers when bytes last arrived.
type watchedConn struct {
	net.Conn
	clock    timer.Clock
	lastRead atomic.Int64 // Unix nanoseconds
	streams  streams
}

// newWatchedConn wraps c; the wrap counts as an arrival.
func newWatchedConn(c net.Conn, clock timer.Clock) *watchedConn {
	w := &watchedConn{Conn: c, clock: clock}
	w.lastRead.Store(clock.Now().UnixNano())
	return w
}

// Read reads from the connection and notes the arrival.
func (w *watchedConn) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	if n > 0 {
		w.lastRead.Store(w.clock.Now().UnixNano())
		bytesRead.Add(n)
	}
	return n, err
}

// Write writes to the connection and counts the bytes.
func (w *watchedConn) Write(b []byte) (int, error) {
	n, err := w.Conn.Write(b)
	bytesWritten.Add(n)
	return n, err
}

// Close ends the calls and closes the connection. yamux calls it as soon as it
// begins to end the session.
func (w *watchedConn) Close() error {
	w.streams.end()
	return w.Conn.Close()
}

// heardSince reports whether a byte arrived after t.
func (w *watchedConn) heardSince(t time.Time) bool { return w.lastRead.Load() > t.UnixNano() }

// session is one yamux session and the connection below it.
type session struct {
	mux  *yamux.Session
	conn *watchedConn
}

// newSession starts yamux on c.
func newSession(c net.Conn, clock timer.Clock, client bool) (*session, error) {
	w := newWatchedConn(c, clock)
	start := yamux.Server
	if client {
		start = yamux.Client
	}
	mux, err := start(w, yamuxConfig())
	if err != nil {
		return nil, err
	}
	return &session{mux: mux, conn: w}, nil
}

// yamuxConfig leaves liveness to this package.
func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.LogOutput = io.Discard
	// StreamOpenTimeout closes the whole session; probes decide that here.
	cfg.StreamOpenTimeout = 0
	cfg.StreamCloseTimeout = streamCloseTimeout
	return cfg
}

// streamCloseTimeout bounds how long a half-closed stream is kept.
const streamCloseTimeout = 30 * time.Second

// openStream opens a stream for a call to the peer.
func (s *session) openStream() (*yamux.Stream, error) {
	st, err := s.mux.OpenStream()
	if err != nil {
		return nil, err
	}
	s.conn.streams.add(st)
	return st, nil
}

// acceptStream waits for the stream of a call of the peer.
func (s *session) acceptStream() (*yamux.Stream, error) {
	st, err := s.mux.AcceptStream()
	if err != nil {
		return nil, err
	}
	s.conn.streams.add(st)
	return st, nil
}

// closeStream ends a stream.
func (s *session) closeStream(st *yamux.Stream) {
	s.conn.streams.remove(st)
	// It fails where the session has ended, and the stream with it.
	_ = st.Close()
}

// close ends the session and its connection.
func (s *session) close() { _ = s.mux.Close() }

// closed reports whether the session has ended.
func (s *session) closed() bool { return s.mux.IsClosed() }

// watch closes the session if it stays silent while a call waits. It returns
// when ctx ends, which the call does once answered.
func (s *session) watch(ctx context.Context, opts *Options) {
	for {
		started := s.conn.clock.Now()
		if !sleep(ctx, opts) {
			return
		}
		if s.conn.heardSince(started) {
			continue
		}
		go func() { _, _ = s.mux.Ping() }()
		if !sleep(ctx, opts) {
			return
		}
		if !s.conn.heardSince(started) {
			sessionsSilent.Inc()
			s.close()
			return
		}
	}
}

// sleep waits for Silence and reports whether ctx was still live then.
func sleep(ctx context.Context, opts *Options) bool {
	select {
	case <-ctx.Done():
		return false
	case <-opts.After(opts.Silence):
		return ctx.Err() == nil
	}
}
