package scenario

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// relay passes TCP connections on to target, until those that are open are
// made to go silent: they stay open and lose every byte, while new ones work.
type relay struct {
	l      net.Listener
	target string

	mu    sync.Mutex
	conns []*relayed
}

// relayed is one passed connection.
type relayed struct {
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
		near, err := r.l.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		c := new(relayed)
		r.mu.Lock()
		r.conns = append(r.conns, c)
		r.mu.Unlock()
		go c.pass(near, far)
		go c.pass(far, near)
	}
}

// pass copies one way and loses what comes after the silence began.
func (c *relayed) pass(dst, src net.Conn) {
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

// silence makes the open connections go silent and returns their number.
func (r *relay) silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.silent.Store(true)
	}
	return len(r.conns)
}

// lost returns how many bytes were lost.
func (r *relay) lost() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var n int64
	for _, c := range r.conns {
		n += c.lost.Load()
	}
	return n
}
