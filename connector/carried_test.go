package connector

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"cyclamenhub.org/identifier"
)

// listenOK starts a server that answers each request with 200 and returns its address.
func listenOK(t *testing.T) string {
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
			go answerOK(c)
		}
	}()
	return l.Addr().String()
}

// answerOK answers the requests of one connection.
func answerOK(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

// sendAs sends a request with an id on a connection and reads the answer.
func sendAs(c *Conn, id identifier.AttemptID) error {
	m := &Message{ID: id, Method: http.MethodGet, Target: "/", Host: "x"}
	res, err := c.Send(context.Background(), m, Limits{Deadline: time.Now().Add(time.Minute)})
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, res.Body)
	return err
}

// TestConnectionCarriesAnIDOnce guards against answers that are taken for those to another
// request with the same id.
func TestConnectionCarriesAnIDOnce(t *testing.T) {
	p, address, ctx := NewPool(Options{}), listenOK(t), context.Background()
	first, err := p.OpenFor(ctx, address, Pooled, "a")
	if err != nil {
		t.Fatal(err)
	}
	if err := sendAs(first, "a"); err != nil {
		t.Fatal(err)
	}
	p.Release(first)
	second, err := p.OpenFor(ctx, address, Pooled, "b")
	if err != nil || second != first {
		t.Fatalf("another id got another connection, error %v", err)
	}
	if err := sendAs(second, "b"); err != nil {
		t.Fatal(err)
	}
	p.Release(second)
	third, err := p.OpenFor(ctx, address, Pooled, "a")
	if err != nil || third == first {
		t.Fatalf("the same id got the same connection, error %v", err)
	}
	if err := sendAs(third, "a"); err != nil {
		t.Fatal(err)
	}
	var e *Error
	if err := sendAs(third, "a"); !errors.As(err, &e) || e.Sent || !errors.Is(err, ErrCarried) {
		t.Errorf("sending the id again gave %v, want ErrCarried with nothing sent", err)
	}
	third.Close()
}

// TestConnectionForgetsNoID guards against a connection that is used for more requests
// than it remembers.
func TestConnectionForgetsNoID(t *testing.T) {
	p, address := NewPool(Options{}), listenOK(t)
	var last *Conn
	for i := range maxCarried + 1 {
		id := identifier.AttemptID(fmt.Sprint(i))
		c, err := p.OpenFor(context.Background(), address, Pooled, id)
		if err != nil {
			t.Fatal(err)
		}
		if isNew := c != last; isNew != (i == 0 || i == maxCarried) {
			t.Fatalf("request %d got a new connection: %t", i, isNew)
		}
		if err := sendAs(c, id); err != nil {
			t.Fatal(err)
		}
		p.Release(c)
		last = c
	}
}

// TestRepeatedIDClosesOneConnection guards against callers that repeat an id and thereby
// close the connections of others, or add connections without end.
func TestRepeatedIDClosesOneConnection(t *testing.T) {
	p, address := NewPool(Options{}), listenOK(t)
	const idle = 4
	for range idle {
		c, err := p.OpenFor(context.Background(), address, Fresh, "a")
		if err != nil {
			t.Fatal(err)
		}
		if err := sendAs(c, "a"); err != nil {
			t.Fatal(err)
		}
		p.Release(c)
	}
	for range 3 * idle {
		c, err := p.OpenFor(context.Background(), address, Pooled, "a")
		if err != nil {
			t.Fatal(err)
		}
		if err := sendAs(c, "a"); err != nil {
			t.Fatal(err)
		}
		p.Release(c)
		if n := len(p.idle[address]); n != idle {
			t.Fatalf("%d connections are idle, want %d", n, idle)
		}
	}
}
