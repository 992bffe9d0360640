package soaker

import (
	"net"
	"sync"
	"time"
)

// slowness is how much later everything passes a slow link.
const slowness = 150 * time.Millisecond

// link passes connections on to a backend server, as long as nothing harms it.
type link struct {
	ln net.Listener
	to string

	mu      sync.Mutex
	mode    Kind // empty while the link is well
	faults  int  // how many faults hit it so far
	changed chan struct{}
	conns   map[net.Conn]struct{}
}

// newLink returns a link at an address to another one.
func newLink(at, to string) (*link, error) {
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	l := &link{ln: ln, to: to, changed: make(chan struct{}), conns: make(map[net.Conn]struct{})}
	go l.serve()
	return l, nil
}

// harm harms the link in place of an earlier fault and returns what heals it,
// unless a later fault has hit it by then.
func (l *link) harm(kind Kind) (heal func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults++
	n := l.faults
	l.set(kind)
	if kind == Reset {
		for c := range l.conns {
			reset(c)
		}
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.faults == n {
			l.set("")
		}
	}
}

// set sets what harms the link. The caller holds mu.
func (l *link) set(kind Kind) {
	l.mode = kind
	close(l.changed)
	l.changed = make(chan struct{})
}

// close ends the link.
func (l *link) close() {
	_ = l.ln.Close()
	l.harm("")
}

// state returns what harms the link and a channel that is closed at the next
// change.
func (l *link) state() (Kind, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode, l.changed
}

// serve takes connections until the listener is closed.
func (l *link) serve() {
	for {
		c, err := l.ln.Accept()
		if err != nil {
			return
		}
		go l.join(c)
	}
}

// join joins a connection with one to the backend server.
func (l *link) join(near net.Conn) {
	if mode, _ := l.state(); mode == Reset {
		reset(near)
		return
	}
	far, err := net.Dial("tcp", l.to)
	if err != nil {
		reset(near)
		return
	}
	l.mu.Lock()
	l.conns[near], l.conns[far] = struct{}{}, struct{}{}
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { l.copy(far, near, false) })
	wg.Go(func() { l.copy(near, far, true) })
	wg.Wait()
	l.mu.Lock()
	delete(l.conns, near)
	delete(l.conns, far)
	l.mu.Unlock()
}

// copy passes bytes on until either side ends, and ends both.
func (l *link) copy(to, from net.Conn, isAnswer bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if n > 0 {
			if mode, _ := l.state(); mode == Lose && isAnswer {
				reset(to)
				return
			}
			l.hold(isAnswer)
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// hold waits for as long as the link lets nothing pass in a direction.
func (l *link) hold(isAnswer bool) {
	for {
		mode, changed := l.state()
		switch {
		case mode == Slow:
			time.Sleep(slowness)
			return
		case mode == Stall, mode == OneWay && isAnswer:
			<-changed
		default:
			return
		}
	}
}

// reset breaks a connection off, so that its peer sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// It fails where the connection is gone already.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
