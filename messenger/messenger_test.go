package messenger

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"cyclamenhub.org/internal/wire"
	"cyclamenhub.org/refuser"
	"cyclamenhub.org/timer"
)

const testMethod Method = "test.echo"

// pipeNetwork dials in-memory connections to one Messenger and can drop the writes
// on those that are open.
type pipeNetwork struct {
	server *Messenger

	mu    sync.Mutex
	conns []*blackholeConn
}

func (p *pipeNetwork) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	c := &blackholeConn{Conn: near}
	s, err := newSession(far, p.server.opts.Clock, false)
	if err != nil {
		return nil, err
	}
	p.server.trackAccepted(s)
	go p.server.serveSession(s)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, c)
	return c, nil
}

// blackholeAll makes the connections opened so far discard all writes.
func (p *pipeNetwork) blackholeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.isBlackholed.Store(true)
	}
}

// blackholeConn is a connection that discards all writes once isBlackholed is set.
type blackholeConn struct {
	net.Conn
	isBlackholed atomic.Bool
	discarded    atomic.Int64
}

func (c *blackholeConn) Write(b []byte) (int, error) {
	if c.isBlackholed.Load() {
		c.discarded.Add(int64(len(b)))
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// manualTimer is a clock and an After function whose waits the test ends.
type manualTimer struct {
	*timer.Manual
	waits chan chan time.Time
}

func newManualTimer() *manualTimer {
	return &manualTimer{Manual: timer.NewManual(time.Unix(1, 0)), waits: make(chan chan time.Time)}
}

func (mt *manualTimer) after(time.Duration) <-chan time.Time {
	c := make(chan time.Time, 1)
	go func() { mt.waits <- c }()
	return c
}

// fireNext advances the clock by DefaultReadIdleTimeout and ends one wait.
func (mt *manualTimer) fireNext() {
	c := <-mt.waits
	mt.Advance(DefaultReadIdleTimeout)
	c <- mt.Now()
}

// newPair returns a client and the network that connects it to its server.
func newPair(t *testing.T, mt *manualTimer, h Handler) (*Messenger, *pipeNetwork) {
	t.Helper()
	server := New(Options{Host: "server", Clock: mt})
	server.Handle(testMethod, h)
	p := &pipeNetwork{server: server}
	client := New(Options{Host: "client", Dial: p.dial, Clock: mt, After: mt.after})
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return client, p
}

func echo(_ context.Context, c *Call) (proto.Message, error) {
	var f wire.Frame
	if err := c.Decode(&f); err != nil {
		return nil, err
	}
	f.From = string(c.From)
	return &f, nil
}

func TestCallReturnsResponse(t *testing.T) {
	client, _ := newPair(t, newManualTimer(), echo)
	var got wire.Frame
	if err := client.Call(t.Context(), "server", testMethod, &wire.Frame{Method: "m"}, &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"m", "client"}, []string{got.Method, got.From}); diff != "" {
		t.Error(diff)
	}
}

func TestRefusalReachesCaller(t *testing.T) {
	want := refuser.NotRun(refuser.Conflict, "no", "ask again").After(time.Second)
	client, _ := newPair(t, newManualTimer(), func(context.Context, *Call) (proto.Message, error) { return nil, want })
	err := client.Call(t.Context(), "server", testMethod, &wire.Empty{}, &wire.Empty{})
	var got *refuser.Refusal
	if !errors.As(err, &got) {
		t.Fatalf("error is %v, want a refusal", err)
	}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(refuser.Refusal{})); diff != "" {
		t.Error(diff)
	}
}

func TestUnresponsiveSessionIsReplaced(t *testing.T) {
	mt := newManualTimer()
	client, p := newPair(t, mt, echo)
	call := func() error {
		return client.Call(t.Context(), "server", testMethod, &wire.Empty{}, &wire.Frame{})
	}
	if err := call(); err != nil {
		t.Fatal(err)
	}
	p.blackholeAll()
	done := make(chan error)
	go func() { done <- call() }()
	awaitDiscarded(t, p.conns[0])
	var err error
	for waiting := true; waiting; {
		select {
		case c := <-mt.waits:
			mt.Advance(DefaultReadIdleTimeout)
			c <- mt.Now()
		case err = <-done:
			waiting = false
		}
	}
	var unreachable *UnreachableError
	if !errors.As(err, &unreachable) {
		t.Fatalf("call on an unresponsive session: error is %v, want an UnreachableError", err)
	}
	if err := call(); err != nil {
		t.Errorf("call after an unresponsive session: %v", err)
	}
	if diff := cmp.Diff(2, len(p.conns)); diff != "" {
		t.Error("number of sessions dialled", diff)
	}
}

func TestSlowPeerKeepsItsSession(t *testing.T) {
	const idlePeriods = 10
	mt := newManualTimer()
	entered, release := make(chan struct{}), make(chan struct{})
	client, p := newPair(t, mt, func(ctx context.Context, c *Call) (proto.Message, error) {
		close(entered)
		<-release
		return echo(ctx, c)
	})
	done := make(chan error, 1)
	go func() { done <- client.Call(t.Context(), "server", testMethod, &wire.Empty{}, &wire.Frame{}) }()
	<-entered
	drain(t, client)
	for range idlePeriods {
		mt.fireNext() // sends the ping
		awaitReceived(t, client, mt.Now())
		mt.fireNext() // makes the client check for the response
	}
	close(release)
	if err := <-done; err != nil {
		t.Error(err)
	}
	if diff := cmp.Diff(1, len(p.conns)); diff != "" {
		t.Error("number of sessions dialled", diff)
	}
}

// drain returns once the client has read all that the server has sent so far: the
// response to a ping arrives after that.
func drain(t *testing.T, m *Messenger) {
	t.Helper()
	s, err := m.session(t.Context(), "server")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.mux.Ping(); err != nil {
		t.Fatal(err)
	}
}

// awaitLimit bounds the wait for a polled condition.
const awaitLimit = time.Minute

// awaitDiscarded returns once c has discarded bytes, which shows that the call was
// sent on it.
func awaitDiscarded(t *testing.T, c *blackholeConn) {
	t.Helper()
	for limit := time.Now().Add(awaitLimit); c.discarded.Load() == 0; {
		if time.Now().After(limit) {
			t.Fatal("the connection discarded no bytes")
		}
		time.Sleep(time.Millisecond)
	}
}

// awaitReceived returns once the client's session has received a byte at time
// now or later.
func awaitReceived(t *testing.T, m *Messenger, now time.Time) {
	t.Helper()
	s, err := m.session(t.Context(), "server")
	if err != nil {
		t.Fatal(err)
	}
	for limit := time.Now().Add(awaitLimit); !s.conn.receivedSince(now.Add(-1)); {
		if time.Now().After(limit) {
			t.Fatal("no response to the ping arrived")
		}
		time.Sleep(time.Millisecond)
	}
}

func TestCallReturnsWhenContextIsCanceled(t *testing.T) {
	release := make(chan struct{})
	entered := make(chan struct{})
	client, _ := newPair(t, newManualTimer(), func(context.Context, *Call) (proto.Message, error) {
		close(entered)
		<-release
		return &wire.Empty{}, nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-entered
		cancel()
	}()
	err := client.Call(ctx, "server", testMethod, &wire.Empty{}, &wire.Empty{})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("error is %v, want Canceled", err)
	}
	close(release)
}

func TestUnreachableErrorReportsNotSent(t *testing.T) {
	client := New(Options{Dial: func(context.Context, string) (net.Conn, error) { return nil, errors.New("refused") }})
	err := client.Call(t.Context(), "server", testMethod, &wire.Empty{}, &wire.Empty{})
	var unreachable *UnreachableError
	if !errors.As(err, &unreachable) || !unreachable.NotSent {
		t.Errorf("error is %v, want an UnreachableError with NotSent", err)
	}
}

func TestSlowDialDoesNotBlockCallers(t *testing.T) {
	const callers = 5
	dials := make(chan struct{}, callers)
	release := make(chan struct{})
	client := New(Options{Dial: func(context.Context, string) (net.Conn, error) {
		dials <- struct{}{}
		<-release
		return nil, errors.New("no answer")
	}})
	errs := make(chan error, callers)
	for range callers {
		go func() {
			errs <- client.Call(t.Context(), "server", testMethod, &wire.Empty{}, &wire.Empty{})
		}()
	}
	<-dials
	// A call whose context has ended returns without waiting for the dial.
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := client.Call(ctx, "server", testMethod, &wire.Empty{}, &wire.Empty{}); !errors.Is(err, context.Canceled) {
		t.Errorf("error is %v, want Canceled", err)
	}
	close(release)
	for range callers {
		if err := <-errs; err == nil {
			t.Error("call without a session returned no error")
		}
	}
}

// blockingCloseConn is a connection whose Close blocks until release is closed, like
// a Close that waits for a reader of the same connection.
type blockingCloseConn struct {
	net.Conn
	release chan struct{}
}

func (c *blockingCloseConn) Close() error {
	<-c.release
	return c.Conn.Close()
}

// TestCallsEndBeforeTheirConnectionIsClosed checks that closing a session ends its
// calls immediately. Otherwise they poll their streams in a busy loop until the
// underlying connection is closed, and with one processor nothing else runs.
func TestCallsEndBeforeTheirConnectionIsClosed(t *testing.T) {
	mt := newManualTimer()
	entered := make(chan struct{})
	client, p := newPair(t, mt, func(ctx context.Context, _ *Call) (proto.Message, error) {
		close(entered)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	release := make(chan struct{})
	client.opts.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		c, err := p.dial(ctx, address)
		return &blockingCloseConn{Conn: c, release: release}, err
	}
	done := make(chan error, 1)
	go func() { done <- client.Call(t.Context(), "server", testMethod, &wire.Empty{}, &wire.Empty{}) }()
	<-entered
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		client.peers["server"].close()
	}()
	select {
	case err := <-done:
		var u *UnreachableError
		if !errors.As(err, &u) || u.NotSent {
			t.Errorf("error is %v, want an UnreachableError without NotSent", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the call did not end before its connection was closed")
	}
	close(release)
	<-closed
}
