package router

import (
	"cmp"
	"slices"
	"sync/atomic"

	"cyclamenhub.org/identifier"
)

// view is a Table resolved for one host.
type view struct {
	pools   map[poolKey]*pool
	servers map[identifier.BackendServer]*server
}

// poolKey names the servers that answer the same calls alike.
type poolKey struct {
	service identifier.Service
	version identifier.Version
}

// pool holds the servers of one version in the order in which they are looked
// at.
type pool struct {
	groups []*group
	stats  *poolStats
	size   int
}

// poolStats are what this host has learnt of a version. They outlive views.
type poolStats struct {
	// service is the time from send to release, prefill the seconds for one
	// prompt token.
	service, prefill average
}

// group holds servers of one failure domain and about one price.
type group struct {
	domain  identifier.FailureDomain
	own     bool
	price   float64
	members []member
	// capacity is the sum of the members' concurrency, uniform tells that it
	// is the same for all.
	capacity float64
	uniform  bool
	tally    *tally
}

// tally sums this host's tokens in flight over a group. It outlives views.
type tally struct{ tokens atomic.Int64 }

// tallyKey names a tally.
type tallyKey struct {
	poolKey
	domain identifier.FailureDomain
	price  float64
}

// member is a candidate with what this host knows of it.
type member struct {
	Candidate
	s *server
}

// sameTier is the largest ratio of two prices per slot that count as one.
const sameTier = 1.1

// pricePerSlot is the price of running one request side by side for an hour.
func (m *member) pricePerSlot() float64 { return m.Price / float64(m.Concurrency) }

// resolve builds the view of a table. The caller holds r.mu.
func (r *Router) resolve(t *Table) *view {
	v := &view{
		pools:   make(map[poolKey]*pool),
		servers: make(map[identifier.BackendServer]*server, len(t.Candidates)),
	}
	for _, c := range t.Candidates {
		s := r.serverOf(c)
		v.servers[c.BackendServer] = s
		c.Concurrency = max(c.Concurrency, 1)
		key := poolKey{c.Service, c.Version}
		p, ok := v.pools[key]
		if !ok {
			p = &pool{stats: r.statsOf(key)}
			v.pools[key] = p
		}
		p.size++
		p.insert(r.cfg.FailureDomain, member{Candidate: c, s: s})
	}
	for key, p := range v.pools {
		r.arrange(key, p)
	}
	return v
}

// insert puts m into the group of its domain.
func (p *pool) insert(own identifier.FailureDomain, m member) {
	i := slices.IndexFunc(p.groups, func(g *group) bool { return g.domain == m.FailureDomain })
	if i < 0 {
		p.groups = append(p.groups, &group{domain: m.FailureDomain, own: m.FailureDomain == own})
		i = len(p.groups) - 1
	}
	p.groups[i].members = append(p.groups[i].members, m)
}

// arrange splits the domains' groups by price and puts them in order.
func (r *Router) arrange(key poolKey, p *pool) {
	var groups []*group
	for _, g := range p.groups {
		groups = append(groups, g.split()...)
	}
	slices.SortStableFunc(groups, func(a, b *group) int {
		if a.own != b.own {
			if a.own {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(a.domain, b.domain))
	})
	for _, g := range groups {
		g.tally = r.tallyOf(tallyKey{key, g.domain, g.price})
	}
	p.groups = groups
}

// split returns g's members as groups of about one price.
func (g *group) split() []*group {
	slices.SortFunc(g.members, func(a, b member) int {
		return cmp.Or(cmp.Compare(a.pricePerSlot(), b.pricePerSlot()), cmp.Compare(a.BackendServer, b.BackendServer))
	})
	var tiers []*group
	var tier *group
	for _, m := range g.members {
		if tier == nil || m.pricePerSlot() > tier.price*sameTier {
			tier = &group{domain: g.domain, own: g.own, price: m.pricePerSlot(), uniform: true}
			tiers = append(tiers, tier)
		}
		tier.uniform = tier.uniform && (len(tier.members) == 0 || tier.members[0].Concurrency == m.Concurrency)
		tier.capacity += float64(m.Concurrency)
		tier.members = append(tier.members, m)
	}
	return tiers
}
