package faker

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// errRefused is what dialling an address without a server returns.
var errRefused = errors.New("connection refused")

// Network connects clients to HTTP handlers in memory, so that tests can run in
// a synctest bubble. Its connections can go silent for good.
type Network struct {
	mu      sync.Mutex
	servers map[string]*memoryListener
	conns   map[string][]*memoryConn
	dials   map[string]int
}

// NewNetwork returns a network without servers.
func NewNetwork() *Network {
	return &Network{
		servers: make(map[string]*memoryListener), conns: make(map[string][]*memoryConn), dials: make(map[string]int),
	}
}

// Serve answers calls to address with h until stop is called, which also breaks
// the open connections.
func (n *Network) Serve(address string, h http.Handler) (stop func()) {
	l := n.Listen(address)
	srv := &http.Server{Handler: h}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = srv.Serve(l)
	}()
	return func() {
		_ = srv.Close()
		<-done
	}
}

// Listen opens address to connections.
func (n *Network) Listen(address string) net.Listener {
	l := &memoryListener{net: n, conns: make(chan net.Conn), closed: make(chan struct{}), address: address}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.servers[address] = l
	return l
}

// Dial opens a connection to address.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l, ok := n.servers[address]
	n.dials[address]++
	n.mu.Unlock()
	if !ok {
		return nil, errRefused
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
	case <-l.closed:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c := &memoryConn{Conn: near}
	n.mu.Lock()
	n.conns[address] = append(n.conns[address], c)
	n.mu.Unlock()
	return c, nil
}

// Dials returns how many connections to address were asked for.
func (n *Network) Dials(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials[address]
}

// Silence makes the present connections to address lose every byte, both ways,
// and returns their number. New connections work.
func (n *Network) Silence(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns[address] {
		c.silent.Store(true)
	}
	return len(n.conns[address])
}

// Lost returns how many bytes were lost on silent connections to address.
func (n *Network) Lost(address string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	var lost int64
	for _, c := range n.conns[address] {
		lost += c.lost.Load()
	}
	return lost
}

// memoryConn is the client's end of a connection.
type memoryConn struct {
	net.Conn
	silent atomic.Bool
	lost   atomic.Int64
}

// Write sends p, or loses it.
func (c *memoryConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		c.lost.Add(int64(len(p)))
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Read receives bytes, or loses them and waits on.
func (c *memoryConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.silent.Load() || err != nil {
			return n, err
		}
		c.lost.Add(int64(n))
	}
}

// memoryListener hands connections to an HTTP server.
type memoryListener struct {
	net     *Network
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
	address string
}

// Accept returns the next connection.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		if l.net.servers[l.address] == l {
			delete(l.net.servers, l.address)
		}
	})
	return nil
}

// Addr returns the address.
func (l *memoryListener) Addr() net.Addr { return memoryAddr(l.address) }

type memoryAddr string

// Network returns the kind of network.
func (memoryAddr) Network() string { return "memory" }

// String returns the address.
func (a memoryAddr) String() string { return string(a) }
