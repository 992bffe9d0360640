package router

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/timer"
)

// Defaults of a Config.
const (
	defaultFirstTokenTarget = time.Second
	defaultBound            = 1.25
	defaultReportTTL        = 5 * time.Second
	// defaultPrefillSeconds is the time for one prompt token until it is
	// learnt.
	defaultPrefillSeconds = 1.0 / 5000
	// defaultServiceSeconds is the time of a request until it is learnt.
	defaultServiceSeconds = 5
)

// Config configures a Router.
type Config struct {
	// Clock tells the time; nil means the system's.
	Clock timer.Clock
	// Random yields the random choices; nil means a Seeded from the clock.
	Random Random
	// Metrics receives the counters; nil means a set of its own.
	Metrics *metrics.Set
	// FailureDomain is that of this host.
	FailureDomain identifier.FailureDomain
	// FirstTokenTarget bounds the estimated first token of the groups that are
	// looked at first; 0 means 1 s. A Request may name another.
	FirstTokenTarget time.Duration
	// Bound is how far a server may stand above the mean load of its group
	// before prefixes pass it by; at least 1, 0 means 1.25.
	Bound float64
	// ReportTTL is how long a load report counts; 0 means 5 s.
	ReportTTL time.Duration
}

// withDefaults fills in what was left out.
func (cfg Config) withDefaults() Config {
	if cfg.Clock == nil {
		cfg.Clock = timer.System{}
	}
	if cfg.Random == nil {
		cfg.Random = NewSeeded(uint64(cfg.Clock.Now().UnixNano()))
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	if cfg.FirstTokenTarget <= 0 {
		cfg.FirstTokenTarget = defaultFirstTokenTarget
	}
	if cfg.Bound < 1 {
		cfg.Bound = defaultBound
	}
	if cfg.ReportTTL <= 0 {
		cfg.ReportTTL = defaultReportTTL
	}
	return cfg
}

// Router chooses backend servers for one host. It is safe for concurrent use;
// Choose takes no lock.
type Router struct {
	cfg     Config
	metrics *counters
	view    atomic.Pointer[view]
	shares  shareSketch
	hints   hints
	// scratch holds *[]ranked for the rankings of one Choose.
	scratch sync.Pool

	// mu guards what Publish carries over from one view to the next.
	mu      sync.Mutex
	servers map[identifier.BackendServer]*server
	lastID  uint32
	stats   map[poolKey]*poolStats
}

// New returns a Router without a table.
func New(cfg Config) *Router {
	cfg = cfg.withDefaults()
	r := &Router{
		cfg:     cfg,
		metrics: newCounters(cfg.Metrics),
		servers: make(map[identifier.BackendServer]*server),
		stats:   make(map[poolKey]*poolStats),
	}
	r.scratch.New = func() any { return new([]ranked) }
	r.view.Store(&view{})
	return r
}

// Publish puts a table in force. What this host saw itself of the servers that
// stay is kept.
func (r *Router) Publish(t *Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.resolve(t)
	r.view.Store(v)
	r.forget(v)
}

// forget drops what is kept for servers and versions that are gone.
func (r *Router) forget(v *view) {
	for name := range r.servers {
		if _, ok := v.servers[name]; !ok {
			delete(r.servers, name)
		}
	}
	for key := range r.stats {
		if _, ok := v.pools[key]; !ok {
			delete(r.stats, key)
		}
	}
}

// serverOf returns what is known of a candidate's server. A new incarnation
// starts without suspicion.
func (r *Router) serverOf(c Candidate) *server {
	s, ok := r.servers[c.BackendServer]
	if !ok {
		r.lastID = r.lastID%hintServerMask + 1
		s = &server{id: r.lastID, name: c.BackendServer, hash: xxhash.Sum64String(string(c.BackendServer))}
		r.servers[c.BackendServer] = s
	}
	if s.incarnation.Swap(c.Incarnation) < c.Incarnation {
		s.clear()
		s.report.Store(nil)
	}
	return s
}

// statsOf returns the learnt figures of a version.
func (r *Router) statsOf(key poolKey) *poolStats {
	s, ok := r.stats[key]
	if !ok {
		s = &poolStats{}
		r.stats[key] = s
	}
	return s
}

// known returns the server of that name, or nil.
func (r *Router) known(name identifier.BackendServer) *server {
	return r.view.Load().servers[name]
}

// counters are the router's metrics.
type counters struct {
	byPrefix, byHint, random, spilled, none *metrics.Counter
}

// newCounters registers the router's metrics.
func newCounters(set *metrics.Set) *counters {
	return &counters{
		byPrefix: set.GetOrCreateCounter(`cyclamen_router_choices_total{by="prefix"}`),
		byHint:   set.GetOrCreateCounter(`cyclamen_router_choices_total{by="hint"}`),
		random:   set.GetOrCreateCounter(`cyclamen_router_choices_total{by="random"}`),
		spilled:  set.GetOrCreateCounter(`cyclamen_router_spilled_total`),
		none:     set.GetOrCreateCounter(`cyclamen_router_none_total`),
	}
}
