package messenger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
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

// DefaultSilence is the Silence of Options that name none.
const DefaultSilence = time.Second

// DefaultDialTimeout is the DialTimeout of Options that name none.
const DefaultDialTimeout = time.Second

// maxCallsPerSession bounds the calls that one peer may have running here.
const maxCallsPerSession = 1024

// Method names a kind of call.
type Method string

// Handler answers calls of one method. Its error reaches the caller as a
// refusal.
type Handler func(ctx context.Context, c *Call) (proto.Message, error)

// Call is one call that has arrived.
type Call struct {
	// From is the host that sent it.
	From identifier.Host
	body []byte
}

// Decode decodes the call's message into m.
func (c *Call) Decode(m proto.Message) error {
	if err := proto.Unmarshal(c.body, m); err != nil {
		return refuser.NotRun(refuser.Malformed, "the message does not decode: "+err.Error(), "run the same release on all hosts")
	}
	return nil
}

// Options configure a Messenger.
type Options struct {
	// Host is this process's host.
	Host identifier.Host
	// Silence is how long a call waits without a byte before it probes.
	Silence time.Duration
	// DialTimeout bounds a dial.
	DialTimeout time.Duration
	// Clock defaults to timer.System.
	Clock timer.Clock
	// After defaults to time.After.
	After func(time.Duration) <-chan time.Time
	// Dial defaults to TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Messenger makes and answers calls.
type Messenger struct {
	opts     Options
	handlers map[Method]Handler
	ctx      context.Context // ends with Close; dials run under it
	stop     context.CancelFunc
	large    *gate // of the answers

	mu       sync.Mutex
	sessions map[string]*slot // by address
	accepted map[*session]struct{}
	closed   bool
}

// slot is the place of one peer's session. One dial at a time is under way;
// who comes meanwhile waits for its outcome.
type slot struct {
	mu      sync.Mutex
	session *session
	dialing *dialing // nil while no dial is under way
}

// dialing is one dial that callers wait for.
type dialing struct {
	done    chan struct{} // closed when session and err are set
	session *session
	err     error
}

// The messenger's counters.
var (
	sessionsDialled = metrics.NewCounter("cyclamen_messenger_sessions_dialled_total")
	sessionsSilent  = metrics.NewCounter("cyclamen_messenger_sessions_closed_silent_total")
	callsSent       = metrics.NewCounter("cyclamen_messenger_calls_sent_total")
	callsFailed     = metrics.NewCounter("cyclamen_messenger_calls_unreachable_total")
	bytesRead       = metrics.NewCounter("cyclamen_messenger_bytes_read_total")
	bytesWritten    = metrics.NewCounter("cyclamen_messenger_bytes_written_total")
	callsAnswered   = metrics.NewCounter("cyclamen_messenger_calls_answered_total")
)

// New returns a Messenger that has no handlers yet.
func New(opts Options) *Messenger {
	if opts.Silence <= 0 {
		opts.Silence = DefaultSilence
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
	ctx, stop := context.WithCancel(context.Background())
	return &Messenger{
		opts:     opts,
		ctx:      ctx,
		stop:     stop,
		large:    newGate(answerBudget),
		handlers: make(map[Method]Handler),
		sessions: make(map[string]*slot),
		accepted: make(map[*session]struct{}),
	}
}

// Handle sets the handler of a method. It must be called before Serve.
func (m *Messenger) Handle(method Method, h Handler) { m.handlers[method] = h }

// Call sends req to the process at address and decodes its answer into resp.
// The error is a *refuser.Refusal from the peer, an *UnreachableError, or that
// of ctx within one.
func (m *Messenger) Call(ctx context.Context, address string, method Method, req, resp proto.Message) error {
	callsSent.Inc()
	s, err := m.session(ctx, address)
	if err != nil {
		callsFailed.Inc()
		return &UnreachableError{Address: address, NotSent: true, Err: err}
	}
	f, err := m.exchange(ctx, s, method, req)
	if err != nil {
		callsFailed.Inc()
		return &UnreachableError{Address: address, Err: err}
	}
	return decodeAnswer(f, resp)
}

// exchange runs one call on s.
func (m *Messenger) exchange(ctx context.Context, s *session, method Method, req proto.Message) (*wire.Frame, error) {
	body, err := proto.Marshal(req)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", method, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.watch(ctx, &m.opts)

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

// errSessionEnded is the error of calls whose session ended.
var errSessionEnded = errors.New("the session ended before the answer came")

// causeOf prefers the context's error and the end of the session to the I/O error
// that they brought about.
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

// decodeAnswer decodes an answer frame into resp.
func decodeAnswer(f *wire.Frame, resp proto.Message) error {
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

// errClosed is the error of calls on a closed messenger.
var errClosed = errors.New("the messenger is closed")

// session returns the live session to address, dialling one where needed.
func (m *Messenger) session(ctx context.Context, address string) (*session, error) {
	sl, err := m.slotOf(address)
	if err != nil {
		return nil, err
	}
	sl.mu.Lock()
	if sl.session != nil && !sl.session.closed() {
		defer sl.mu.Unlock()
		return sl.session, nil
	}
	if sl.dialing == nil {
		sl.dialing = &dialing{done: make(chan struct{})}
		go m.dialFor(sl, address)
	}
	d := sl.dialing
	sl.mu.Unlock()

	select {
	case <-d.done:
		return d.session, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// slotOf returns the slot of an address.
func (m *Messenger) slotOf(address string) (*slot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil, errClosed
	}
	sl := m.sessions[address]
	if sl == nil {
		sl = &slot{}
		m.sessions[address] = sl
	}
	return sl, nil
}

// dialFor dials for all who wait at the slot.
func (m *Messenger) dialFor(sl *slot, address string) {
	s, err := m.dial(m.ctx, address)
	sl.mu.Lock()
	defer sl.mu.Unlock()
	d := sl.dialing
	d.session, d.err = s, err
	sl.session, sl.dialing = s, nil
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

// dial opens a new session to address.
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

// Serve answers calls that arrive on ln until ln is closed.
func (m *Messenger) Serve(ln net.Listener) error {
	for {
		c, err := ln.Accept()
		if err != nil {
			return err
		}
		s, err := newSession(c, m.opts.Clock, false)
		if err != nil {
			_ = c.Close()
			continue
		}
		if !m.keep(s) {
			s.close()
			return errClosed
		}
		go m.serveSession(s)
	}
}

// keep remembers an accepted session and reports whether m is still open.
func (m *Messenger) keep(s *session) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.accepted[s] = struct{}{}
	return !m.closed
}

// serveSession answers the calls of one session.
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
		running <- struct{}{}
		go func() {
			defer func() { <-running }()
			defer s.closeStream(st)
			m.serveStream(ctx, st)
		}()
	}
}

// serveStream answers one call.
func (m *Messenger) serveStream(ctx context.Context, st *yamux.Stream) {
	f, err := readFrame(st)
	if err != nil {
		return
	}
	callsAnswered.Inc()
	resp, err := m.handle(ctx, f)
	if n := proto.Size(resp); n >= largeAnswer {
		m.large.enter(n)
		defer m.large.leave(n)
	}
	_ = writeFrame(st, m.answer(resp, err))
}

// handle runs the handler of f.
func (m *Messenger) handle(ctx context.Context, f *wire.Frame) (proto.Message, error) {
	h, ok := m.handlers[Method(f.Method)]
	if !ok {
		return nil, refuser.NotRun(refuser.NotFound, fmt.Sprintf("no method %q here", f.Method), "run the same release on all hosts")
	}
	return h(ctx, &Call{From: identifier.Host(f.From), body: f.Body})
}

// answer returns the answer frame to what a handler returned.
func (m *Messenger) answer(resp proto.Message, err error) *wire.Frame {
	if err != nil {
		return m.refusal(refuser.From(err))
	}
	body, err := proto.Marshal(resp)
	if err != nil {
		return m.refusal(refuser.From(err))
	}
	return &wire.Frame{From: string(m.opts.Host), Body: body}
}

// refusal returns an answer frame that carries r.
func (m *Messenger) refusal(r *refuser.Refusal) *wire.Frame {
	b, err := json.Marshal(r)
	if err != nil {
		b = []byte(`{"kind":"internal"}`)
	}
	return &wire.Frame{From: string(m.opts.Host), Refusal: b}
}

// Close ends all sessions.
func (m *Messenger) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	m.stop()
	for _, sl := range m.sessions {
		go sl.close()
	}
	for s := range m.accepted {
		s.close()
	}
}

// close ends the slot's session.
func (sl *slot) close() {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	if sl.session != nil {
		sl.session.close()
	}
}
