package faker

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// errConnectionRefused is returned by Dial for an address without a server.
var errConnectionRefused = errors.New("connection refused")

// Network connects clients to HTTP handlers in memory, so that tests can run in
// a synctest bubble. Its connections can be made to discard all bytes. It is
// safe for concurrent use.
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

// Serve serves requests to address with h until stop is called. stop also closes
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

// Listen returns a listener that accepts connections to address.
func (n *Network) Listen(address string) net.Listener {
	l := &memoryListener{net: n, conns: make(chan net.Conn), closed: make(chan struct{}), address: address}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.servers[address] = l
	return l
}

// Dial opens a connection to address. It returns an error if no server listens
// there or ctx ends.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l, ok := n.servers[address]
	n.dials[address]++
	n.mu.Unlock()
	if !ok {
		return nil, errConnectionRefused
	}
	clientSide, serverSide := net.Pipe()
	select {
	case l.conns <- serverSide:
	case <-l.closed:
		return nil, errConnectionRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c := &memoryConn{Conn: clientSide}
	n.mu.Lock()
	n.conns[address] = append(n.conns[address], c)
	n.mu.Unlock()
	return c, nil
}

// Dials returns the number of Dial calls for address, failed ones included.
func (n *Network) Dials(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials[address]
}

// Silence makes the open connections to address discard every byte in both
// directions without closing, and returns their number. New connections are not
// affected.
func (n *Network) Silence(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns[address] {
		c.silent.Store(true)
	}
	return len(n.conns[address])
}

// LostBytes returns the number of bytes that silent connections to address
// discarded.
func (n *Network) LostBytes(address string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	var lost int64
	for _, c := range n.conns[address] {
		lost += c.lost.Load()
	}
	return lost
}

// memoryConn is the client side of a connection.
type memoryConn struct {
	net.Conn
	silent atomic.Bool
	lost   atomic.Int64
}

// Write sends p, or discards it if the connection is silent.
func (c *memoryConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		c.lost.Add(int64(len(p)))
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Read receives bytes. While the connection is silent, it discards them and
// keeps waiting.
func (c *memoryConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.silent.Load() || err != nil {
			return n, err
		}
		c.lost.Add(int64(n))
	}
}

// memoryListener is the net.Listener of an address.
type memoryListener struct {
	net     *Network
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
	address string
}

// Accept returns the next connection, or net.ErrClosed after Close.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close stops accepting connections and frees the address.
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

// Addr returns the address of the listener.
func (l *memoryListener) Addr() net.Addr { return memoryAddr(l.address) }

type memoryAddr string

// Network returns the network name of net.Addr.
func (memoryAddr) Network() string { return "memory" }

// String returns the address as text.
func (a memoryAddr) String() string { return string(a) }
