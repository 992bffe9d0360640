package router

import "cyclamenhub.org/identifier"

// fullPart is the part of a group's slots beyond which the next group is looked
// at, before anything has to wait.
const fullPart = 0.85

// randomProbes bounds the random tries for a server that may be chosen.
const randomProbes = 8

// bestOf returns the best finalist of a group.
func (d *decision) bestOf(g *group) (finalist, bool) {
	var best finalist
	consider := func(m *member, by reason, warm int) {
		f := d.estimate(g, m, warm)
		f.by = by
		if best.m == nil || f.first < best.first {
			best = f
		}
	}
	d.full, d.blind = false, false
	if d.levels > 0 {
		d.byPrefix(g, consider)
	}
	if best.m == nil {
		d.byRandom(g, consider)
	}
	return best, best.m != nil
}

// byPrefix narrows the group down level by level and considers two random
// servers of the narrowest set that has one below the bound, and the server
// that is thought to hold most of the prefix. A set that is above the bound is
// widened along its own order, which all hosts share, so that few servers hold
// what overflows; then the sets around it are tried, whose servers hold the
// prefix but for the last level.
func (d *decision) byPrefix(g *group, consider func(*member, reason, int)) {
	scratch := d.r.scratch.Get().(*[]ranked)
	defer d.r.scratch.Put(scratch)
	s := d.stand(g, *scratch)
	*scratch = s.set
	var sizes, warm [maxLevels + 1]int
	n := len(s.set)
	if n == 0 {
		return
	}
	d.full, d.blind = float64(s.load+1) > fullPart*s.capacity, s.blind
	sizes[0] = n
	for i := range d.levels {
		l := &d.path[i]
		k := min(d.replicas(l, n), sizes[i])
		if k < sizes[i] {
			g.rank(l.key, s.set[:sizes[i]], k)
		}
		sizes[i+1], warm[i+1] = k, warm[i]
		if d.r.shares.count(l.share) >= warmUses*float64(k) {
			warm[i+1] = l.depth
		}
	}
	d.byHint(&s, consider)
	if d.twoOf(&s, sizes[d.levels], warm[d.levels], consider) {
		return
	}
	for i := d.levels; i > 0; i-- {
		for k := sizes[i]; k*narrow < sizes[i-1]; k *= widen {
			g.rank(d.path[i-1].key, s.set[:sizes[i-1]], k)
			if d.twoOf(&s, k, warm[i-1], consider) {
				return
			}
		}
	}
	d.twoOf(&s, n, 0, consider)
}

// A set that is above the bound is widened by a factor while it is narrower
// than a part of the set around it. A wider one gives way at once: with stale
// loads, hosts that all overflow to the same few servers overload them in turn.
const (
	widen  = 2
	narrow = 4
)

// byHint considers the server that is thought to hold most of the prefix.
func (d *decision) byHint(s *standing, consider func(*member, reason, int)) {
	if d.hinted == 0 {
		return
	}
	for i := range s.set {
		if t := &s.set[i]; t.m.s.id == d.hinted && s.below(d.r.cfg.Bound, t) {
			consider(t.m, byHint, 0)
		}
	}
}

// warmUses is how often each server of a level's set must have been sent the
// level lately to be thought to hold it.
const warmUses = 2

// twoOf considers two random servers, of the first n, that are below the bound,
// or the only one, and reports whether there was any. The order of the set is
// not kept.
func (d *decision) twoOf(s *standing, n, warm int, consider func(*member, reason, int)) bool {
	set := s.set[:n]
	within := 0
	for i := range set {
		if s.below(d.r.cfg.Bound, &set[i]) {
			set[i], set[within] = set[within], set[i]
			within++
		}
	}
	if within == 0 {
		return false
	}
	i := below(d.r.cfg.Random, within)
	consider(set[i].m, byPrefix, warm)
	if within > 1 {
		j := below(d.r.cfg.Random, within-1)
		if j >= i {
			j++
		}
		consider(set[j].m, byPrefix, warm)
	}
	return true
}

// byRandom considers two random servers.
func (d *decision) byRandom(g *group, consider func(*member, reason, int)) {
	found := 0
	for range randomProbes {
		m := &g.members[below(d.r.cfg.Random, len(g.members))]
		if !d.eligible(m) {
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
		if m := &g.members[i]; d.eligible(m) {
			consider(m, byRandom, 0)
		}
	}
}

// estimate returns a finalist with its time to the first token: the wait for a
// slot, the prompt tokens that wait and the request's own, and what recent
// first tokens came later than that.
func (d *decision) estimate(g *group, m *member, warm int) finalist {
	blocks := float64(len(d.req.PrefixBlocks) + 1)
	cached := float64(d.req.PromptTokens) * float64(d.cachedOn(m, warm)) / blocks
	requests, waiting := float64(m.s.inFlight.Load()), float64(m.s.pending.Load())
	if p := m.s.fresh(d.now, d.r.cfg.ReportTTL); p != nil {
		requests += float64(p.requests)
	}
	perToken := d.p.stats.prefill.value(defaultPrefillSeconds)
	if m.PrefillRate > 0 {
		perToken = 1 / m.PrefillRate
	}
	slots := float64(m.Concurrency)
	wait := waiting*perToken + m.s.excess.value(d.now)
	if requests >= slots {
		wait += (requests - slots + 1) / slots * d.p.stats.service.value(defaultServiceSeconds)
	}
	return finalist{
		m: m, g: g,
		cached: identifier.Tokens(cached),
		wait:   wait,
		first:  wait + (float64(d.req.PromptTokens)-cached)*perToken,
		idle:   waiting == 0 && requests < slots,
	}
}
