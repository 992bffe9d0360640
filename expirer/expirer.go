package expirer

import (
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenhub.org/timer"
)

// Options configure an Expirer.
type Options struct {
	// Default holds where SetLimits was not called or names no limit. Without a limit for
	// the bytes of headers, it is that of net/http.
	Default Limits
	Clock   timer.Clock
	Metrics *metrics.Set
}

// Expirer holds the limits in force and the connections under them. It is safe for
// concurrent use.
type Expirer struct {
	opts                               Options
	closedIdle, closedSlow, closedHead *metrics.Counter

	mu     sync.Mutex
	limits Limits
	conns  map[*conn]struct{}
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
	return &Expirer{
		opts: opts, limits: opts.Default, conns: make(map[*conn]struct{}),
		closedIdle: opts.Metrics.GetOrCreateCounter(`cyclamen_expirer_closed_total{limit="idle"}`),
		closedSlow: opts.Metrics.GetOrCreateCounter(`cyclamen_expirer_closed_total{limit="header"}`),
		closedHead: opts.Metrics.GetOrCreateCounter(`cyclamen_expirer_closed_total{limit="headerBytes"}`),
	}
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

// open puts a connection under the limits.
func (e *Expirer) open(tcp *net.TCPConn) *conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := &conn{TCPConn: tcp, expirer: e, limits: e.limits}
	c.wait = newWait(e.opts.Clock.Now(), e.limits, rand.Float64())
	e.conns[c] = struct{}{}
	return c
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

// Accept waits for a connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok && err == nil {
		return l.expirer.open(tcp), nil
	}
	return c, err
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
