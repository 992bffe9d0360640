package connector_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"

	"cyclamenhub.org/connector"
)

// startScriptedServer starts a server on the loopback interface that runs
// script on every connection, and returns its address.
func startScriptedServer(t *testing.T, script func(c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				script(c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// readRequest reads one request and reports whether it was complete.
func readRequest(r *bufio.Reader) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}

func newRequest(address string) *http.Request {
	return &http.Request{
		Method: http.MethodPost, URL: &url.URL{Opaque: "/x"}, Host: address, Header: http.Header{},
		Body: io.NopCloser(strings.NewReader("hello")), ContentLength: 5,
	}
}

// exchange performs one exchange on a connection from the pool and reads the
// body.
func exchange(t *testing.T, p *connector.Pool, address string) (*connector.Response, string, error) {
	t.Helper()
	c, err := p.Open(context.Background(), address, connector.Pooled)
	if err != nil {
		return nil, "", err
	}
	res, err := c.Exchange(context.Background(), newRequest(address), connector.Limits{
		Deadline: time.Now().Add(time.Minute), FirstByte: 30 * time.Second, BetweenBytes: 30 * time.Second,
	})
	if err != nil {
		c.Close()
		return nil, "", err
	}
	b, err := io.ReadAll(res.Body)
	p.Release(c)
	return res, string(b), err
}

func TestInterimResponsesAreSkipped(t *testing.T) {
	address := startScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		fmt.Fprint(c, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	res, body, err := exchange(t, connector.NewPool(connector.Options{}), address)
	if err != nil || res.Status != http.StatusOK || body != "ok" || !res.Delimited {
		t.Errorf("response %+v, body %q, error %v", res, body, err)
	}
}

func TestHeaderIsBounded(t *testing.T) {
	address := startScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\n")
		for {
			if _, err := fmt.Fprintf(c, "X-Long: %s\r\n", strings.Repeat("x", 1000)); err != nil {
				return
			}
		}
	})
	_, _, err := exchange(t, connector.NewPool(connector.Options{}), address)
	if !errors.Is(err, connector.ErrHeaderTooLarge) {
		t.Errorf("got %v", err)
	}
}

func TestUndelimitedBodyIsReported(t *testing.T) {
	address := startScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(r)
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\npart")
	})
	res, body, err := exchange(t, connector.NewPool(connector.Options{}), address)
	if err != nil || body != "part" || res.Delimited {
		t.Errorf("response %+v, body %q, error %v", res, body, err)
	}
}

// TestClosedConnectionIsNotReused checks that the pool detects a connection
// that the server closed while it was idle, before anything is sent on it.
func TestClosedConnectionIsNotReused(t *testing.T) {
	closed := make(chan struct{}, 2)
	address := startScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		if !readRequest(r) {
			return // awaitClosed opens connections without a request.
		}
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		_ = c.(*net.TCPConn).CloseWrite()
		awaitEndReceived(t, c.(*net.TCPConn))
		_ = c.Close()
		closed <- struct{}{}
	})
	set := metrics.NewSet()
	p := connector.NewPool(connector.Options{Metrics: set})
	for range 2 {
		if _, body, err := exchange(t, p, address); err != nil || body != "ok" {
			t.Fatalf("body %q, error %v", body, err)
		}
		<-closed
		awaitClosed(t, p, address, set)
	}
	if n := set.GetOrCreateCounter("cyclamen_connections_reused_total").Get(); n != 0 {
		t.Errorf("a closed connection was reused %d times", n)
	}
}

// awaitEndReceived waits until the kernel of the other side has acknowledged the
// end of the data. Before that, no pool can know that the connection is closed.
func awaitEndReceived(t *testing.T, c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	const established, finWait1 = 1, 4 // enum of the kernel, include/net/tcp_states.h
	for range 10_000 {
		var state uint8
		var infoErr error
		err := raw.Control(func(fd uintptr) {
			var info *unix.TCPInfo
			if info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); infoErr == nil {
				state = info.State
			}
		})
		if err := errors.Join(err, infoErr); err != nil {
			t.Error(err)
			return
		}
		if state != established && state != finWait1 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Error("the end of a response is never acknowledged")
}

// awaitClosed waits until the pool has discarded its connection as closed.
func awaitClosed(t *testing.T, p *connector.Pool, address string, set *metrics.Set) {
	t.Helper()
	discarded := set.GetOrCreateCounter(`cyclamen_connections_discarded_total{reason="closed"}`)
	before := discarded.Get()
	for range 1000 {
		c, err := p.Open(context.Background(), address, connector.Pooled)
		if err != nil {
			t.Fatal(err)
		}
		c.Close()
		if discarded.Get() > before {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestErrorsReportWhetherSent checks Sent, Stage and Reused of the error after
// each kind of failure.
func TestErrorsReportWhetherSent(t *testing.T) {
	unresponsive := startScriptedServer(t, func(_ net.Conn, r *bufio.Reader) { readRequest(r) })
	p := connector.NewPool(connector.Options{})
	forbidden := errors.New("forbidden")
	tests := []struct {
		name   string
		limits connector.Limits
		sent   bool
		stage  connector.Stage
	}{
		{"no response", connector.Limits{Deadline: time.Now().Add(time.Minute)}, true, connector.FirstByte},
		{"forbidden", connector.Limits{Deadline: time.Now().Add(time.Minute), BeforeSend: func() error { return forbidden }}, false, connector.Sending},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, err := p.Open(context.Background(), unresponsive, connector.Fresh)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			_, err = c.Exchange(context.Background(), newRequest(unresponsive), tt.limits)
			var e *connector.Error
			if !errors.As(err, &e) || e.Sent != tt.sent || e.Stage != tt.stage || e.Reused {
				t.Errorf("got %+v", err)
			}
		})
	}
	t.Run("refused", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		_ = l.Close()
		_, err = p.Open(context.Background(), l.Addr().String(), connector.Fresh)
		var e *connector.Error
		if !errors.As(err, &e) || e.Sent || e.Stage != connector.Dialing {
			t.Errorf("got %+v", err)
		}
	})
}

// TestPartialSendCountsAsSent breaks a connection while a large request is
// being sent. The backend server may have started to process it, so the error
// must report it as sent.
func TestPartialSendCountsAsSent(t *testing.T) {
	address := startScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = r.ReadByte()
		_ = c.Close()
	})
	c, err := connector.NewPool(connector.Options{}).Open(context.Background(), address, connector.Fresh)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	body := strings.NewReader(strings.Repeat("x", 32<<20))
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/", body)
	if err != nil {
		t.Fatal(err)
	}
	_, err = c.Exchange(context.Background(), req, connector.Limits{Deadline: time.Now().Add(time.Minute)})
	var e *connector.Error
	if !errors.As(err, &e) || !e.Sent || e.Stage != connector.Sending {
		t.Errorf("got %+v, want an error with Sent set and stage Sending", err)
	}
}

// TestCancelEndsExchange checks that a cancelled exchange returns immediately
// and that its connection is not reused.
func TestCancelEndsExchange(t *testing.T) {
	got := make(chan struct{})
	address := startScriptedServer(t, func(_ net.Conn, r *bufio.Reader) {
		if readRequest(r) {
			close(got)
		}
		_, _ = r.ReadByte()
	})
	p := connector.NewPool(connector.Options{})
	c, err := p.Open(context.Background(), address, connector.Fresh)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-got
		cancel()
	}()
	if _, err := c.Exchange(ctx, newRequest(address), connector.Limits{}); err == nil {
		t.Error("got a response after the exchange was cancelled")
	}
	p.Release(c)
	if c, err := p.Open(context.Background(), address, connector.Pooled); err != nil || c.Reused() {
		t.Errorf("error %v, or the connection of a cancelled exchange was reused", err)
	}
}

// TestOverdueExchangeWaitsBetweenQuestions guards against a wait that asks in a loop
// whether to give up, since the deadline is nearer than the read deadline is moved for.
func TestOverdueExchangeWaitsBetweenQuestions(t *testing.T) {
	address := startScriptedServer(t, func(_ net.Conn, r *bufio.Reader) {
		readRequest(r)
		readRequest(r) // Until the client closes the connection.
	})
	c, err := connector.NewPool(connector.Options{}).Open(context.Background(), address, connector.Fresh)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	asked := 0
	_, err = c.Exchange(context.Background(), newRequest(address), connector.Limits{
		Deadline: time.Now().Add(420 * time.Millisecond), FirstByte: 400 * time.Millisecond,
		GiveUp: func() bool { asked++; return false },
	})
	if !errors.Is(err, os.ErrDeadlineExceeded) || asked != 1 {
		t.Errorf("asked %d times, error %v", asked, err)
	}
}
