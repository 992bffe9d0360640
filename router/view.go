package router

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

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

// pool holds the servers of one version in the orders in which they are looked
// at.
type pool struct {
	size int
	// plain is the order for requests without a prefix: the own failure domain
	// first, then the others, each by price. prefixed is that for requests with
	// one.
	plain, prefixed []*group
	stats           *poolStats
}

// ownCacheServers is how many servers of the own failure domain hold enough
// cache together to keep prefixes within it. With fewer, all domains share one
// set by price: recomputing a prefix in each domain costs far more than the
// way to another.
const ownCacheServers = 32

// poolStats are what this host has learnt of a version. They outlive views.
type poolStats struct {
	// service is the time from send to release, prefill the seconds for one
	// prompt token.
	service, prefill average
}

// group holds servers of about one price.
type group struct {
	price   float64
	members []member
	// uniform tells that all members have the same concurrency.
	uniform bool
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
	members := make(map[poolKey][]member)
	for _, c := range t.Candidates {
		s := r.serverOf(c)
		v.servers[c.BackendServer] = s
		c.Concurrency = max(c.Concurrency, 1)
		key := poolKey{c.Service, c.Version}
		if _, ok := v.pools[key]; !ok {
			v.pools[key] = &pool{stats: r.statsOf(key)}
		}
		members[key] = append(members[key], member{Candidate: c, s: s})
	}
	for key, p := range v.pools {
		p.arrange(r.cfg.FailureDomain, members[key])
	}
	return v
}

// arrange makes the groups out of the members.
func (p *pool) arrange(own identifier.FailureDomain, members []member) {
	p.size = len(members)
	domains := make(map[identifier.FailureDomain][]member)
	for _, m := range members {
		domains[m.FailureDomain] = append(domains[m.FailureDomain], m)
	}
	p.plain = tiers(domains[own])
	var others []*group
	for _, d := range slices.Sorted(maps.Keys(domains)) {
		if d != own {
			others = append(others, tiers(domains[d])...)
		}
	}
	slices.SortStableFunc(others, func(a, b *group) int {
		return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(a.distance(own), b.distance(own)))
	})
	p.plain = append(p.plain, others...)
	p.prefixed = p.plain
	if len(domains[own]) < ownCacheServers {
		p.prefixed = tiers(members)
	}
}

// distance puts domains of one price in an order that differs from domain to
// domain, so that not all spill to the same one.
func (g *group) distance(own identifier.FailureDomain) uint64 {
	return xxhash.Sum64String(string(own) + "/" + string(g.members[0].FailureDomain))
}

// tiers returns members as groups of about one price, the cheapest first.
func tiers(members []member) []*group {
	members = slices.SortedFunc(slices.Values(members), func(a, b member) int {
		return cmp.Or(cmp.Compare(a.pricePerSlot(), b.pricePerSlot()), cmp.Compare(a.BackendServer, b.BackendServer))
	})
	var list []*group
	var tier *group
	for _, m := range members {
		if tier == nil || m.pricePerSlot() > tier.price*sameTier {
			tier = &group{price: m.pricePerSlot(), uniform: true}
			list = append(list, tier)
		}
		tier.uniform = tier.uniform && (len(tier.members) == 0 || tier.members[0].Concurrency == m.Concurrency)
		tier.members = append(tier.members, m)
	}
	return list
}
