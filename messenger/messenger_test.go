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

// pipeNet dials in-memory connections to one Messenger and can make those that
// are open go silent.
type pipeNet struct {
	server *Messenger

	mu    sync.Mutex
	conns []*cuttable
}

func (p *pipeNet) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	c := &cuttable{Conn: near}
	s, err := newSession(far, p.server.opts.Clock, false)
	if err != nil {
		return nil, err
	}
	p.server.keep(s)
	go p.server.serveSession(s)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, c)
	return c, nil
}

// cutAll makes the connections opened so far go silent for good.
func (p *pipeNet) cutAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.cut.Store(true)
	}
}

// cuttable is a connection that, once cut, swallows what is written to it.
type cuttable struct {
	net.Conn
	cut       atomic.Bool
	swallowed atomic.Int64
}

func (c *cuttable) Write(b []byte) (int, error) {
	if c.cut.Load() {
		c.swallowed.Add(int64(len(b)))
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// alarm is a clock and an After whose waits end when the test says so.
type alarm struct {
	*timer.Manual
	waits chan chan time.Time
}

func newAlarm() *alarm {
	return &alarm{Manual: timer.NewManual(time.Unix(1, 0)), waits: make(chan chan time.Time)}
}

func (a *alarm) after(time.Duration) <-chan time.Time {
	c := make(chan time.Time, 1)
	go func() { a.waits <- c }()
	return c
}

// ring lets the next wait pass.
func (a *alarm) ring() {
	c := <-a.waits
	a.Advance(DefaultSilence)
	c <- a.Now()
}

// pair returns a client and a server connected by pipes.
func pair(t *testing.T, a *alarm, h Handler) (*Messenger, *pipeNet) {
	t.Helper()
	server := New(Options{Host: "server", Clock: a})
	server.Handle(testMethod, h)
	p := &pipeNet{server: server}
	client := New(Options{Host: "client", Dial: p.dial, Clock: a, After: a.after})
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

func TestCallIsAnswered(t *testing.T) {
	client, _ := pair(t, newAlarm(), echo)
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
	client, _ := pair(t, newAlarm(), func(context.Context, *Call) (proto.Message, error) { return nil, want })
	err := client.Call(t.Context(), "server", testMethod, &wire.Empty{}, &wire.Empty{})
	var got *refuser.Refusal
	if !errors.As(err, &got) {
		t.Fatalf("error is %v, want a refusal", err)
	}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(refuser.Refusal{})); diff != "" {
		t.Error(diff)
	}
}

func TestSilentSessionIsLeftForANewOne(t *testing.T) {
	a := newAlarm()
	client, p := pair(t, a, echo)
	call := func() error {
		return client.Call(t.Context(), "server", testMethod, &wire.Empty{}, &wire.Frame{})
	}
	if err := call(); err != nil {
		t.Fatal(err)
	}
	p.cutAll()
	done := make(chan error)
	go func() { done <- call() }()
	awaitSwallowed(t, p.conns[0])
	var err error
	for waiting := true; waiting; {
		select {
		case c := <-a.waits:
			a.Advance(DefaultSilence)
			c <- a.Now()
		case err = <-done:
			waiting = false
		}
	}
	var unreachable *UnreachableError
	if !errors.As(err, &unreachable) {
		t.Fatalf("call on a silent session gives %v, want an UnreachableError", err)
	}
	if err := call(); err != nil {
		t.Errorf("call after a silent session: %v", err)
	}
	if diff := cmp.Diff(2, len(p.conns)); diff != "" {
		t.Error("sessions dialled", diff)
	}
}

func TestSlowPeerKeepsItsSession(t *testing.T) {
	const silences = 10
	a := newAlarm()
	entered, release := make(chan struct{}), make(chan struct{})
	client, p := pair(t, a, func(ctx context.Context, c *Call) (proto.Message, error) {
		close(entered)
		<-release
		return echo(ctx, c)
	})
	done := make(chan error, 1)
	go func() { done <- client.Call(t.Context(), "server", testMethod, &wire.Empty{}, &wire.Frame{}) }()
	<-entered
	drain(t, client)
	for range silences {
		a.ring() // the ping goes out
		awaitHeard(t, client, a.Now())
		a.ring() // its answer is seen
	}
	close(release)
	if err := <-done; err != nil {
		t.Error(err)
	}
	if diff := cmp.Diff(1, len(p.conns)); diff != "" {
		t.Error("sessions dialled", diff)
	}
}

// drain returns once the client has read all that the server sent so far: the
// answer to a ping comes after it.
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

// awaitLimit bounds the wait for an observed condition.
const awaitLimit = time.Minute

// awaitSwallowed returns once a cut connection has swallowed bytes, which shows
// that it went silent.
func awaitSwallowed(t *testing.T, c *cuttable) {
	t.Helper()
	for limit := time.Now().Add(awaitLimit); c.swallowed.Load() == 0; {
		if time.Now().After(limit) {
			t.Fatal("the connection did not go silent")
		}
		time.Sleep(time.Millisecond)
	}
}

// awaitHeard returns once the client's session has read a byte at time now.
func awaitHeard(t *testing.T, m *Messenger, now time.Time) {
	t.Helper()
	s, err := m.session(t.Context(), "server")
	if err != nil {
		t.Fatal(err)
	}
	for limit := time.Now().Add(awaitLimit); !s.conn.heardSince(now.Add(-1)); {
		if time.Now().After(limit) {
			t.Fatal("the ping was not answered")
		}
		time.Sleep(time.Millisecond)
	}
}

func TestCallEndsWithItsContext(t *testing.T) {
	release := make(chan struct{})
	entered := make(chan struct{})
	client, _ := pair(t, newAlarm(), func(context.Context, *Call) (proto.Message, error) {
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

func TestUnreachableSaysWhenNothingWasSent(t *testing.T) {
	client := New(Options{Dial: func(context.Context, string) (net.Conn, error) { return nil, errors.New("refused") }})
	err := client.Call(t.Context(), "server", testMethod, &wire.Empty{}, &wire.Empty{})
	var unreachable *UnreachableError
	if !errors.As(err, &unreachable) || !unreachable.NotSent {
		t.Errorf("error is %v, want an UnreachableError with NotSent", err)
	}
}

func TestCallersDoNotQueueBehindADial(t *testing.T) {
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
	// One who is in a hurry leaves at once.
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := client.Call(ctx, "server", testMethod, &wire.Empty{}, &wire.Empty{}); !errors.Is(err, context.Canceled) {
		t.Errorf("error is %v, want Canceled", err)
	}
	close(release)
	for range callers {
		if err := <-errs; err == nil {
			t.Error("a call without a session has no error")
		}
	}
}

// heldConn is a connection whose Close waits, as one waits for a reader of the
// same connection.
type heldConn struct {
	net.Conn
	release chan struct{}
}

func (c *heldConn) Close() error {
	<-c.release
	return c.Conn.Close()
}

// TestCallsEndBeforeTheirConnectionIsClosed checks that the calls on a session
// that is given up end at once. They must not read on, again and again, until
// the connection below is closed: on one processor nothing else would run.
func TestCallsEndBeforeTheirConnectionIsClosed(t *testing.T) {
	a := newAlarm()
	entered := make(chan struct{})
	client, p := pair(t, a, func(ctx context.Context, _ *Call) (proto.Message, error) {
		close(entered)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	release := make(chan struct{})
	client.opts.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		c, err := p.dial(ctx, address)
		return &heldConn{Conn: c, release: release}, err
	}
	done := make(chan error, 1)
	go func() { done <- client.Call(t.Context(), "server", testMethod, &wire.Empty{}, &wire.Empty{}) }()
	<-entered
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		client.sessions["server"].close()
	}()
	select {
	case err := <-done:
		var u *UnreachableError
		if !errors.As(err, &u) || u.NotSent {
			t.Errorf("the call ended with %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the call goes on while its connection is being closed")
	}
	close(release)
	<-closed
}
