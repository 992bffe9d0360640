package soaker

import (
	"bufio"
	"net"
	"strings"
	"sync"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/platform/standin"
)

// slowLinkDelay is the delay that a slow link adds to each chunk of bytes.
const slowLinkDelay = 150 * time.Millisecond

// link is a TCP proxy in front of a backend server, with injected faults. One without
// a target is the gate of an entry host: each connection begins with a line that holds
// the address of a backend server, which the gate answers with one byte.
type link struct {
	listener net.Listener
	target   string

	mu         sync.Mutex
	fault      Kind // empty while there is no fault
	injections int  // number of faults injected so far
	changed    chan struct{}
	conns      map[net.Conn]struct{}
	calls      map[identifier.RequestID]struct{} // that were sent to the server
}

// newLink starts a link that listens at one address and forwards to target.
func newLink(address, target string) (*link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, changed: make(chan struct{}), conns: make(map[net.Conn]struct{}), calls: make(map[identifier.RequestID]struct{})}
	go l.serve()
	return l, nil
}

// inject replaces the current fault of the link by kind. The returned function
// removes the fault, unless a later one has replaced it by then.
func (l *link) inject(kind Kind) (restore func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.injections++
	n := l.injections
	l.setFault(kind)
	if kind == Reset {
		for c := range l.conns {
			reset(c)
		}
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.injections == n {
			l.setFault("")
		}
	}
}

// setFault sets the current fault and wakes waiting connections. The caller
// holds mu.
func (l *link) setFault(kind Kind) {
	l.fault = kind
	close(l.changed)
	l.changed = make(chan struct{})
}

// close stops the listener and removes the fault.
func (l *link) close() {
	_ = l.listener.Close()
	l.inject("")
}

// currentFault returns the current fault and a channel that is closed when the
// fault changes.
func (l *link) currentFault() (Kind, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.changed
}

// serve accepts connections until the listener is closed.
func (l *link) serve() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.proxy(c)
	}
}

// proxy connects to the backend server and forwards bytes in both directions.
func (l *link) proxy(client net.Conn) {
	target := l.target
	if target == "" {
		line, _ := bufio.NewReader(client).ReadString('\n')
		target = strings.TrimSpace(line)
		l.delay(false)
	}
	if fault, _ := l.currentFault(); fault == Reset || fault == Refuse {
		reset(client)
		return
	}
	backend, err := net.Dial("tcp", target)
	if err != nil {
		reset(client)
		return
	}
	l.mu.Lock()
	l.conns[client], l.conns[backend] = struct{}{}, struct{}{}
	l.mu.Unlock()
	if l.target == "" {
		_, _ = client.Write([]byte{1})
	}
	var wg sync.WaitGroup
	wg.Go(func() { l.forward(backend, client, false) })
	wg.Go(func() { l.forward(client, backend, true) })
	wg.Wait()
	l.mu.Lock()
	delete(l.conns, client)
	delete(l.conns, backend)
	l.mu.Unlock()
}

// forward copies bytes from one connection to the other until either side ends,
// and closes both. isResponse is set if the bytes come from the backend server.
func (l *link) forward(dst, src net.Conn, isResponse bool) {
	defer func() {
		_ = dst.Close()
		_ = src.Close()
	}()
	b := make([]byte, 32<<10)
	for {
		n, err := src.Read(b)
		if n > 0 {
			if !isResponse {
				l.recordCall(standin.CallIn(b[:n]))
			}
			if fault, _ := l.currentFault(); fault == Lose && isResponse {
				reset(dst)
				return
			}
			l.delay(isResponse)
			if _, err := dst.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// delay applies the current fault to a chunk of bytes: it sleeps on a slow link
// and blocks while this direction is stalled.
func (l *link) delay(isResponse bool) {
	for {
		fault, changed := l.currentFault()
		switch {
		case fault == Slow:
			time.Sleep(slowLinkDelay)
			return
		case fault == Stall, fault == Silence, fault == OneWay && isResponse:
			<-changed
		default:
			return
		}
	}
}

// recordCall records that a call is sent to the server.
func (l *link) recordCall(id identifier.RequestID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls[id] = struct{}{}
}

// saw reports whether a call was sent to the server.
func (l *link) saw(id identifier.RequestID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.calls[id]
	return ok
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// SetLinger fails if the connection is closed already.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
