package scenario

import (
	"net"
	"sync/atomic"
	"testing"
)

// direction is the traffic from one host to another, on connections that either
// host opened.
type direction struct {
	cut  atomic.Bool
	lost atomic.Int64
}

// link is a TCP proxy for the connections that one host opens to another. out
// carries the bytes from the client and back those from the target. A connection
// that lost bytes stays silent; new connections work once the cut is removed.
type link struct {
	l         net.Listener
	target    string
	out, back *direction
}

func newLink(t *testing.T, target string, out, back *direction) *link {
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
		client, err := k.l.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", k.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		go k.out.pass(server, client)
		go k.back.pass(client, server)
	}
}

// pass copies one direction of a connection from src to dst. Once the direction
// is cut, pass discards all further bytes, also after the cut is removed, and
// does not propagate the close of the connection.
func (d *direction) pass(dst, src net.Conn) {
	b := make([]byte, 32<<10)
	silent := false
	for {
		n, err := src.Read(b)
		silent = silent || d.cut.Load()
		if silent {
			d.lost.Add(int64(n))
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
