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

// streams tracks the streams of one session that calls are using, so that their
// reads and writes can be ended before the connection is closed. When yamux starts
// to close a session, it wakes the readers and writers of all streams, and these
// then loop without pausing until the underlying connection is closed. Closing the
// connection waits for its reader, which never runs if the loops occupy the only
// processor.
type streams struct {
	mu      sync.Mutex
	open    map[*yamux.Stream]struct{}
	expired bool
}

// add tracks a stream that a call starts to use.
func (s *streams) add(st *yamux.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = make(map[*yamux.Stream]struct{})
	}
	s.open[st] = struct{}{}
	if s.expired {
		expire(st)
	}
}

// remove stops tracking a stream.
func (s *streams) remove(st *yamux.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, st)
}

// expireAll ends reads and writes on all tracked streams and on those added later.
func (s *streams) expireAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expired = true
	for st := range s.open {
		expire(st)
	}
}

// expire makes all reads and writes of st fail with a time-out.
func expire(st *yamux.Stream) {
	// SetDeadline of a stream accepts any time.
	_ = st.SetDeadline(time.Unix(1, 0))
}

// monitoredConn is a connection that records when it last received bytes.
type monitoredConn struct {
	net.Conn
	clock    timer.Clock
	lastRead atomic.Int64 // Unix nanoseconds
	streams  streams
}

// newMonitoredConn wraps c. The current time counts as the first receipt of bytes.
func newMonitoredConn(c net.Conn, clock timer.Clock) *monitoredConn {
	mc := &monitoredConn{Conn: c, clock: clock}
	mc.lastRead.Store(clock.Now().UnixNano())
	return mc
}

// Read reads from the connection and records the time of receipt.
func (c *monitoredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastRead.Store(c.clock.Now().UnixNano())
		bytesRead.Add(n)
	}
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *monitoredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	bytesWritten.Add(n)
	return n, err
}

// Close ends the calls on the connection's streams and closes the connection. yamux
// calls it as soon as it starts to close the session.
func (c *monitoredConn) Close() error {
	c.streams.expireAll()
	return c.Conn.Close()
}

// receivedSince reports whether a byte was received after t.
func (c *monitoredConn) receivedSince(t time.Time) bool { return c.lastRead.Load() > t.UnixNano() }

// session is a yamux session and its underlying connection.
type session struct {
	mux  *yamux.Session
	conn *monitoredConn
	// began is when the session began, and isUsed is set once a call has come on it.
	began  time.Time
	isUsed atomic.Bool
}

// newSession starts a yamux session on c, as the client or the server.
func newSession(c net.Conn, clock timer.Clock, client bool) (*session, error) {
	mc := newMonitoredConn(c, clock)
	start := yamux.Server
	if client {
		start = yamux.Client
	}
	mux, err := start(mc, yamuxConfig())
	if err != nil {
		return nil, err
	}
	return &session{mux: mux, conn: mc, began: clock.Now()}, nil
}

// yamuxConfig returns a configuration without keep-alives, since monitor detects
// peers that do not respond.
func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.LogOutput = io.Discard
	// A StreamOpenTimeout would close the session; only monitor may do that.
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

// acceptStream waits for the stream of a call from the peer.
func (s *session) acceptStream() (*yamux.Stream, error) {
	st, err := s.mux.AcceptStream()
	if err != nil {
		return nil, err
	}
	s.conn.streams.add(st)
	return st, nil
}

// closeStream closes a stream and stops tracking it.
func (s *session) closeStream(st *yamux.Stream) {
	s.conn.streams.remove(st)
	// Close fails only if the session, and with it the stream, has ended.
	_ = st.Close()
}

// close closes the session and its connection.
func (s *session) close() { _ = s.mux.Close() }

// closed reports whether the session has ended.
func (s *session) closed() bool { return s.mux.IsClosed() }

// monitor closes the session if the peer does not respond to a ping while a call
// waits. It returns when ctx ends, which happens when the call returns.
func (s *session) monitor(ctx context.Context, opts *Options) {
	for {
		started := s.conn.clock.Now()
		if !waitIdle(ctx, opts) {
			return
		}
		if s.conn.receivedSince(started) {
			continue
		}
		go func() { _, _ = s.mux.Ping() }()
		if !waitIdle(ctx, opts) {
			return
		}
		if !s.conn.receivedSince(started) {
			sessionsUnresponsive.Inc()
			s.close()
			return
		}
	}
}

// waitIdle waits for Options.ReadIdleTimeout. It reports false if ctx ends first.
func waitIdle(ctx context.Context, opts *Options) bool {
	select {
	case <-ctx.Done():
		return false
	case <-opts.After(opts.ReadIdleTimeout):
		return ctx.Err() == nil
	}
}
