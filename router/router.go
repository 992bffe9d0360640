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

// Default values.
const (
	defaultFirstTokenTarget = time.Second
	defaultLoadBound        = 1.25
	defaultReportTTL        = 5 * time.Second
	// defaultPrefillSeconds is the assumed processing time of one prompt token
	// until a measurement exists.
	defaultPrefillSeconds = 1.0 / 5000
	// defaultServiceSeconds is the assumed duration of a request until a
	// measurement exists.
	defaultServiceSeconds = 5
)

// Config configures a Router.
type Config struct {
	// Clock is the source of time; nil means the system clock.
	Clock timer.Clock
	// Random generates the random numbers; nil means a Seeded with a seed from
	// the clock.
	Random Random
	// Metrics receives the router's counters; nil means a new set.
	Metrics *metrics.Set
	// FailureDomain is the failure domain of this host.
	FailureDomain identifier.FailureDomain
	// FirstTokenTarget is the target for the time to the first token. If the
	// wait in a group would take too much of it, the next group is examined. 0
	// means 1 s. A Request may override it.
	FirstTokenTarget time.Duration
	// LoadBound is the largest ratio of a server's load to the mean load of its
	// group at which prefix routing still chooses the server. It is at least 1;
	// 0 means 1.25.
	LoadBound float64
	// ReportTTL is how long a load report is used; 0 means 5 s.
	ReportTTL time.Duration
}

// withDefaults returns cfg with defaults in place of missing or invalid values.
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
	if cfg.LoadBound < 1 {
		cfg.LoadBound = defaultLoadBound
	}
	if cfg.ReportTTL <= 0 {
		cfg.ReportTTL = defaultReportTTL
	}
	return cfg
}

// Router chooses backend servers for one host. It is safe for concurrent use.
// Choose takes no lock.
type Router struct {
	cfg     Config
	metrics *counters
	view    atomic.Pointer[view]
	shares  shareSketch
	hints   cacheHints
	// scratch holds *[]rankedMember buffers for calls of Choose.
	scratch sync.Pool

	// mu guards the state that Publish carries over from one view to the next.
	mu      sync.Mutex
	servers map[identifier.BackendServer]*server
	lastID  uint32
	stats   map[poolKey]*poolStats
}

// New returns a Router with an empty routing table.
func New(cfg Config) *Router {
	cfg = cfg.withDefaults()
	r := &Router{
		cfg:     cfg,
		metrics: newCounters(cfg.Metrics),
		servers: make(map[identifier.BackendServer]*server),
		stats:   make(map[poolKey]*poolStats),
	}
	r.scratch.New = func() any { return new([]rankedMember) }
	r.view.Store(&view{})
	return r
}

// Publish replaces the routing table. The router keeps its own observations of
// servers that are also in the new table.
func (r *Router) Publish(t *Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.resolve(t)
	r.view.Store(v)
	r.removeUnlisted(v)
}

// removeUnlisted deletes the state of servers and versions that are not in v.
func (r *Router) removeUnlisted(v *view) {
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

// serverOf returns the state of a candidate's server and creates it if needed.
// A new incarnation starts without recorded failures or a load report.
func (r *Router) serverOf(c Candidate) *server {
	s, ok := r.servers[c.BackendServer]
	if !ok {
		r.lastID = r.lastID%hintServerMask + 1
		s = &server{id: r.lastID, name: c.BackendServer, hash: xxhash.Sum64String(string(c.BackendServer))}
		r.servers[c.BackendServer] = s
	}
	if s.incarnation.Swap(c.Incarnation) < c.Incarnation {
		s.clearFailures()
		s.report.Store(nil)
	}
	return s
}

// statsOf returns the measurements of a version and creates them if needed.
func (r *Router) statsOf(key poolKey) *poolStats {
	s, ok := r.stats[key]
	if !ok {
		s = &poolStats{}
		r.stats[key] = s
	}
	return s
}

// serverByName returns the state of the named server, or nil if it is not in
// the routing table.
func (r *Router) serverByName(name identifier.BackendServer) *server {
	return r.view.Load().servers[name]
}

// counters are the router's metrics.
type counters struct {
	byPrefix, byHint, random, spilled, noServer *metrics.Counter
}

// newCounters registers the router's metrics in set.
func newCounters(set *metrics.Set) *counters {
	return &counters{
		byPrefix: set.GetOrCreateCounter(`cyclamen_router_choices_total{by="prefix"}`),
		byHint:   set.GetOrCreateCounter(`cyclamen_router_choices_total{by="hint"}`),
		random:   set.GetOrCreateCounter(`cyclamen_router_choices_total{by="random"}`),
		spilled:  set.GetOrCreateCounter(`cyclamen_router_spilled_total`),
		noServer: set.GetOrCreateCounter(`cyclamen_router_none_total`),
	}
}
