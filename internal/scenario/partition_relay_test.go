package scenario

import (
	"net"
	"sync/atomic"
	"testing"
)

// way is what travels from one host to another, over whoever's connections.
type way struct {
	cut  atomic.Bool
	lost atomic.Int64
}

// link passes the connections that one host opens to another. A connection
// that lost bytes stays silent for good; new ones work once the way is whole.
type link struct {
	l         net.Listener
	target    string
	out, back *way
}

func newLink(t *testing.T, target string, out, back *way) *link {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	k := &link{l: l, target: target, out: out, back: back}
	go k.serve()
	t.Cleanup(func() { _ = l.Close() })
	return k
}

func (k *link) address() string { return k.l.Addr().String() }

func (k *link) serve() {
	for {
		near, err := k.l.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", k.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		go k.out.pass(far, near)
		go k.back.pass(near, far)
	}
}

// pass copies one way of a connection. While the way is cut, the end of the
// connection does not travel either.
func (w *way) pass(dst, src net.Conn) {
	b := make([]byte, 32<<10)
	silent := false
	for {
		n, err := src.Read(b)
		silent = silent || w.cut.Load()
		if silent {
			w.lost.Add(int64(n))
		} else if _, werr := dst.Write(b[:n]); werr != nil {
			_ = src.Close()
			return
		}
		if err != nil {
			if !silent {
				_ = dst.Close()
			}
			return
		}
	}
}
