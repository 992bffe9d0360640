package router

import (
	"slices"
	"time"

	"cyclamenhub.org/identifier"
)

// Request is what the router knows of an attempt.
type Request struct {
	Service identifier.Service
	Version identifier.Version
	// PrefixBlocks are the blocks of the prompt; see Blocks. Nil means that no
	// prefix is known.
	PrefixBlocks []Block
	// PromptTokens is the length of the prompt.
	PromptTokens identifier.Tokens
	// FirstTokenTarget replaces that of the Config where it is not 0.
	FirstTokenTarget time.Duration
	// Exclude rules out servers that earlier attempts went to.
	Exclude []identifier.BackendServer
	// Avoid is a failure domain that is taken only where no other has a live
	// server, after a wave of reclaims.
	Avoid identifier.FailureDomain
}

// finalist is a server that may be chosen, with what is estimated of it.
type finalist struct {
	m      *member
	g      *group
	cached identifier.Tokens
	// first is the estimated time to the first token, wait the part of it that
	// is due to other requests, both in seconds.
	first, wait float64
	idle        bool
	by          reason
}

// reason tells why a server became a finalist.
type reason uint8

const (
	byRandom reason = iota
	byPrefix
	byHint
)

// decision is the state of one call of Choose.
type decision struct {
	r   *Router
	req *Request
	p   *pool
	now time.Time
	// path[:levels] are the levels of the prefix.
	path   [maxLevels]level
	levels int
	// hinted is the server thought to hold most of the prefix, hintDepth blocks.
	hinted    uint32
	hintDepth int
	// limit is the wait that is good enough, in seconds. The time for the prompt
	// itself does not count: it is the same elsewhere.
	limit float64
	// full tells that the group looked at last has hardly a slot free, blind
	// that no report tells of its load.
	full, blind bool
	// strict leaves out suspect servers and the avoided domain.
	strict bool
}

// Choose returns the backend server for an attempt and counts its load until
// the choice is released. The error is a *NoServerError.
func (r *Router) Choose(req Request) (Choice, error) {
	p, ok := r.view.Load().pools[poolKey{req.Service, req.Version}]
	if !ok {
		r.metrics.none.Inc()
		return Choice{}, &NoServerError{Service: req.Service, Version: req.Version}
	}
	d := decision{r: r, req: &req, p: p, now: r.cfg.Clock.Now(), strict: true}
	d.affinity()
	f, ok := d.pick()
	if !ok {
		d.strict = false
		f, ok = d.pick()
	}
	if !ok {
		r.metrics.none.Inc()
		return Choice{}, d.noServer()
	}
	return d.take(f), nil
}

// pick looks at the groups in order and returns the best finalist.
func (d *decision) pick() (finalist, bool) {
	target := d.req.FirstTokenTarget
	if target <= 0 {
		target = d.r.cfg.FirstTokenTarget
	}
	d.limit = target.Seconds() * spillAt
	var best, full finalist
	groups := d.p.plain
	if d.levels > 0 {
		groups = d.p.prefixed
	}
	for _, g := range groups {
		f, ok := d.bestOf(g)
		switch {
		case !ok, full.m != nil && d.blind:
			// A group of which nothing is known is not known to be better.
		case f.wait <= d.limit && !d.full:
			return f, true
		case f.wait <= d.limit && full.m == nil:
			full = f
		case best.m == nil || f.first < best.first:
			best = f
		}
	}
	if full.m != nil {
		return full, true
	}
	return best, best.m != nil
}

// spillAt is the part of the first-token target that a request may wait in a
// group before the next is looked at.
const spillAt = 0.25

// eligible reports whether a server may be chosen. Suspect servers and the
// avoided domain come in only when nothing else is left.
func (d *decision) eligible(m *member) bool {
	if m.State == Gone || m.s.isGone(m.Incarnation) {
		return false
	}
	if d.strict && (m.State == Suspect || m.FailureDomain == d.req.Avoid || m.s.isSuspect(d.now)) {
		return false
	}
	return len(d.req.Exclude) == 0 || !slices.Contains(d.req.Exclude, m.BackendServer)
}

// take turns a finalist into a Choice and notes its prefix.
func (d *decision) take(f finalist) Choice {
	uncached := max(d.req.PromptTokens-f.cached, 1)
	c := Choice{
		BackendServer:   f.m.BackendServer,
		FailureDomain:   f.m.FailureDomain,
		CachedTokens:    f.cached,
		FirstTokenAfter: time.Duration(f.first * float64(time.Second)),
		r:               d.r, s: f.m.s, stats: d.p.stats,
		sent: d.now, idle: f.idle,
		pending: int64(uncached),
	}
	c.hold()
	d.note(f)
	return c
}

// note remembers the prefix and counts the choice.
func (d *decision) note(f finalist) {
	blocks := d.req.PrefixBlocks
	for depth := 1; depth <= len(blocks); depth = nextDepth(depth) {
		d.r.hints.add(blocks[depth-1], f.m.s.id)
	}
	switch f.by {
	case byPrefix:
		d.r.metrics.byPrefix.Inc()
	case byHint:
		d.r.metrics.byHint.Inc()
	case byRandom:
		d.r.metrics.random.Inc()
	}
	if f.m.FailureDomain != d.r.cfg.FailureDomain {
		d.r.metrics.spilled.Inc()
	}
}

// noServer returns the error that tells why nothing could be chosen.
func (d *decision) noServer() error {
	e := &NoServerError{Service: d.req.Service, Version: d.req.Version, Listed: d.p.size}
	for _, g := range d.p.plain {
		for i := range g.members {
			m := &g.members[i]
			switch {
			case m.State == Gone || m.s.isGone(m.Incarnation):
				e.Gone++
			case slices.Contains(d.req.Exclude, m.BackendServer):
				e.Excluded++
			}
		}
	}
	return e
}
