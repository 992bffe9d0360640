package expirer

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cyclamenhub.org/timer"
)

// The limit of these tests, and how long they wait for what has to happen.
const (
	limit   = 200 * time.Millisecond
	request = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx"
	bound   = 10 * time.Second
)

// front is a server under limits.
type front struct {
	*Expirer
	t       testing.TB
	address string
	runs    atomic.Int64
}

// newFront starts a server that takes the given time for an answer.
func newFront(t testing.TB, l Limits, delay time.Duration) *front {
	return newFrontWith(t, Options{Default: l}, delay)
}

// newFrontWith starts a server under an Expirer with the given options.
func newFrontWith(t testing.TB, opts Options, delay time.Duration) *front {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &front{Expirer: New(opts), t: t, address: ln.Addr().String()}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.runs.Add(1)
		time.Sleep(delay)
		_, _ = io.Copy(w, r.Body)
	})}
	Prepare(s)
	go func() { _ = s.Serve(f.Listener(ln)) }()
	t.Cleanup(func() { _ = s.Close() })
	return f
}

// dial opens a connection.
func (f *front) dial() *client {
	c, err := net.Dial("tcp", f.address)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = c.Close() })
	return &client{c, bufio.NewReader(c)}
}

// client is a connection of a caller.
type client struct {
	net.Conn
	in *bufio.Reader
}

// ask sends bytes and reports whether a whole answer comes.
func (c *client) ask(text string) bool {
	if _, err := io.WriteString(c, text); err != nil {
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(bound))
	res, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return false
	}
	b, err := io.ReadAll(res.Body)
	return err == nil && string(b) == "x"
}

// isClosed reports whether the server closes the connection within d.
func (c *client) isClosed(d time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(d))
	_, err := io.Copy(io.Discard, c.in) // A header that is late gets an answer.
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// TestChangesReachOpenConnections guards against limits that hold only for new
// connections, and against a shorter one that ends a wait that has begun.
func TestChangesReachOpenConnections(t *testing.T) {
	f := newFront(t, Limits{Header: bound, Idle: bound}, 0)
	c, short := f.dial(), Limits{Header: bound, Idle: limit}
	if !c.ask(request) {
		t.Fatal("no answer")
	}
	f.SetLimits(short)
	if c.isClosed(2*limit) || !c.ask(request) {
		t.Error("a shorter limit ends a wait that began under the longer one")
	}
	f.SetLimits(Limits{}) // the defaults
	if c.isClosed(2 * limit) {
		t.Error("a longer limit does not hold for open connections")
	}
	f.SetLimits(short)
	if !c.ask(request) || !c.isClosed(bound) {
		t.Error("a shorter limit does not hold for the next wait")
	}
}

// TestBytesThatArrivedAreRead guards against a limit that drops bytes which arrived in
// time at a host that was too busy, or stopped, to read them.
func TestBytesThatArrivedAreRead(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	clock := timer.NewManual(time.Now())
	f := &front{Expirer: New(Options{Default: Limits{Header: bound, Idle: bound}, Clock: clock}), t: t, address: ln.Addr().String()}
	_, _ = io.WriteString(f.dial(), request[:2])
	accepted, err := f.Listener(ln).Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := accepted.(*conn)
	for !bytesWait(c.TCPConn) {
		time.Sleep(time.Millisecond)
	}
	for _, want := range []int{1, 1, 0} { // idle, then amid the header, then nothing is left
		clock.Advance(2 * bound)
		c.raise(c.limits)
		if n, err := c.Read(make([]byte, 1)); n != want || (err == nil) != (want > 0) {
			t.Errorf("%d bytes and %v after the limit, want %d", n, err, want)
		}
	}
}

// TestNextRequestAmidAnswer guards against an idle limit that ends a connection of which
// a byte of the next request arrived while the last one was answered.
func TestNextRequestAmidAnswer(t *testing.T) {
	f := newFront(t, Limits{Header: bound, Idle: limit}, limit)
	c := f.dial()
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	for f.runs.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	if !c.ask(request[:1]) {
		t.Fatal("no answer")
	}
	time.Sleep(2 * limit)
	if !c.ask(request[1:]) {
		t.Error("no answer to a request whose first byte was read")
	}
}

// TestNoReadRequestIsDropped guards against closes that cross a request: of many callers
// that use their connections again at nine tenths of the limit, or all around its end, each
// is answered, or its connection was closed as idle, with no byte of the request read.
func TestNoReadRequestIsDropped(t *testing.T) {
	const callers = 100
	for name, step := range map[string]time.Duration{"nine tenths": 0, "edge": limit / (4 * callers)} {
		t.Run(name, func(t *testing.T) {
			f := newFront(t, Limits{Header: bound, Idle: limit}, 0)
			var answered, dropped, early atomic.Int64
			var wg sync.WaitGroup
			for i := range callers {
				idleFrom := time.Now()
				c := f.dial()
				wg.Go(func() {
					for _, pause := range []time.Duration{0, limit*9/10 + time.Duration(i)*step} {
						time.Sleep(pause)
						start := time.Now()
						if !c.ask(request) {
							dropped.Add(1)
							if time.Since(idleFrom) < limit {
								early.Add(1)
							}
							return
						}
						answered.Add(1)
						idleFrom = start
					}
				})
			}
			wg.Wait()
			closed, slow := f.closedIdle.Get(), f.closedSlow.Get()
			if early.Load() > 0 || uint64(dropped.Load()) > closed || slow > 0 || f.runs.Load() != answered.Load() {
				t.Errorf("%d requests ran and %d were answered, %d were not, %d of them within the limit; %d connections were closed as idle, %d by the other limit",
					f.runs.Load(), answered.Load(), dropped.Load(), early.Load(), closed, slow)
			}
		})
	}
}
