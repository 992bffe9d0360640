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

// poolKey identifies the servers that run the same version of a service.
type poolKey struct {
	service identifier.Service
	version identifier.Version
}

// pool holds the servers of one version, grouped in the order in which they are
// examined.
type pool struct {
	size int
	// groups is the order for requests without a prefix: first the host's own
	// failure domain, then the others, each by price. prefixGroups is the order
	// for requests with a prefix.
	groups, prefixGroups []*group
	stats                *poolStats
}

// minDomainCacheServers is the smallest number of servers in the host's own
// failure domain that have enough cache to keep prefixes within the domain.
// With fewer, all domains form one set ordered by price, because recomputing a
// prefix in each domain costs far more than the network path to another domain.
const minDomainCacheServers = 32

// poolStats are this host's measurements of a version. They persist across
// views.
type poolStats struct {
	// service is the time from sending to release, and prefill the processing
	// time of one prompt token. Both are in seconds.
	service, prefill movingAverage
}

// group holds servers of about the same price per slot.
type group struct {
	price   float64
	members []member
	// uniform reports whether all members have the same concurrency.
	uniform bool
}

// member is a candidate and this host's own state of it.
type member struct {
	Candidate
	s *server
}

// maxTierPriceRatio is the largest ratio of two prices per slot within one
// group.
const maxTierPriceRatio = 1.1

// pricePerSlot returns the price per hour of one concurrent request.
func (m *member) pricePerSlot() float64 { return m.Price / float64(m.Concurrency) }

// resolve builds the view of a table. The caller must hold r.mu.
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
		p.buildGroups(r.cfg.FailureDomain, members[key])
	}
	return v
}

// buildGroups sets p's groups from the members, for a host in failure domain
// own.
func (p *pool) buildGroups(own identifier.FailureDomain, members []member) {
	p.size = len(members)
	domains := make(map[identifier.FailureDomain][]member)
	for _, m := range members {
		domains[m.FailureDomain] = append(domains[m.FailureDomain], m)
	}
	p.groups = priceTiers(domains[own])
	var others []*group
	for _, d := range slices.Sorted(maps.Keys(domains)) {
		if d != own {
			others = append(others, priceTiers(domains[d])...)
		}
	}
	slices.SortStableFunc(others, func(a, b *group) int {
		return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(a.domainOrder(own), b.domainOrder(own)))
	})
	p.groups = append(p.groups, others...)
	p.prefixGroups = p.groups
	if len(domains[own]) < minDomainCacheServers {
		p.prefixGroups = priceTiers(members)
	}
}

// domainOrder returns a sort key for failure domains of the same price. The
// order differs between own domains, so that not all domains spill to the same
// one.
func (g *group) domainOrder(own identifier.FailureDomain) uint64 {
	return xxhash.Sum64String(string(own) + "/" + string(g.members[0].FailureDomain))
}

// priceTiers splits the members into groups of about the same price per slot,
// cheapest first.
func priceTiers(members []member) []*group {
	members = slices.SortedFunc(slices.Values(members), func(a, b member) int {
		return cmp.Or(cmp.Compare(a.pricePerSlot(), b.pricePerSlot()), cmp.Compare(a.BackendServer, b.BackendServer))
	})
	var list []*group
	var tier *group
	for _, m := range members {
		if tier == nil || m.pricePerSlot() > tier.price*maxTierPriceRatio {
			tier = &group{price: m.pricePerSlot(), uniform: true}
			list = append(list, tier)
		}
		tier.uniform = tier.uniform && (len(tier.members) == 0 || tier.members[0].Concurrency == m.Concurrency)
		tier.members = append(tier.members, m)
	}
	return list
}
