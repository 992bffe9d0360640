package connector_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"cyclamenhub.org/connector"
)

// TestResetThatIsNoticedElsewhereIsNoEnd guards against a reset that reads like the end of an
// answer: whoever writes to the connection or looks at it gets the error, and the next read an end.
func TestResetThatIsNoticedElsewhereIsNoEnd(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\n\r\nha"
	for _, tc := range []struct {
		name string
		body int
		look func(c *connector.Conn, p *connector.Pool, address string)
	}{
		{"by the look for input", 1, func(c *connector.Conn, _ *connector.Pool, _ string) { c.HasInput() }},
		{"by the look for open connections", 1, func(_ *connector.Conn, p *connector.Pool, address string) { p.HasOpen(address, 0) }},
		{"by the write of the body", 8 << 20, func(*connector.Conn, *connector.Pool, string) {}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for range 20 {
				reset := make(chan struct{})
				address := startScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					_, _ = io.WriteString(c, answer)
					<-reset
					_ = c.(*net.TCPConn).SetLinger(0) // Close resets the connection.
				})
				p := connector.NewPool(connector.Options{})
				c, err := p.Open(context.Background(), address, connector.Fresh)
				if err != nil {
					t.Fatal(err)
				}
				m := &connector.Message{Method: http.MethodPost, Target: "/x", Host: "x", Body: [][]byte{make([]byte, tc.body)}}
				res, err := c.Send(context.Background(), m, connector.Limits{Deadline: time.Now().Add(time.Minute)})
				if err != nil {
					t.Fatal(err)
				}
				if _, err := io.ReadFull(res.Body, make([]byte, 2)); err != nil {
					t.Fatal(err)
				}
				close(reset)
				for range 10 {
					tc.look(c, p, address)
					time.Sleep(time.Millisecond)
				}
				if _, err := res.Body.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
					t.Errorf("the body ended with %v, want the reset", err)
				}
				c.Close()
			}
		})
	}
}

// TestEndDuringAnUploadIsAnEnd checks that an answer without a length ends where its server
// closes its side of the connection, although a long body is still being written.
func TestEndDuringAnUploadIsAnEnd(t *testing.T) {
	closed := make(chan struct{})
	t.Cleanup(func() { close(closed) })
	address := startScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
			_ = c.(*net.TCPConn).CloseWrite()
		}
		<-closed
	})
	p := connector.NewPool(connector.Options{})
	c, err := p.Open(context.Background(), address, connector.Fresh)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	m := &connector.Message{Method: http.MethodPost, Target: "/x", Host: "x", Body: [][]byte{make([]byte, 8<<20)}}
	res, err := c.Send(context.Background(), m, connector.Limits{Deadline: time.Now().Add(time.Minute)})
	if err != nil {
		t.Fatal(err)
	}
	if b, err := io.ReadAll(res.Body); err != nil || string(b) != "whole" {
		t.Errorf("read %q and %v, want the whole body", b, err)
	}
}
