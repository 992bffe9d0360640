package expirer

import (
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenhub.org/timer"
)

// leaveTries is how often a connection is tried to admit while others leave, which takes
// them less than leavePause unless the machine is busy.
const (
	leaveTries = 100
	leavePause = 100 * time.Microsecond
)

// Options configure an Expirer.
type Options struct {
	// Default holds where SetLimits was not called or names no limit. Without a limit for
	// the bytes of headers, it is that of net/http.
	Default Limits
	// Connections is how many connections may be open, and HeadMemory how much memory the
	// headers that are not ordinary may take on all of them; 0 means no bound.
	Connections int
	HeadMemory  int64
	Clock       timer.Clock
	Metrics     *metrics.Set
}

// Expirer holds the limits in force and the connections under them. It is safe for
// concurrent use.
type Expirer struct {
	opts                               Options
	closedIdle, closedSlow, closedHead *metrics.Counter
	closedFull                         *metrics.Counter
	connections, headMemory            capacity
	// leaving counts the open connections that are to end so that others have room, and
	// held is the memory that headers are charged with.
	leaving, held atomic.Int64

	mu     sync.Mutex
	limits Limits
	conns  map[*conn]struct{}
	// connectionRoom and headRoom make room for connections and for headers.
	connectionRoom, headRoom room
}

// New returns an Expirer with the default limits in force.
func New(opts Options) *Expirer {
	if opts.Clock == nil {
		opts.Clock = timer.System{}
	}
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewSet()
	}
	if opts.Default.HeadBytes <= 0 {
		opts.Default.HeadBytes = http.DefaultMaxHeaderBytes
	}
	e := &Expirer{
		connections: capacity(opts.Connections), headMemory: capacity(opts.HeadMemory),
		connectionRoom: room{since: (*conn).waitsSince}, headRoom: room{since: (*conn).sendsSince},
		opts: opts, limits: opts.Default, conns: make(map[*conn]struct{}),
		closedIdle: opts.Metrics.GetOrCreateCounter(`cyclamen_expirer_closed_total{limit="idle"}`),
		closedSlow: opts.Metrics.GetOrCreateCounter(`cyclamen_expirer_closed_total{limit="header"}`),
		closedHead: opts.Metrics.GetOrCreateCounter(`cyclamen_expirer_closed_total{limit="headerBytes"}`),
		closedFull: opts.Metrics.GetOrCreateCounter(`cyclamen_expirer_closed_total{limit="room"}`),
	}
	opts.Metrics.GetOrCreateGauge("cyclamen_expirer_connections", func() float64 { return float64(e.open()) })
	return e
}

// SetLimits puts limits in force, for open connections too. The default stands in for a
// limit that is not above 0.
func (e *Expirer) SetLimits(l Limits) {
	if l.Header <= 0 {
		l.Header = e.opts.Default.Header
	}
	if l.Idle <= 0 {
		l.Idle = e.opts.Default.Idle
	}
	if l.HeadBytes <= 0 {
		l.HeadBytes = e.opts.Default.HeadBytes
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if l == e.limits {
		return
	}
	e.limits = l
	for c := range e.conns {
		c.raise(l)
	}
}

// Listener returns a listener whose TCP connections are under the limits. Those of other
// kinds have none.
func (e *Expirer) Listener(ln net.Listener) net.Listener { return &listener{ln, e} }

// open returns the number of connections.
func (e *Expirer) open() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.conns)
}

// admit puts a connection under the limits, and reports false if there is no room for it.
// It waits for connections that leave to have left.
func (e *Expirer) admit(tcp *net.TCPConn) (*conn, bool) {
	for range leaveTries {
		if c, p := e.take(tcp); p != soonFree {
			return c, p == free
		}
		time.Sleep(leavePause)
	}
	return nil, false
}

// take puts a connection under the limits if there is a place for it.
func (e *Expirer) take(tcp *net.TCPConn) (*conn, place) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := e.connectionPlace(); p != free {
		return nil, p
	}
	c := &conn{TCPConn: tcp, expirer: e, limits: e.limits}
	c.wait = newWait(e.opts.Clock.Now(), e.limits, rand.Float64())
	e.conns[c] = struct{}{}
	return c, free
}

// forget removes a connection that is closed.
func (e *Expirer) forget(c *conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.conns, c)
}

// count counts a connection that a limit ends.
func (e *Expirer) count(a activity) {
	if a == idle {
		e.closedIdle.Inc()
	} else {
		e.closedSlow.Inc()
	}
}

// listener puts accepted connections under the limits of an Expirer.
type listener struct {
	net.Listener
	expirer *Expirer
}

// Accept waits for a connection for which there is room. Others are closed at once: those
// who opened them go elsewhere sooner than from the queue of the kernel.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		tcp, ok := c.(*net.TCPConn)
		if !ok || err != nil {
			return c, err
		}
		if taken, ok := l.expirer.admit(tcp); ok {
			return taken, nil
		}
		l.expirer.closedFull.Inc()
		_ = tcp.Close()
	}
}

// Times by which a server says what it waits for.
const (
	headerMark = 365 * 24 * time.Hour
	idleMark   = 3 * headerMark
)

// Prepare sets the limits of a server so that it asks the connections of a Listener for
// theirs.
func Prepare(s *http.Server) {
	s.ReadHeaderTimeout, s.IdleTimeout, s.MaxHeaderBytes = headerMark, idleMark, math.MaxInt32
}
