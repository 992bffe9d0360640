package forwarder

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/discoverer"
)

// undelimitedStream and undelimitedBody are the heads of answers with neither a length nor
// chunks.
const (
	undelimitedStream = "HTTP/1.1 200 OK\r\n" + testSeal + ": s\r\nContent-Type: text/event-stream\r\n\r\n"
	undelimitedBody   = "HTTP/1.1 200 OK\r\n" + testSeal + ": s\r\n\r\n"
)

// heldServers are servers that read one request on each connection and leave the answer to
// the test.
type heldServers struct {
	listeners []net.Listener
	// conns are the connections with a request, in the order in which they came.
	conns chan net.Conn
	// drops makes servers reset new connections at once.
	drops atomic.Bool

	mu sync.Mutex
	// accepted are all connections.
	accepted []net.Conn
}

// useHeldServers lists n servers alone that leave their answers to the test.
func (h *harness) useHeldServers(t *testing.T, n int) *heldServers {
	t.Helper()
	s := &heldServers{conns: make(chan net.Conn, 100)}
	var addresses []string
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = ln.Close() })
		s.listeners = append(s.listeners, ln)
		addresses = append(addresses, ln.Addr().String())
		go s.accept(ln)
	}
	h.useAddresses(addresses...)
	return s
}

// accept accepts the connections of one server.
func (s *heldServers) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		if s.drops.Load() {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			continue
		}
		s.mu.Lock()
		s.accepted = append(s.accepted, c)
		s.mu.Unlock()
		go func() {
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				s.conns <- c
			}
		}()
	}
}

// refuse makes servers refuse new connections. Those that are open live on.
func (s *heldServers) refuse() {
	for _, ln := range s.listeners {
		_ = ln.Close()
	}
}

// end makes servers refuse new connections and closes those that are open.
func (s *heldServers) end() {
	s.refuse()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.accepted {
		_ = c.Close()
	}
}

// heldCalls are calls whose answers a test writes.
type heldCalls struct {
	conns     []net.Conn
	responses []chan response
}

// hold makes n calls, one after the other, and writes the beginning of each answer.
func (h *harness) hold(t *testing.T, s *heldServers, n int, path, beginning string) *heldCalls {
	t.Helper()
	c := &heldCalls{}
	for i := range n {
		got := make(chan response, 1)
		go func() { got <- h.callAs(t, fmt.Sprint("id-", i), http.MethodGet, path, "key", "") }()
		conn := <-s.conns
		t.Cleanup(func() { _ = conn.Close() })
		write(t, conn, beginning)
		c.conns, c.responses = append(c.conns, conn), append(c.responses, got)
	}
	return c
}

// write writes a part of an answer.
func write(t *testing.T, conn net.Conn, part string) {
	t.Helper()
	if _, err := io.WriteString(conn, part); err != nil {
		t.Fatal(err)
	}
}

// answerAt serves an address that another server had, with the answer to each request.
func answerAt(t *testing.T, address string, answer func(r *http.Request) string) {
	t.Helper()
	listenAt(t, address, func(c net.Conn) {
		for br := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, answer(r))
		}
	})
}

// endWith writes the rest of an answer and ends its connection, both in one segment.
func endWith(t *testing.T, conn net.Conn, rest string) {
	t.Helper()
	rc, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var corkErr error
	err = rc.Control(func(fd uintptr) { corkErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_CORK, 1) })
	if err := cmp.Or(err, corkErr); err != nil {
		t.Fatal(err)
	}
	write(t, conn, rest)
	_ = conn.Close()
}

// listLeaving lists a held server as one that leaves and is taken away after a time, 0 if none is
// named, and another one that stays.
func (h *harness) listLeaving(s *heldServers, leavesIn time.Duration) {
	h.SetListing(&discoverer.Listing{At: time.Now(), Instances: []describer.Instance{
		{ID: "b0", Service: "cases", Address: s.listeners[0].Addr().String(), Slots: 4, Draining: true, LeavesIn: leavesIn},
		{ID: "b1", Service: "cases", Address: h.backends.start(), Slots: 4},
	}})
}
