package router

import "cyclamenhub.org/identifier"

// nearlyFullFraction is the fraction of a group's slots above which the next
// group is examined, so that requests move on before they have to wait.
const nearlyFullFraction = 0.85

// randomProbes is the largest number of random picks in search of eligible
// servers.
const randomProbes = 8

// bestInGroup returns the server of a group with the earliest estimated first
// token.
func (d *decision) bestInGroup(g *group) (serverEstimate, bool) {
	var best serverEstimate
	consider := func(m *member, by reason, warm int) {
		est := d.estimate(g, m, warm)
		est.reason = by
		if best.m == nil || est.firstToken < best.firstToken {
			best = est
		}
	}
	d.nearlyFull, d.noReports = false, false
	if d.levelCount > 0 {
		d.considerByPrefix(g, consider)
	}
	if best.m == nil {
		d.considerRandom(g, consider)
	}
	return best, best.m != nil
}

// considerByPrefix selects a smaller server set for each level of the prefix.
// It considers two random servers of the smallest set that has a server below
// the load bound, and the hinted server.
//
// If every server of a set is above the bound, the set is widened in its
// rendezvous order. All hosts share this order, so the overflow of a prefix is
// cached by few servers. If that is not enough, the enclosing sets are tried:
// their servers cache the prefix except for its last levels.
func (d *decision) considerByPrefix(g *group, consider func(*member, reason, int)) {
	scratch := d.r.scratch.Get().(*[]rankedMember)
	defer d.r.scratch.Put(scratch)
	s := d.eligibleMembers(g, *scratch)
	*scratch = s.members
	var sizes, warm [maxPrefixLevels + 1]int
	n := len(s.members)
	if n == 0 {
		return
	}
	d.nearlyFull, d.noReports = float64(s.load+1) > nearlyFullFraction*s.capacity, s.noReports
	sizes[0] = n
	for i := range d.levelCount {
		l := &d.levels[i]
		k := min(d.replicaCount(l, n), sizes[i])
		if k < sizes[i] {
			g.rank(l.key, s.members[:sizes[i]], k)
		}
		sizes[i+1], warm[i+1] = k, warm[i]
		if d.r.shares.requestCount(l.share) >= minWarmUses*float64(k) {
			warm[i+1] = l.depth
		}
	}
	d.considerByHint(&s, consider)
	if d.considerTwo(&s, sizes[d.levelCount], warm[d.levelCount], consider) {
		return
	}
	for i := d.levelCount; i > 0; i-- {
		for k := sizes[i]; k*widenMinRatio < sizes[i-1]; k *= widenFactor {
			g.rank(d.levels[i-1].key, s.members[:sizes[i-1]], k)
			if d.considerTwo(&s, k, warm[i-1], consider) {
				return
			}
		}
	}
	d.considerTwo(&s, n, 0, consider)
}

// A set whose servers are all above the bound is widened by widenFactor while
// the enclosing set is more than widenMinRatio times as large. Beyond that the
// enclosing set is used immediately: hosts with outdated load figures that all
// overflow to the same few servers overload these one after another.
const (
	widenFactor   = 2
	widenMinRatio = 4
)

// considerByHint considers the server that probably caches most of the prefix.
func (d *decision) considerByHint(s *memberSet, consider func(*member, reason, int)) {
	if d.hintedServer == 0 {
		return
	}
	for i := range s.members {
		if t := &s.members[i]; t.m.s.id == d.hintedServer && s.isBelowBound(d.r.cfg.LoadBound, t) {
			consider(t.m, byHint, 0)
		}
	}
}

// minWarmUses is how many recent requests with a level each server of the
// level's set must have received, on average, before the set counts as having
// it cached.
const minWarmUses = 2

// considerTwo considers two random servers below the bound out of the first n
// members, or the only one, and reports whether there was any. It reorders the
// first n members.
func (d *decision) considerTwo(s *memberSet, n, warm int, consider func(*member, reason, int)) bool {
	set := s.members[:n]
	below := 0
	for i := range set {
		if s.isBelowBound(d.r.cfg.LoadBound, &set[i]) {
			set[i], set[below] = set[below], set[i]
			below++
		}
	}
	if below == 0 {
		return false
	}
	i := randomIndex(d.r.cfg.Random, below)
	consider(set[i].m, byPrefix, warm)
	if below > 1 {
		j := randomIndex(d.r.cfg.Random, below-1)
		if j >= i {
			j++
		}
		consider(set[j].m, byPrefix, warm)
	}
	return true
}

// considerRandom considers two random eligible servers. If the random picks
// find none, it considers every eligible server.
func (d *decision) considerRandom(g *group, consider func(*member, reason, int)) {
	found := 0
	for range randomProbes {
		m := &g.members[randomIndex(d.r.cfg.Random, len(g.members))]
		if !d.isEligible(m) {
			continue
		}
		consider(m, byRandom, 0)
		if found++; found == 2 {
			return
		}
	}
	if found > 0 {
		return
	}
	for i := range g.members {
		if m := &g.members[i]; d.isEligible(m) {
			consider(m, byRandom, 0)
		}
	}
}

// estimate returns the estimates for a request on a server. The time to the
// first token is the wait for a slot, the processing time of the waiting prompt
// tokens and of the request's own, and the delay of recent first tokens beyond
// their estimates.
func (d *decision) estimate(g *group, m *member, warm int) serverEstimate {
	blocks := float64(len(d.req.PrefixBlocks) + 1)
	cached := float64(d.req.PromptTokens) * float64(d.cachedBlocks(m, warm)) / blocks
	requests, waiting := float64(m.s.inFlight.Load()), float64(m.s.pendingTokens.Load())
	if p := m.s.freshReport(d.now, d.r.cfg.ReportTTL); p != nil {
		requests += float64(p.requests)
	}
	perToken := d.p.stats.prefill.value(defaultPrefillSeconds)
	if m.PrefillRate > 0 {
		perToken = 1 / m.PrefillRate
	}
	slots := float64(m.Concurrency)
	wait := waiting*perToken + m.s.firstTokenDelay.value(d.now)
	if requests >= slots {
		wait += (requests - slots + 1) / slots * d.p.stats.service.value(defaultServiceSeconds)
	}
	return serverEstimate{
		m: m, g: g,
		cached:     identifier.Tokens(cached),
		wait:       wait,
		firstToken: wait + (float64(d.req.PromptTokens)-cached)*perToken,
		idle:       waiting == 0 && requests < slots,
	}
}
