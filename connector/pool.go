package connector

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/timer"
)

const (
	defaultMaxIdleAge          = 20 * time.Second
	defaultMaxIdlePerServer    = 256
	defaultDialTimeout         = time.Second
	defaultUnacknowledgedLimit = 5 * time.Second
)

// Reuse selects whether a pooled connection may be used.
type Reuse int

// Kinds of Reuse.
const (
	// Pooled uses an idle connection if there is one.
	Pooled Reuse = iota
	// Fresh always opens a new connection.
	Fresh
)

// Options configure a Pool.
type Options struct {
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Clock is the source of time; nil means the system clock.
	Clock timer.Clock
	// MaxIdleAge is how long after its last received byte an idle connection
	// may be used; 0 means 20 s.
	MaxIdleAge time.Duration
	// MaxIdlePerServer is the largest number of idle connections to one
	// address; 0 means 256.
	MaxIdlePerServer int
	// DialTimeout limits the time to open a connection; 0 means 1 s.
	DialTimeout time.Duration
	// Metrics receives the pool's counters; nil means a new set.
	Metrics *metrics.Set
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	opt Options

	mu   sync.Mutex
	idle map[string][]*Conn
	// open holds all connections that this side has not closed.
	open map[string]map[*Conn]struct{}
	// ended holds the latest ends of closed connections by address.
	ended map[string][]End

	opened, reused, discardedByAge, discardedClosed, discardedCarried, discardedFull *metrics.Counter
}

// NewPool returns an empty Pool.
func NewPool(opt Options) *Pool {
	if opt.Dial == nil {
		opt.Dial = dialTCP
	}
	if opt.Clock == nil {
		opt.Clock = timer.System{}
	}
	if opt.MaxIdleAge == 0 {
		opt.MaxIdleAge = defaultMaxIdleAge
	}
	if opt.MaxIdlePerServer == 0 {
		opt.MaxIdlePerServer = defaultMaxIdlePerServer
	}
	if opt.DialTimeout == 0 {
		opt.DialTimeout = defaultDialTimeout
	}
	if opt.Metrics == nil {
		opt.Metrics = metrics.NewSet()
	}
	return &Pool{
		opt: opt, idle: make(map[string][]*Conn), open: make(map[string]map[*Conn]struct{}), ended: make(map[string][]End),
		opened:           opt.Metrics.GetOrCreateCounter("cyclamen_connections_opened_total"),
		reused:           opt.Metrics.GetOrCreateCounter("cyclamen_connections_reused_total"),
		discardedByAge:   opt.Metrics.GetOrCreateCounter(`cyclamen_connections_discarded_total{reason="age"}`),
		discardedClosed:  opt.Metrics.GetOrCreateCounter(`cyclamen_connections_discarded_total{reason="closed"}`),
		discardedCarried: opt.Metrics.GetOrCreateCounter(`cyclamen_connections_discarded_total{reason="carried"}`),
		discardedFull:    opt.Metrics.GetOrCreateCounter(`cyclamen_connections_discarded_total{reason="full"}`),
	}
}

// Open returns a connection to address. Its errors are of type *Error and mean
// that nothing was sent.
func (p *Pool) Open(ctx context.Context, address string, reuse Reuse) (*Conn, error) {
	return p.OpenFor(ctx, address, reuse, "")
}

// OpenFor is like Open, for a request with an id; "" means that it has none. The
// connection has not carried that id.
func (p *Pool) OpenFor(ctx context.Context, address string, reuse Reuse, id identifier.AttemptID) (*Conn, error) {
	if reuse == Pooled {
		if c := p.take(address, id); c != nil {
			p.reused.Inc()
			return c, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, p.opt.DialTimeout)
	defer cancel()
	nc, err := p.opt.Dial(ctx, address)
	if err != nil {
		return nil, &Error{Stage: Dialing, Err: err}
	}
	p.opened.Inc()
	c := newConn(nc, address, p.opt.Clock)
	p.register(c)
	return c, nil
}

// register adds a new connection to the open ones until it is closed.
func (p *Pool) register(c *Conn) {
	c.onClose = p.unregister
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[c.address] == nil {
		p.open[c.address] = make(map[*Conn]struct{})
	}
	p.open[c.address][c] = struct{}{}
}

// unregister removes a closed connection from the open ones.
func (p *Pool) unregister(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remember(c)
	delete(p.open[c.address], c)
	if len(p.open[c.address]) == 0 {
		delete(p.open, c.address)
	}
}

// HasOpen reports whether a connection to address that was opened longer ago than age is open
// on both sides. It may be in use.
func (p *Pool) HasOpen(address string, age time.Duration) bool {
	now := p.opt.Clock.Now()
	p.mu.Lock()
	conns := slices.Collect(maps.Keys(p.open[address]))
	p.mu.Unlock()
	return slices.ContainsFunc(conns, func(c *Conn) bool { return now.Sub(c.openedAt) > age && c.isOpen() })
}

// InUse returns the number of connections to address that are not idle.
func (p *Pool) InUse(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.open[address]) - len(p.idle[address])
}

// Warm opens a connection to address for later use, and reports whether that succeeded.
func (p *Pool) Warm(ctx context.Context, address string) bool {
	c, err := p.Open(ctx, address, Fresh)
	if err != nil {
		return false
	}
	if !p.push(c) {
		c.Close()
	}
	return true
}

// Reception is how an address received a new connection.
type Reception uint8

// Kinds of Reception.
const (
	// Silent: the connection was neither accepted nor refused in time.
	Silent Reception = iota
	// Accepted: a process listens.
	Accepted
	// Dropped: the connection was accepted and closed at once. The process ends, or has
	// enough connections.
	Dropped
	// Refused: no process listens, or the connection was refused on its way.
	Refused
)

// Probe opens a new connection to address and returns how it was received. It keeps the
// connection open for a time to see whether it is dropped; 0 means that it does not look.
func (p *Pool) Probe(ctx context.Context, address string, hold time.Duration) Reception {
	c, err := p.Open(ctx, address, Fresh)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	case errors.Is(err, syscall.ECONNRESET):
		return Dropped
	case err != nil:
		return Silent
	}
	defer c.Close()
	if hold == 0 || c.staysOpen(hold) {
		return Accepted
	}
	return Dropped
}

// take returns the most recently used idle connection that is still usable for a request
// with an id, or nil.
func (p *Pool) take(address string, id identifier.AttemptID) *Conn {
	for {
		c, hasCarried := p.pop(address, id)
		switch {
		case c == nil:
			return nil
		case hasCarried:
			p.discardedCarried.Inc()
			c.Close()
			return nil
		case c.isExpired(p.opt.Clock.Now(), p.opt.MaxIdleAge):
			p.discardedByAge.Inc()
		case !c.isUsable():
			p.discardedClosed.Inc()
		default:
			return c
		}
		c.Close()
	}
}

// pop takes the most recently used idle connection that has not carried an id out of the
// pool. If all have carried it, pop takes the oldest one and says so: it makes room for a new
// one, so that a caller that repeats an id adds no connections.
func (p *Pool) pop(address string, id identifier.AttemptID) (c *Conn, hasCarried bool) {
	h := hashOf(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil, false
	}
	i := len(list) - 1
	for i >= 0 && id != "" && list[i].hasCarried(h) {
		i--
	}
	hasCarried = i < 0
	i = max(i, 0)
	c = list[i]
	p.idle[address] = slices.Delete(list, i, i+1)
	return c, hasCarried
}

// Release returns c to the pool if its last exchange ended cleanly, and closes
// it otherwise.
func (p *Pool) Release(c *Conn) {
	if len(c.carried) >= maxCarried {
		p.discardedFull.Inc()
	}
	if !c.prepareReuse() || !p.push(c) {
		c.Close()
	}
}

func (p *Pool) push(c *Conn) bool {
	c.reused = true
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= p.opt.MaxIdlePerServer {
		return false
	}
	p.idle[c.address] = append(p.idle[c.address], c)
	return true
}

// CloseIdle closes the idle connections to address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = make(map[string][]*Conn)
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			c.Close()
		}
	}
}

// dialTCP opens a TCP connection that fails if sent data remains unacknowledged
// for too long. It sends no keep-alive probes: TCP_USER_TIMEOUT would end the connection
// after one that is lost, and the limits of an exchange bound each wait.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Control: limitUnacknowledged, KeepAlive: -1}
	return d.DialContext(ctx, "tcp", address)
}

// limitUnacknowledged sets TCP_USER_TIMEOUT (RFC 5482) on a socket.
func limitUnacknowledged(_, _ string, rc syscall.RawConn) error {
	var setErr error
	err := rc.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(defaultUnacknowledgedLimit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
