package scenario

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// relay is a TCP proxy in front of target. Its open connections can be made
// silent: they stay open and discard every byte. New connections are not
// affected.
type relay struct {
	l      net.Listener
	target string

	mu    sync.Mutex
	conns []*relayedConn
}

// relayedConn is one connection through a relay.
type relayedConn struct {
	silent atomic.Bool
	lost   atomic.Int64
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{l: l, target: target}
	go r.serve()
	t.Cleanup(func() { _ = l.Close() })
	return r
}

func (r *relay) address() string { return r.l.Addr().String() }

func (r *relay) serve() {
	for {
		client, err := r.l.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		c := new(relayedConn)
		r.mu.Lock()
		r.conns = append(r.conns, c)
		r.mu.Unlock()
		go c.pass(client, server)
		go c.pass(server, client)
	}
}

// pass copies one direction of the connection, and discards all bytes while the
// connection is silent.
func (c *relayedConn) pass(dst, src net.Conn) {
	defer dst.Close()
	b := make([]byte, 32<<10)
	for {
		n, err := src.Read(b)
		if c.silent.Load() {
			c.lost.Add(int64(n))
		} else if _, werr := dst.Write(b[:n]); werr != nil {
			return
		}
		if err != nil {
			return
		}
	}
}

// silence makes the open connections silent and returns their number.
func (r *relay) silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.silent.Store(true)
	}
	return len(r.conns)
}

// lost returns the number of discarded bytes.
func (r *relay) lost() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var n int64
	for _, c := range r.conns {
		n += c.lost.Load()
	}
	return n
}
