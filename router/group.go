package router

import (
	"math"

	"cyclamenhub.org/identifier"
)

// maxRanked bounds how far down the rendezvous order a choice looks, beyond the
// replicas of its key.
const (
	maxRanked    = 16
	beyondBound  = 3
	randomProbes = 8
)

// ranked is a member with its place in the rendezvous order.
type ranked struct {
	m     *member
	score float64
}

// bestOf returns the best finalist of a group.
func (d *decision) bestOf(g *group) (finalist, bool) {
	var best finalist
	consider := func(m *member, by reason) {
		f := d.estimate(g, m)
		f.by = by
		if best.m == nil || f.first < best.first {
			best = f
		}
	}
	if d.keyed {
		d.byPrefix(g, consider)
	}
	if best.m == nil {
		d.byRandom(g, consider)
	}
	return best, best.m != nil
}

// byPrefix considers two random servers of the key's replicas that stand below
// the bound, and the server that is thought to hold most of the prefix.
func (d *decision) byPrefix(g *group, consider func(*member, reason)) {
	k := min(d.replicas(g), maxRanked-beyondBound)
	var top [maxRanked]ranked
	n := d.rank(g, top[:k+beyondBound])
	within := top[:0]
	for _, t := range top[:n] {
		if len(within) < k && d.belowBound(g, t.m) {
			within = append(within, t)
		}
	}
	switch len(within) {
	case 0:
	case 1, 2:
		for _, t := range within {
			consider(t.m, byPrefix)
		}
	default:
		i := below(d.r.cfg.Random, len(within))
		j := below(d.r.cfg.Random, len(within)-1)
		if j >= i {
			j++
		}
		consider(within[i].m, byPrefix)
		consider(within[j].m, byPrefix)
	}
	if m := d.hintedIn(g); m != nil && d.belowBound(g, m) {
		consider(m, byHint)
	}
}

// byRandom considers two random servers.
func (d *decision) byRandom(g *group, consider func(*member, reason)) {
	found := 0
	for range randomProbes {
		m := &g.members[below(d.r.cfg.Random, len(g.members))]
		if !d.eligible(m) {
			continue
		}
		consider(m, byRandom)
		if found++; found == 2 {
			return
		}
	}
	if found > 0 {
		return
	}
	for i := range g.members {
		if m := &g.members[i]; d.eligible(m) {
			consider(m, byRandom)
		}
	}
}

// rank fills top with the eligible servers that come first in the rendezvous
// order of the key and returns how many there are.
func (d *decision) rank(g *group, top []ranked) int {
	n := 0
	for i := range g.members {
		m := &g.members[i]
		score := d.score(g, m)
		if n == len(top) && score <= top[n-1].score || !d.eligible(m) {
			continue
		}
		if n < len(top) {
			n++
		}
		j := n - 1
		for ; j > 0 && top[j-1].score < score; j-- {
			top[j] = top[j-1]
		}
		top[j] = ranked{m, score}
	}
	return n
}

// score is the weight of a server for the key. With servers of unequal size it
// is the logarithmic method, by which each gets keys in proportion to its size
// (Schindelhauer and Schomaker, "Weighted Distributed Hash Tables", SPAA 2005).
func (d *decision) score(g *group, m *member) float64 {
	h := mix(uint64(d.key) ^ m.s.hash)
	if g.uniform {
		return float64(h >> 11)
	}
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -float64(m.Concurrency) / math.Log(u)
}

// belowBound reports whether a server stands at most Bound times above the mean
// load of its group, this request counted in the mean. Some server always
// does, since the least loaded stands at or below the mean.
func (d *decision) belowBound(g *group, m *member) bool {
	added := float64(max(d.req.PromptTokens+d.req.OutputTokens, 1))
	mean := (float64(g.tally.tokens.Load()) + added) / g.capacity
	return float64(m.s.tokens.Load()) <= d.r.cfg.Bound*mean*float64(m.Concurrency)
}

// hintedIn returns the hinted server where it is in g and eligible.
func (d *decision) hintedIn(g *group) *member {
	if d.hinted == 0 {
		return nil
	}
	for i := range g.members {
		if m := &g.members[i]; m.s.id == d.hinted && d.eligible(m) {
			return m
		}
	}
	return nil
}

// estimate returns a finalist with its time to the first token: the wait for a
// slot, the prompt tokens that wait and the request's own, and what recent
// first tokens came later than that.
func (d *decision) estimate(g *group, m *member) finalist {
	cached := d.cachedOn(m)
	requests, waiting := float64(m.s.inFlight.Load()), float64(m.s.pending.Load())
	if p := m.s.fresh(d.now, d.r.cfg.ReportTTL); p != nil {
		requests += p.requests
		waiting += p.waitingTokens
	}
	perToken := d.p.stats.prefill.value(defaultPrefillSeconds)
	if m.PrefillRate > 0 {
		perToken = 1 / m.PrefillRate
	}
	slots := float64(m.Concurrency)
	first := (waiting + float64(d.req.PromptTokens) - cached) * perToken
	if requests >= slots {
		first += (requests - slots + 1) / slots * d.p.stats.service.value(defaultServiceSeconds)
	}
	return finalist{
		m: m, g: g,
		cached: identifier.Tokens(cached),
		first:  first + m.s.excess.value(d.now),
		idle:   waiting == 0 && requests < slots,
	}
}
