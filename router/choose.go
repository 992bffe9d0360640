package router

import (
	"slices"
	"time"

	"cyclamenhub.org/identifier"
)

// Request describes an attempt to the router.
type Request struct {
	Service identifier.Service
	Version identifier.Version
	// PrefixBlocks are the blocks of the prompt; see Blocks. Nil means that the
	// prefix is unknown.
	PrefixBlocks []Block
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens identifier.Tokens
	// FirstTokenTarget overrides Config.FirstTokenTarget if it is positive.
	FirstTokenTarget time.Duration
	// Exclude lists servers that must not be chosen because earlier attempts
	// went to them.
	Exclude []identifier.BackendServer
	// Avoid is a failure domain that is used only if no other domain has a live
	// server. It is set after many servers of the domain were reclaimed at
	// once.
	Avoid identifier.FailureDomain
}

// serverEstimate is an eligible server with the estimates for the request.
type serverEstimate struct {
	m      *member
	g      *group
	cached identifier.Tokens
	// firstToken is the estimated time to the first token. wait is the part of
	// it that other requests cause. Both are in seconds.
	firstToken, wait float64
	// idle reports whether the server has a free slot and no waiting prompt
	// tokens.
	idle   bool
	reason reason
}

// reason is why a server was considered.
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
	// levels[:levelCount] are the levels of the prefix.
	levels     [maxPrefixLevels]prefixLevel
	levelCount int
	// hintedServer is the id of the server that probably caches most of the
	// prefix, and hintDepth the number of blocks that it caches. 0 means that
	// there is no hint.
	hintedServer uint32
	hintDepth    int
	// maxWait is the wait in seconds up to which a group is accepted. It
	// excludes the time to process the prompt itself, which is the same on
	// other servers.
	maxWait float64
	// nearlyFull reports whether the last group examined has few free slots,
	// and noReports whether no load report covers any of its servers.
	nearlyFull, noReports bool
	// strict excludes suspect servers and the avoided failure domain.
	strict bool
}

// Choose returns the backend server for an attempt and counts the attempt's
// load on it until the Choice is released. The error is a *NoServerError.
func (r *Router) Choose(req Request) (Choice, error) {
	p, ok := r.view.Load().pools[poolKey{req.Service, req.Version}]
	if !ok {
		r.metrics.noServer.Inc()
		return Choice{}, &NoServerError{Service: req.Service, Version: req.Version}
	}
	d := decision{r: r, req: &req, p: p, now: r.cfg.Clock.Now(), strict: true}
	d.splitPrefix()
	est, ok := d.pick()
	if !ok {
		d.strict = false
		est, ok = d.pick()
	}
	if !ok {
		r.metrics.noServer.Inc()
		return Choice{}, d.noServerError()
	}
	return d.newChoice(est), nil
}

// pick examines the groups in order and returns the best server.
func (d *decision) pick() (serverEstimate, bool) {
	target := d.req.FirstTokenTarget
	if target <= 0 {
		target = d.r.cfg.FirstTokenTarget
	}
	d.maxWait = target.Seconds() * spillWaitFraction
	var best, fromNearlyFull serverEstimate
	groups := d.p.groups
	if d.levelCount > 0 {
		groups = d.p.prefixGroups
	}
	for _, g := range groups {
		est, ok := d.bestInGroup(g)
		switch {
		case !ok, fromNearlyFull.m != nil && d.noReports:
			// Without load reports, the later group may be just as full.
		case est.wait <= d.maxWait && !d.nearlyFull:
			return est, true
		case est.wait <= d.maxWait && fromNearlyFull.m == nil:
			fromNearlyFull = est
		case best.m == nil || est.firstToken < best.firstToken:
			best = est
		}
	}
	if fromNearlyFull.m != nil {
		return fromNearlyFull, true
	}
	return best, best.m != nil
}

// spillWaitFraction is the fraction of the first-token target that a request
// may wait in a group before the next group is examined.
const spillWaitFraction = 0.25

// isEligible reports whether a server may be chosen. Suspect servers and
// servers of the avoided failure domain are eligible only if no others are
// left.
func (d *decision) isEligible(m *member) bool {
	if m.State == Gone || m.s.isGone(m.Incarnation) {
		return false
	}
	if d.strict && (m.State == Suspect || m.FailureDomain == d.req.Avoid || m.s.isSuspect(d.now)) {
		return false
	}
	return len(d.req.Exclude) == 0 || !slices.Contains(d.req.Exclude, m.BackendServer)
}

// newChoice makes a Choice of the picked server, adds its load and records it.
func (d *decision) newChoice(est serverEstimate) Choice {
	uncached := max(d.req.PromptTokens-est.cached, 1)
	c := Choice{
		BackendServer:       est.m.BackendServer,
		FailureDomain:       est.m.FailureDomain,
		CachedTokens:        est.cached,
		EstimatedFirstToken: time.Duration(est.firstToken * float64(time.Second)),
		r:                   d.r, s: est.m.s, stats: d.p.stats,
		sent: d.now, idle: est.idle,
		pendingTokens: int64(uncached),
	}
	c.addLoad()
	d.recordChoice(est)
	return c
}

// recordChoice adds the prefix to the cache hints and updates the metrics.
func (d *decision) recordChoice(est serverEstimate) {
	blocks := d.req.PrefixBlocks
	for depth := 1; depth <= len(blocks); depth = nextDepth(depth) {
		d.r.hints.add(blocks[depth-1], est.m.s.id)
	}
	switch est.reason {
	case byPrefix:
		d.r.metrics.byPrefix.Inc()
	case byHint:
		d.r.metrics.byHint.Inc()
	case byRandom:
		d.r.metrics.random.Inc()
	}
	if est.m.FailureDomain != d.r.cfg.FailureDomain {
		d.r.metrics.spilled.Inc()
	}
}

// noServerError returns an error that says why no server could be chosen.
func (d *decision) noServerError() error {
	e := &NoServerError{Service: d.req.Service, Version: d.req.Version, Listed: d.p.size}
	for _, g := range d.p.groups {
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
