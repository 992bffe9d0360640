package placer

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/pacer"
	"cyclamenhub.org/permitter"
	"cyclamenhub.org/reserver"
	"cyclamenhub.org/timer"
)

const (
	// peerPlacementRatio is the fraction of the load that this host has placed
	// since the last report which each other host is assumed to have placed at
	// the same server. maxPeers caps the number of other hosts counted, because
	// with many hosts the load of one says little about the rest.
	peerPlacementRatio = 0.5
	maxPeers           = 7
	// othersMaxAge is how long the reported load of other hosts is valid.
	othersMaxAge = 1500 * time.Millisecond
)

// Options configure a Placer.
type Options struct {
	// FailureDomain is the failure domain of this host.
	FailureDomain identifier.FailureDomain
	Clock         timer.Clock
	// Random is the source of randomness; nil means one seeded from the clock.
	Random  *rand.Rand
	Metrics *metrics.Set
	// ReportNow is called when the leader is to be told at once: servers may start, or
	// a long prompt was placed, which others have to keep clear of. It must not block;
	// nil means that there is no leader.
	ReportNow func()
	// Run identifies the start of this process. PlacesNow is called when the leader is to
	// be told at once of places at brittle servers. It must not block; nil means that
	// there is no leader.
	Run       uint64
	PlacesNow func()
}

// Placer chooses backend servers for one host. It is safe for concurrent use.
type Placer struct {
	opts Options

	mu      sync.Mutex
	servers map[identifier.BackendServer]*serverState
	pools   map[pool][]*serverState
	// unreachable holds the connection failures of failure domains from which
	// this host may be partitioned.
	unreachable map[identifier.FailureDomain]*domainFailures
	// othersAt is when the load of other hosts was last reported, hosts the
	// number of hosts that place calls.
	othersAt time.Time
	hosts    int
	// permits are for requests to servers with a limit.
	permits *permitter.Holder
	// places are for calls at brittle servers.
	places *reserver.Holder
	// paces are the speeds of the servers.
	paces *pacer.Meter
	// hasWarmUps is whether this host has found servers that may start and not
	// reported them.
	hasWarmUps bool
	// trials are the budgets for trials of the pools of plain services.
	trials map[pool]*trialBudget
	// evacuated are the failure domains whose servers get no new calls.
	evacuated map[identifier.FailureDomain]bool

	atHome, elsewhere, noServer, limited, trialsMade *metrics.Counter
}

// pool identifies the servers of one version of a service.
type pool struct {
	service identifier.Service
	version identifier.Version
}

// New returns a Placer without servers.
func New(opts Options) *Placer {
	if opts.Clock == nil {
		opts.Clock = timer.System{}
	}
	if opts.Random == nil {
		opts.Random = rand.New(rand.NewPCG(uint64(opts.Clock.Now().UnixNano()), 1))
	}
	if opts.PlacesNow == nil {
		opts.PlacesNow = func() {}
	}
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewSet()
	}
	p := &Placer{
		opts: opts, hosts: 1, permits: permitter.NewHolder(opts.Random), places: reserver.NewHolder(opts.Random, opts.Run), paces: pacer.NewMeter(), servers: make(map[identifier.BackendServer]*serverState),
		unreachable: make(map[identifier.FailureDomain]*domainFailures),
		trials:      make(map[pool]*trialBudget),
		atHome:      opts.Metrics.GetOrCreateCounter(`cyclamen_placer_choices_total{at="home"}`),
		elsewhere:   opts.Metrics.GetOrCreateCounter(`cyclamen_placer_choices_total{at="elsewhere"}`),
		noServer:    opts.Metrics.GetOrCreateCounter(`cyclamen_placer_none_total`),
		limited:     opts.Metrics.GetOrCreateCounter(`cyclamen_placer_limited_total`),
		trialsMade:  opts.Metrics.GetOrCreateCounter(`cyclamen_placer_trials_total`),
	}
	opts.Metrics.GetOrCreateGauge(`cyclamen_placer_limited_servers`, func() float64 { return float64(p.limitedServers()) })
	opts.Metrics.GetOrCreateGauge(`cyclamen_placer_cold_servers`, func() float64 { return float64(p.coldServers()) })
	opts.Metrics.GetOrCreateGauge(`cyclamen_placer_pace_age_seconds`, func() float64 { return p.paceAge().Seconds() })
	opts.Metrics.GetOrCreateGauge(`cyclamen_placer_paused_servers`, func() float64 {
		now := p.opts.Clock.Now()
		return p.countServers(func(s *serverState) bool { return now.Before(s.announced.pausedUntil) })
	})
	opts.Metrics.GetOrCreateGauge(`cyclamen_placer_leaving_servers`, func() float64 {
		return p.countServers(func(s *serverState) bool { return s.announced.isLeaving })
	})
	return p
}

// countServers returns the number of servers that satisfy ok.
func (p *Placer) countServers(ok func(*serverState) bool) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, s := range p.servers {
		if ok(s) {
			n++
		}
	}
	return float64(n)
}

// Publish replaces the list of servers. The state of a server with the same id
// and incarnation is kept.
func (p *Placer) Publish(servers []Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[identifier.BackendServer]*serverState, len(servers))
	pools := make(map[pool][]*serverState)
	for _, s := range servers {
		st, ok := p.servers[s.ID]
		if !ok || st.Incarnation != s.Incarnation {
			st = newServerState(s)
		}
		st.Server = s
		next[s.ID] = st
		key := pool{s.Service, s.Version}
		pools[key] = append(pools[key], st)
	}
	for _, list := range pools {
		slices.SortFunc(list, func(a, b *serverState) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
	}
	p.servers, p.pools = next, pools
	maps.DeleteFunc(p.trials, func(key pool, _ *trialBudget) bool { return len(pools[key]) == 0 })
	p.beginWarmUps(servers)
	p.separate()
	isListed := func(key identifier.ServerRun) bool {
		s, ok := next[key.ID]
		return ok && s.Incarnation == key.Incarnation
	}
	p.permits.Retain(isListed)
	p.places.Retain(isListed)
	p.paces.Retain(isListed)
}

// SetRemoteLoads sets the load placed by other hosts and the number of hosts.
func (p *Placer) SetRemoteLoads(loads map[identifier.BackendServer]Load, hosts int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, s := range p.servers {
		s.others, s.sinceReport = loads[id], Load{}
	}
	p.othersAt, p.hosts = p.opts.Clock.Now(), max(hosts, 1)
}

// Loads returns the load that this host has placed, without idle servers.
func (p *Placer) Loads() map[identifier.BackendServer]Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[identifier.BackendServer]Load)
	for id, s := range p.servers {
		if s.own != (Load{}) {
			out[id] = s.own
		}
	}
	return out
}

// load returns the estimated load of a server from all hosts. If the reported
// load of other hosts is older than othersMaxAge, it assumes that every host has
// placed the same load there as this one. The caller holds mu.
func (p *Placer) load(s *serverState, now time.Time) Load {
	if now.Sub(p.othersAt) > othersMaxAge {
		return s.own.times(float64(p.hosts))
	}
	return s.own.Plus(s.others).Plus(s.sinceReport.times(peerPlacementRatio * float64(min(p.hosts-1, maxPeers))))
}

// NoServerError reports that no backend server can be chosen.
type NoServerError struct {
	Service identifier.Service
	Version identifier.Version
	// Listed is the number of servers of that version, Evacuated the number of
	// those in evacuated failure domains, Excluded the number of servers that the
	// request excluded, and Paused the number of the others that want no calls for
	// some time.
	Listed, Evacuated, Excluded, Paused int
	// Wait is the time after which the first of the paused servers takes calls
	// again, 0 if there is none.
	Wait time.Duration
}

// Error returns the message with the counts and a remedy.
func (e *NoServerError) Error() string {
	if e.Evacuated > 0 && e.Evacuated == e.Listed {
		return fmt.Sprintf("all %d backend servers of %s version %s are in evacuated failure domains: end an evacuation or order servers elsewhere",
			e.Listed, e.Service, e.Version)
	}
	return fmt.Sprintf("no backend server of %s version %s can take the call (%d listed, %d evacuated, %d tried already, %d want no calls for %v): order more or wait for one that starts",
		e.Service, e.Version, e.Listed, e.Evacuated, e.Excluded, e.Paused, e.Wait.Round(time.Millisecond))
}

// Choose returns the server for a call and adds the load of the call to it
// until the choice ends. The error is a *NoServerError or a *LimitedError.
func (p *Placer) Choose(r Request) (*Choice, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Clock.Now()
	all := p.pools[pool{r.Service, r.Version}]
	c := p.classify(all, &r, now)
	candidates := c.healthy
	if len(candidates) == 0 && len(c.unplaced) > 0 {
		if e := p.unplacedError(c.unplaced, &r, now); e.Asks || len(c.suspect) == 0 {
			return nil, e
		}
	}
	if len(candidates) == 0 {
		candidates = c.suspect
	}
	switch {
	case len(candidates) > 0:
	case len(c.withheld) > 0:
		return nil, p.limitedError(c.withheld, &r, now)
	default:
		return nil, p.noServerError(all, &r, now)
	}
	p.wantPermits(c.withheld, now)
	return p.assign(p.cheapest(candidates, &r, now), &r, now), nil
}

// classes are the servers that take calls and are not excluded, each in one
// class.
type classes struct {
	// healthy servers can be chosen, suspect ones only if there is no other.
	healthy, suspect []*serverState
	// withheld servers have a limit, and this host has no permit for them.
	withheld []*serverState
	// unplaced servers are brittle, and this host has no free place there.
	unplaced []*serverState
}

// classify returns the classes of the servers of a version. The caller holds mu.
func (p *Placer) classify(all []*serverState, r *Request, now time.Time) classes {
	c := classes{healthy: make([]*serverState, 0, len(all))}
	for _, s := range all {
		switch {
		case p.evacuated[s.FailureDomain], !r.mayRunIn(s.Region):
		case s.Leaving, !s.announced.takesCalls(now), slices.Contains(r.Exclude, s.ID):
		case !p.permits.Available(now, s.run()):
			c.withheld = append(c.withheld, s)
		case !p.places.Available(now, s.placed(), s.own.Running):
			c.unplaced = append(c.unplaced, s)
		case p.isSuspect(s, now):
			c.suspect = append(c.suspect, s)
		default:
			c.healthy = append(c.healthy, s)
		}
	}
	return c
}

// isSuspect reports whether a server seems to be down. The caller holds mu.
func (p *Placer) isSuspect(s *serverState, now time.Time) bool {
	return s.inBackoff(now) || s.isUnresponsive(now) || p.unreachable[s.FailureDomain].isCutOff(now)
}

// estimate is the estimated cost of a call at a server.
type estimate struct {
	state        *serverState
	cost         float64
	firstTokenMs float64
	// baseMs is the time in milliseconds for the prompts by the constants.
	baseMs float64
	// waitMs is the part of the time to the first content for which the call waits
	// for others, in milliseconds.
	waitMs float64
	// trialCost is the cost of a call at a plain service where an old measurement
	// counts for less.
	trialCost float64
	uncached  identifier.Tokens
	isHome    bool
}

// cheapest returns the server with the lowest estimated cost, or one whose trial is
// due. The caller holds mu.
func (p *Placer) cheapest(candidates []*serverState, r *Request, now time.Time) estimate {
	candidates = p.ofSize(candidates, r)
	home := r.home(candidates)
	var best, trial estimate
	usual := usualSeconds(candidates)
	for _, s := range p.sample(candidates, r, home, now) {
		e := estimate{state: s, isHome: s.ID == home}
		l, plainMs := p.load(s, now), 0.0
		if s.Engine {
			e.uncached = r.uncachedTokens(s, e.isHome, now)
			pace := p.paceOf(s, now)
			e.cost, e.firstTokenMs = engineCost(s, l, r, e.uncached, pace)
			e.baseMs = float64(l.Unread+e.uncached) / prefillTokensPerMs
			e.waitMs = engineWait(s, l, pace)
		} else {
			plainMs = plainCost(s, l, usual)
			e.cost = plainMs
			if s.FailureDomain != p.opts.FailureDomain {
				e.cost += crossDomainMs
			}
			e.waitMs = plainWait(s, l)
		}
		e.cost *= s.slowness.get(now) * (1 + failurePenalty*s.failureRate.get(now))
		e.trialCost = s.trialCost(e, l, plainMs, now)
		if best.state == nil || e.cost < best.cost {
			best = e
		}
		if trial.state == nil || e.trialCost < trial.trialCost {
			trial = e
		}
	}
	return p.orTrial(best, trial, r)
}

// sampleSize is the number of servers that are compared in addition to the home
// server of a prompt and those that have it cached. The load reported by other
// hosts is stale, so in a large fleet all hosts would choose the one server
// that has just started. The best of a small sample is nearly as good
// (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing",
// 2001).
const sampleSize = 6

// sample returns the servers to compare. The caller holds mu.
func (p *Placer) sample(candidates []*serverState, r *Request, home identifier.BackendServer, now time.Time) []*serverState {
	if len(candidates) <= sampleSize {
		return candidates
	}
	shared, size := describer.SharedParts(r.Parts), sampleSize
	if candidates[0].Engine && p.isLong(candidates[0], r) {
		// All hosts would choose the servers that have its shared parts, where the call
		// would wait longer for others than the parts take to be read again.
		home, shared, size = "", nil, longSampleSize
	}
	first := p.opts.Random.IntN(len(candidates))
	var out []*serverState
	random := 0
	for i := range candidates {
		s := candidates[(first+i*sampleStride(len(candidates)))%len(candidates)]
		switch {
		case s.ID == home, len(shared) > 0 && s.hasCached(shared[len(shared)-1].ID, now):
			out = append(out, s)
		case random < size:
			random++
			out = append(out, s)
		}
	}
	return out
}

// sampleStride returns a step that visits each of n indices once and spreads
// the sample over the list, which is sorted by id.
func sampleStride(n int) int {
	for _, prime := range []int{7919, 7907, 7901} {
		if n%prime != 0 {
			return prime
		}
	}
	return 1
}

// assign adds the load of a call to the chosen server. The caller holds mu.
func (p *Placer) assign(e estimate, r *Request, now time.Time) *Choice {
	if e.state.Engine {
		isLong := p.isLong(e.state, r)
		p.paces.Placed(e.state.Service, time.Duration(float64(e.uncached)/prefillTokensPerMs*float64(time.Millisecond)), isLong)
		if isLong {
			p.reportNow()
		}
	}
	c := &Choice{Responder: Responder{p, e.state}, chosenAt: now, firstTokenMs: e.firstTokenMs, baseMs: e.baseMs, waitMs: e.waitMs, Server: e.state.ID, Uncached: e.uncached}
	c.load = Load{Running: 1, Unread: e.uncached, Context: r.Prompt + r.Output/2}
	if !e.state.Engine {
		c.load = Load{Running: 1}
	}
	e.state.announced.begin(c)
	c.permit = p.permits.Spend(now, e.state.run())
	e.state.own = e.state.own.Plus(c.load)
	p.places.Began(now, e.state.placed(), e.state.own.Running)
	e.state.sinceReport = e.state.sinceReport.Plus(c.load)
	e.state.awaitingFirst = append(e.state.awaitingFirst, c)
	e.state.triedAt = now
	if e.state.Engine {
		e.state.recordCached(describer.SharedParts(r.Parts), now)
	}
	if e.isHome {
		p.atHome.Inc()
	} else {
		p.elsewhere.Inc()
	}
	return c
}
