package messenger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/wire"
	"cyclamenhub.org/refuser"
	"cyclamenhub.org/timer"
)

// DefaultReadIdleTimeout is the default of Options.ReadIdleTimeout.
const DefaultReadIdleTimeout = time.Second

// DefaultDialTimeout is the default of Options.DialTimeout.
const DefaultDialTimeout = time.Second

// maxCallsPerSession bounds the concurrent calls served per session.
const maxCallsPerSession = 1024

// Method is the name of a remote procedure.
type Method string

// Handler serves the calls of one method. The caller receives its error as a
// refusal.
type Handler func(ctx context.Context, c *Call) (proto.Message, error)

// Call is an incoming call.
type Call struct {
	// From is the calling host.
	From identifier.Host
	body []byte
}

// Decode decodes the request into m. It returns a Malformed refusal on failure.
func (c *Call) Decode(m proto.Message) error {
	if err := proto.Unmarshal(c.body, m); err != nil {
		return refuser.NotRun(refuser.Malformed, "the message does not decode: "+err.Error(), "run the same release on all hosts")
	}
	return nil
}

// Options configures a Messenger.
type Options struct {
	// Host is this process's host.
	Host identifier.Host
	// ReadIdleTimeout is how long a call waits without a byte from the peer before
	// it sends a ping, and then until it closes the session. It defaults to
	// DefaultReadIdleTimeout.
	ReadIdleTimeout time.Duration
	// DialTimeout bounds a dial. It defaults to DefaultDialTimeout.
	DialTimeout time.Duration
	// Clock gives the times at which bytes arrive. It defaults to timer.System.
	Clock timer.Clock
	// After starts the timers of ReadIdleTimeout. It defaults to time.After.
	After func(time.Duration) <-chan time.Time
	// MaxAccepted is how many sessions of peers are served at a time; 0 means no bound.
	MaxAccepted int
	// Dial opens a connection to a peer. It defaults to a TCP dial.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Messenger sends and serves calls.
type Messenger struct {
	opts           Options
	handlers       map[Method]Handler
	ctx            context.Context // canceled by Close; the context of dials
	cancel         context.CancelFunc
	largeResponses *byteSemaphore // limits large responses in flight

	mu       sync.Mutex
	peers    map[string]*peer // by address
	accepted map[*session]struct{}
	closed   bool
}

// peer holds the session to one peer. At most one dial is in flight per peer;
// calls that arrive meanwhile wait for its result.
type peer struct {
	mu      sync.Mutex
	session *session
	pending *pendingDial // nil if no dial is in flight
}

// pendingDial is a dial in flight that callers wait for.
type pendingDial struct {
	done    chan struct{} // closed when session and err are set
	session *session
	err     error
}

// Metrics of this package.
var (
	sessionsDialled      = metrics.NewCounter("cyclamen_messenger_sessions_dialled_total")
	sessionsUnresponsive = metrics.NewCounter("cyclamen_messenger_sessions_closed_silent_total")
	callsSent            = metrics.NewCounter("cyclamen_messenger_calls_sent_total")
	callsUnreachable     = metrics.NewCounter("cyclamen_messenger_calls_unreachable_total")
	bytesRead            = metrics.NewCounter("cyclamen_messenger_bytes_read_total")
	bytesWritten         = metrics.NewCounter("cyclamen_messenger_bytes_written_total")
	handlerPanics        = metrics.NewCounter("cyclamen_messenger_handler_panics_total")
	sessionsRefused      = metrics.NewCounter("cyclamen_messenger_sessions_refused_total")
	acceptFailures       = metrics.NewCounter("cyclamen_messenger_accept_failures_total")
	callsServed          = metrics.NewCounter("cyclamen_messenger_calls_answered_total")
)

// New returns a Messenger without handlers.
func New(opts Options) *Messenger {
	if opts.ReadIdleTimeout <= 0 {
		opts.ReadIdleTimeout = DefaultReadIdleTimeout
	}
	if opts.DialTimeout <= 0 {
		opts.DialTimeout = DefaultDialTimeout
	}
	if opts.Clock == nil {
		opts.Clock = timer.System{}
	}
	if opts.After == nil {
		opts.After = time.After
	}
	if opts.Dial == nil {
		opts.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", address)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Messenger{
		opts:           opts,
		ctx:            ctx,
		cancel:         cancel,
		largeResponses: newByteSemaphore(largeResponseBudget),
		handlers:       make(map[Method]Handler),
		peers:          make(map[string]*peer),
		accepted:       make(map[*session]struct{}),
	}
}

// Handle registers the handler of a method. It must be called before Serve.
func (m *Messenger) Handle(method Method, h Handler) { m.handlers[method] = h }

// Call sends req to the process at address and decodes the response into resp.
// It returns a *refuser.Refusal if the peer refused the call, and an
// *UnreachableError if there was no response; the latter wraps the error of ctx
// if ctx ended.
func (m *Messenger) Call(ctx context.Context, address string, method Method, req, resp proto.Message) error {
	callsSent.Inc()
	s, err := m.session(ctx, address)
	if err != nil {
		callsUnreachable.Inc()
		return &UnreachableError{Address: address, NotSent: true, Err: err}
	}
	f, err := m.exchange(ctx, s, method, req)
	if err != nil {
		callsUnreachable.Inc()
		return &UnreachableError{Address: address, Err: err}
	}
	return decodeResponse(f, resp)
}

// exchange sends the request of one call on s and returns the response frame.
func (m *Messenger) exchange(ctx context.Context, s *session, method Method, req proto.Message) (*wire.Frame, error) {
	body, err := proto.Marshal(req)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", method, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.monitor(ctx, &m.opts)

	st, err := s.openStream()
	if err != nil {
		return nil, err
	}
	defer s.closeStream(st)
	stop := context.AfterFunc(ctx, func() { expire(st) })
	defer stop()

	if err := writeFrame(st, &wire.Frame{Method: string(method), From: string(m.opts.Host), Body: body}); err != nil {
		return nil, causeOf(ctx, s, err)
	}
	f, err := readFrame(st)
	if err != nil {
		return nil, causeOf(ctx, s, err)
	}
	return f, nil
}

// errSessionEnded is returned by calls whose session ended before the response.
var errSessionEnded = errors.New("the session ended before the answer came")

// causeOf returns the cause of the I/O error err: the error of ctx or
// errSessionEnded if one of these led to it, and err itself otherwise.
func causeOf(ctx context.Context, s *session, err error) error {
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case s.closed():
		return errSessionEnded
	default:
		return err
	}
}

// decodeResponse decodes a response frame into resp. It returns a *refuser.Refusal
// if the frame carries one.
func decodeResponse(f *wire.Frame, resp proto.Message) error {
	if len(f.Refusal) > 0 {
		var r refuser.Refusal
		if err := json.Unmarshal(f.Refusal, &r); err != nil {
			return err
		}
		return &r
	}
	if err := proto.Unmarshal(f.Body, resp); err != nil {
		return fmt.Errorf("decode answer: %w: run the same release on all hosts", err)
	}
	return nil
}

// errClosed is returned by calls on a closed Messenger.
var errClosed = errors.New("the messenger is closed")

// session returns the open session to address, and dials one if there is none.
func (m *Messenger) session(ctx context.Context, address string) (*session, error) {
	p, err := m.peerAt(address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	if p.session != nil && !p.session.closed() {
		defer p.mu.Unlock()
		return p.session, nil
	}
	if p.pending == nil {
		p.pending = &pendingDial{done: make(chan struct{})}
		go m.dialPeer(p, address)
	}
	d := p.pending
	p.mu.Unlock()

	select {
	case <-d.done:
		return d.session, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// peerAt returns the peer at address, and adds it if it is unknown. It returns
// errClosed after Close.
func (m *Messenger) peerAt(address string) (*peer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil, errClosed
	}
	p := m.peers[address]
	if p == nil {
		p = &peer{}
		m.peers[address] = p
	}
	return p, nil
}

// dialPeer dials the peer on behalf of all calls that wait for its session.
func (m *Messenger) dialPeer(p *peer, address string) {
	s, err := m.dial(m.ctx, address)
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.pending
	d.session, d.err = s, err
	p.session, p.pending = s, nil
	close(d.done)
	if err == nil && m.isClosed() {
		s.close()
	}
}

// isClosed reports whether Close was called.
func (m *Messenger) isClosed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.closed
}

// dial opens a new session to address within DialTimeout.
func (m *Messenger) dial(ctx context.Context, address string) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, m.opts.DialTimeout)
	defer cancel()
	c, err := m.opts.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	sessionsDialled.Inc()
	return newSession(c, m.opts.Clock, true)
}

// acceptPause is how long Serve waits after a connection could not be accepted.
const acceptPause = 50 * time.Millisecond

// Serve accepts connections on ln and serves their calls until ln or the Messenger is
// closed. It returns the error of Accept or errClosed. While Accept fails for another
// reason, such as too many open files, Serve tries again: a host that accepted nothing
// any more would look healthy to itself.
func (m *Messenger) Serve(ln net.Listener) error {
	for {
		c, err := ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return err
		case m.isClosed():
			if err == nil {
				_ = c.Close()
			}
			return errClosed
		case err != nil:
			acceptFailures.Inc()
			timer.Sleep(m.ctx, acceptPause)
			continue
		}
		s, err := newSession(c, m.opts.Clock, false)
		if err != nil {
			_ = c.Close()
			continue
		}
		switch m.trackAccepted(s) {
		case trackClosed:
			s.close()
			return errClosed
		case trackFull:
			s.close()
			continue
		}
		go m.serveSession(s)
	}
}

// serveSession serves the calls of one session until the session ends.
func (m *Messenger) serveSession(s *session) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer func() {
		s.close()
		m.mu.Lock()
		delete(m.accepted, s)
		m.mu.Unlock()
	}()
	running := make(chan struct{}, maxCallsPerSession)
	for {
		st, err := s.acceptStream()
		if err != nil {
			return
		}
		s.isUsed.Store(true)
		running <- struct{}{}
		go func() {
			defer func() { <-running }()
			defer s.closeStream(st)
			m.serveStream(ctx, st)
		}()
	}
}

// serveStream serves one call.
func (m *Messenger) serveStream(ctx context.Context, st *yamux.Stream) {
	f, err := readFrame(st)
	if err != nil {
		return
	}
	callsServed.Inc()
	resp, err := m.handle(ctx, f)
	if n := proto.Size(resp); n >= largeResponseBytes {
		m.largeResponses.acquire(n)
		defer m.largeResponses.release(n)
	}
	_ = writeFrame(st, m.responseFrame(resp, err))
}

// handle runs the handler for the request in f. It returns a NotFound refusal if
// there is none.
func (m *Messenger) handle(ctx context.Context, f *wire.Frame) (proto.Message, error) {
	h, ok := m.handlers[Method(f.Method)]
	if !ok {
		return nil, refuser.NotRun(refuser.NotFound, fmt.Sprintf("no method %q here", f.Method), "run the same release on all hosts")
	}
	return runHandler(ctx, h, &Call{From: identifier.Host(f.From), body: f.Body})
}

// runHandler runs a handler. A handler that panics refuses its call: one message must
// not end a process that serves many others.
func runHandler(ctx context.Context, h Handler, c *Call) (resp proto.Message, err error) {
	defer func() {
		if p := recover(); p != nil {
			handlerPanics.Inc()
			slog.Error("a call from a host made its handler panic", "host", c.From, "panic", p, "stack", string(debug.Stack()))
			resp, err = nil, refuser.MayHaveRun(refuser.Internal, "the handler of the call failed", "see the log of the called host")
		}
	}()
	return h(ctx, c)
}

// responseFrame returns the frame that carries the result of a handler.
func (m *Messenger) responseFrame(resp proto.Message, err error) *wire.Frame {
	if err != nil {
		return m.refusalFrame(refuser.From(err))
	}
	body, err := proto.Marshal(resp)
	if err != nil {
		return m.refusalFrame(refuser.From(err))
	}
	return &wire.Frame{From: string(m.opts.Host), Body: body}
}

// refusalFrame returns a response frame that carries r.
func (m *Messenger) refusalFrame(r *refuser.Refusal) *wire.Frame {
	b, err := json.Marshal(r)
	if err != nil {
		b = []byte(`{"kind":"internal"}`)
	}
	return &wire.Frame{From: string(m.opts.Host), Refusal: b}
}

// Close closes all sessions and makes further calls fail.
func (m *Messenger) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	m.cancel()
	for _, p := range m.peers {
		go p.close()
	}
	for s := range m.accepted {
		s.close()
	}
}

// close closes the peer's session, if there is one.
func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session != nil {
		p.session.close()
	}
}
