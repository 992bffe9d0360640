package placer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/timer"
)

const (
	// echoPart is the part of what this host placed since it heard of the others
	// that each of them is thought to have placed there too, and echoHosts how
	// many of them count: what one host of many places says little of the rest.
	echoPart  = 0.5
	echoHosts = 7
	// othersFor is how long the figures of other hosts hold.
	othersFor = 1500 * time.Millisecond
)

// Options configure a Placer.
type Options struct {
	// FailureDomain is that of this host.
	FailureDomain identifier.FailureDomain
	Clock         timer.Clock
	// Random yields the random choices; nil means a source seeded by the clock.
	Random  *rand.Rand
	Metrics *metrics.Set
}

// Placer chooses backend servers for one host. It is safe for concurrent use.
type Placer struct {
	opts Options

	mu      sync.Mutex
	servers map[identifier.BackendServer]*state
	pools   map[pool][]*state
	// unreached is what this host knows of failure domains that it may be cut
	// off from.
	unreached map[identifier.FailureDomain]*cutOff
	// heard is when the figures of the others came, and hosts how many hosts
	// place calls.
	heard time.Time
	hosts int

	atHome, elsewhere, none *metrics.Counter
}

// pool names the servers that answer the same calls.
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
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewSet()
	}
	return &Placer{
		opts: opts, hosts: 1, servers: make(map[identifier.BackendServer]*state),
		unreached: make(map[identifier.FailureDomain]*cutOff),
		atHome:    opts.Metrics.GetOrCreateCounter(`cyclamen_placer_choices_total{at="home"}`),
		elsewhere: opts.Metrics.GetOrCreateCounter(`cyclamen_placer_choices_total{at="elsewhere"}`),
		none:      opts.Metrics.GetOrCreateCounter(`cyclamen_placer_none_total`),
	}
}

// Publish replaces the servers. What is known of those that stay is kept.
func (p *Placer) Publish(servers []Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[identifier.BackendServer]*state, len(servers))
	pools := make(map[pool][]*state)
	for _, s := range servers {
		st, ok := p.servers[s.ID]
		if !ok || st.Incarnation != s.Incarnation {
			st = newState(s)
		}
		st.Server = s
		next[s.ID] = st
		key := pool{s.Service, s.Version}
		pools[key] = append(pools[key], st)
	}
	for _, list := range pools {
		slices.SortFunc(list, func(a, b *state) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
	}
	p.servers, p.pools = next, pools
}

// SetOthers takes what other hosts have at work, and how many hosts there are.
func (p *Placer) SetOthers(loads map[identifier.BackendServer]Load, hosts int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, s := range p.servers {
		s.others, s.since = loads[id], Load{}
	}
	p.heard, p.hosts = p.opts.Clock.Now(), max(hosts, 1)
}

// Loads returns what this host has at work.
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

// load returns what is thought to be at work at a server. The caller holds mu.
func (p *Placer) load(s *state, now time.Time) Load {
	if now.Sub(p.heard) > othersFor {
		return s.own.times(float64(p.hosts))
	}
	return s.own.Plus(s.others).Plus(s.since.times(echoPart * float64(min(p.hosts-1, echoHosts))))
}

// NoServerError tells that no backend server may be chosen.
type NoServerError struct {
	Service identifier.Service
	Version identifier.Version
	// Listed counts the servers of that version, and Excluded those of them that
	// were ruled out.
	Listed, Excluded int
}

// Error returns the message and the remedy.
func (e *NoServerError) Error() string {
	return fmt.Sprintf("no backend server of %s version %s can take the call (%d listed, %d tried already): order more or wait for one that starts",
		e.Service, e.Version, e.Listed, e.Excluded)
}

// Choose returns the server for a call and counts its load until the choice
// ends. The error is a *NoServerError.
func (p *Placer) Choose(r Request) (*Choice, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Clock.Now()
	all := p.pools[pool{r.Service, r.Version}]
	candidates := eligible(all, &r, func(s *state) bool {
		return !s.Leaving && !s.isSuspect(now) && !s.isMute(now) && !p.unreached[s.FailureDomain].isLikely(now)
	})
	if len(candidates) == 0 {
		candidates = eligible(all, &r, func(s *state) bool { return !s.Leaving })
	}
	if len(candidates) == 0 {
		p.none.Inc()
		return nil, &NoServerError{Service: r.Service, Version: r.Version, Listed: len(all), Excluded: len(r.Exclude)}
	}
	return p.take(p.best(candidates, &r, now), &r, now), nil
}

// eligible returns the servers that a call may go to.
func eligible(all []*state, r *Request, ok func(*state) bool) []*state {
	var out []*state
	for _, s := range all {
		if ok(s) && !slices.Contains(r.Exclude, s.ID) {
			out = append(out, s)
		}
	}
	return out
}

// bid is a server with what a call is thought to cost there.
type bid struct {
	s       *state
	cost    float64
	firstMs float64
	unread  identifier.Tokens
	isHome  bool
}

// best returns the cheapest server. The caller holds mu.
func (p *Placer) best(candidates []*state, r *Request, now time.Time) bid {
	home := r.home(candidates)
	var best bid
	for _, s := range p.sample(candidates, r, home, now) {
		b := bid{s: s, isHome: s.ID == home}
		l := p.load(s, now)
		if s.Engine {
			b.unread = r.unread(s, b.isHome, now)
			b.cost, b.firstMs = engineCost(s, l, r, b.unread)
		} else {
			b.cost = plainCost(s, l, s.FailureDomain != p.opts.FailureDomain)
		}
		b.cost *= s.slowness.get(now) * (1 + failPenalty*s.failing.get(now))
		if best.s == nil || b.cost < best.cost {
			best = b
		}
	}
	return best
}

// sampleSize is how many servers are compared beside the home of a prompt and
// those that hold it. Figures of others are stale, and with many hosts all would
// choose the one server that has just come; the best of a few is nearly as good
// (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001).
const sampleSize = 6

// sample returns the servers that are compared. The caller holds mu.
func (p *Placer) sample(candidates []*state, r *Request, home identifier.BackendServer, now time.Time) []*state {
	if len(candidates) <= sampleSize {
		return candidates
	}
	shared := r.shared()
	first := p.opts.Random.IntN(len(candidates))
	var out []*state
	random := 0
	for i := range candidates {
		s := candidates[(first+i*sampleStride(len(candidates)))%len(candidates)]
		switch {
		case s.ID == home, len(shared) > 0 && s.holds(shared[len(shared)-1].ID, now):
			out = append(out, s)
		case random < sampleSize:
			random++
			out = append(out, s)
		}
	}
	return out
}

// sampleStride returns a step that visits each of n places once and spreads a
// sample over the list, which is ordered by name.
func sampleStride(n int) int {
	for _, prime := range []int{7919, 7907, 7901} {
		if n%prime != 0 {
			return prime
		}
	}
	return 1
}

// take counts the load of a choice. The caller holds mu.
func (p *Placer) take(b bid, r *Request, now time.Time) *Choice {
	c := &Choice{p: p, s: b.s, at: now, firstMs: b.firstMs, Server: b.s.ID, Unread: b.unread}
	c.load = Load{Running: 1, Unread: b.unread, Context: r.Prompt + r.Output/2}
	if !b.s.Engine {
		c.load = Load{Running: 1}
	}
	b.s.own = b.s.own.Plus(c.load)
	b.s.since = b.s.since.Plus(c.load)
	b.s.waiting = append(b.s.waiting, c)
	if b.s.Engine {
		b.s.hold(r.shared(), now)
	}
	if b.isHome {
		p.atHome.Inc()
	} else {
		p.elsewhere.Inc()
	}
	return c
}
