package expirer

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// capped starts a server with room for some connections and, of headers that are not
// ordinary, for some memory.
func capped(t *testing.T, connections int, memory int64, delay time.Duration) *front {
	return newFrontWith(t, Options{
		Default: Limits{Header: time.Hour, Idle: time.Hour}, Connections: connections, HeadMemory: memory,
	}, delay)
}

// lines returns the beginning of a request whose header has the given number of lines.
func lines(n int) string {
	var b strings.Builder
	b.WriteString("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n")
	for i := range n {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// awaitOpen waits until no more than n connections are open.
func (f *front) awaitOpen(n int) {
	f.t.Helper()
	for end := time.Now().Add(bound); f.open() > n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("%d connections are open, want %d at most", f.open(), n)
		}
	}
}

// TestCrowdLeavesRoom guards against callers that keep others out with connections on which
// nothing comes, or a header does not end: all that a host accepts stays within its
// capacity, and each ordinary request amid them is answered, on a new connection or on one
// that works.
func TestCrowdLeavesRoom(t *testing.T) {
	const connections, crowd, every = 16, 400, 20
	for name, sent := range map[string]string{"silent": "", "header without end": request[:len(request)-4], "line breaks": "\r"} {
		t.Run(name, func(t *testing.T) {
			f := capped(t, connections, 0, 0)
			for i := range crowd {
				if _, err := io.WriteString(f.dial(), sent); err != nil {
					t.Fatal(err)
				}
				if i%every > 0 {
					continue
				}
				if !f.dial().ask(request) {
					t.Errorf("no answer after %d connections", i)
				}
			}
			f.awaitOpen(connections)
			if f.closedFull.Get() < crowd-connections {
				t.Errorf("%d connections were closed, want %d or more", f.closedFull.Get(), crowd-connections)
			}
		})
	}
}

// TestNoRoomIsMadeOfBusyConnections guards against room that is made by closing a connection
// whose request is being answered, or the newest of those that wait.
func TestNoRoomIsMadeOfBusyConnections(t *testing.T) {
	const connections = 16
	f := capped(t, connections, 0, time.Second)
	answers := make(chan bool, connections)
	for range connections - 2 {
		c := f.dial()
		go func() { answers <- c.ask(request) }()
	}
	for f.runs.Load() < connections-2 {
		time.Sleep(time.Millisecond)
	}
	old, fresh := f.dial(), f.dial()
	if !old.isClosed(bound) {
		t.Error("the connection that has waited longest stays open")
	}
	if !fresh.ask(request) {
		t.Error("no answer on the newest connection")
	}
	for range connections - 2 {
		if !<-answers {
			t.Error("no answer on a connection that was busy")
		}
	}
}

// TestBusyHostClosesAtOnce guards against connections that wait in the kernel's queue while
// all that are open are busy.
func TestBusyHostClosesAtOnce(t *testing.T) {
	const connections = 4
	f := capped(t, connections, 0, time.Second)
	answers := make(chan bool, connections)
	for range connections {
		c := f.dial()
		go func() { answers <- c.ask(request) }()
	}
	for f.runs.Load() < connections {
		time.Sleep(time.Millisecond)
	}
	if !f.dial().isClosed(bound) || f.closedFull.Get() != 1 {
		t.Error("a connection beyond the capacity stays open")
	}
	for range connections {
		if !<-answers {
			t.Error("no answer on a connection that was busy")
		}
	}
}

// TestRoomIsNotMadeOfRequests guards against a close that drops a request which has arrived
// on a kept connection and was not read yet.
func TestRoomIsNotMadeOfRequests(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &front{Expirer: New(Options{Default: Limits{Header: time.Hour, Idle: time.Hour}}), t: t, address: ln.Addr().String()}
	client := f.dial()
	accepted, err := f.Listener(ln).Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := accepted.(*conn)
	for range 2 { // when nothing was read, and amid a header
		if _, err := io.WriteString(client, "G"); err != nil {
			t.Fatal(err)
		}
		for end := time.Now().Add(bound); !bytesWait(c.TCPConn); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the byte does not arrive")
			}
		}
		if !c.leave() {
			t.Fatal("the connection does not wait")
		}
		if n, err := c.Read(make([]byte, 1)); n != 1 || err != nil || f.leaving.Load() != 0 {
			t.Errorf("%d bytes and %v are read, %d connections are to leave", n, err, f.leaving.Load())
		}
	}
	if c.leave(); f.leaving.Load() != 1 {
		t.Error("the connection is not to leave")
	}
	if n, err := c.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Error("a connection that is to leave goes on with no byte waiting")
	}
	if _ = c.Close(); f.leaving.Load() != 0 || f.closedFull.Get() != 1 {
		t.Errorf("%d connections are to leave, and %d were closed", f.leaving.Load(), f.closedFull.Get())
	}
}

// TestHeadersShareTheirMemory guards against headers that each are within the limit and
// together take the memory of the host, as many short lines do.
func TestHeadersShareTheirMemory(t *testing.T) {
	const memory, count, crowd = 1 << 20, 1000, 100
	f := capped(t, 0, memory, 0)
	for range crowd {
		if _, err := io.WriteString(f.dial(), lines(count)); err != nil {
			t.Fatal(err)
		}
	}
	// One has room for about 6 of them.
	f.awaitOpen(10)
	if !f.dial().ask(request) {
		t.Error("no answer to an ordinary request")
	}
	if !f.dial().ask(lines(count) + "\r\nx") {
		t.Error("no answer to a request with a large header")
	}
	if got := f.held.Load(); got > memory {
		t.Errorf("headers are charged with %d bytes, %d are there", got, memory)
	}
}

// TestAnsweredHeadersAreGivenBack guards against memory that stays charged, with which a
// host at last refuses all but ordinary headers.
func TestAnsweredHeadersAreGivenBack(t *testing.T) {
	f := capped(t, 0, 1<<20, 0)
	for range 20 {
		c := f.dial()
		for range 2 {
			if !c.ask(lines(1000) + "\r\nx") {
				t.Fatal("no answer to a request with a large header")
			}
		}
		_ = c.Close()
	}
	f.awaitOpen(0)
	if f.held.Load() != 0 || f.leaving.Load() != 0 {
		t.Errorf("without connections, %d bytes are charged and %d connections are to leave", f.held.Load(), f.leaving.Load())
	}
}
