package scaler

import (
	"cmp"
	"maps"
	"slices"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/discoverer"
	"cyclamenhub.org/identifier"
)

// slotsOf returns the number of calls that a server of a service runs
// concurrently, or 0 if the document does not say.
func slotsOf(s *describer.Service) int {
	if s.Engine == nil {
		return 0
	}
	return s.Engine.Slots
}

// count is the number of listed servers of a place. Those of the candidate of a
// rollout are not counted as ready.
type count struct{ ready, draining, candidates int }

// listed counts the servers of a service by place.
func listed(service identifier.Service, l *discoverer.Listing, candidate identifier.Version) map[Place]count {
	out := make(map[Place]count)
	for i := range l.Instances {
		in := &l.Instances[i]
		if in.Service != service {
			continue
		}
		p := Place{service, in.FailureDomain, in.Reclaimable}
		c := out[p]
		switch {
		case in.Draining:
			c.draining++
		case candidate != "" && in.Version == candidate:
			c.candidates++
		default:
			c.ready++
		}
		out[p] = c
	}
	return out
}

// capacity is the number of servers of a service.
type capacity struct {
	counts map[Place]count
	// reclaimable and full are the numbers of ready servers. largestDomain is
	// the largest number of ready reclaimable servers in a domain.
	reclaimable, full, largestDomain int
	// availableDomains is the number of domains where the last order of
	// reclaimable servers was accepted or none was sent yet.
	availableDomains int
	domains          []identifier.FailureDomain
	// hasCandidates is whether servers of the candidate of a rollout are listed.
	hasCandidates bool
}

// domainsByPrice returns the failure domains of a service, the cheapest first.
func domainsByPrice(c *describer.Scaling) []identifier.FailureDomain {
	return slices.SortedFunc(maps.Keys(c.Prices), func(a, b identifier.FailureDomain) int {
		return cmp.Or(cmp.Compare(c.Prices[a], c.Prices[b]), cmp.Compare(a, b))
	})
}

// capacityOf returns the capacity of a service in the given domains.
func (s *Scaler) capacityOf(service identifier.Service, domains []identifier.FailureDomain, counts map[Place]count) capacity {
	c := capacity{counts: counts, domains: domains}
	for _, n := range counts {
		c.hasCandidates = c.hasCandidates || n.candidates > 0
	}
	for _, d := range domains {
		n := c.counts[Place{service, d, true}].ready
		c.reclaimable += n
		c.largestDomain = max(c.largestDomain, n)
		c.full += c.counts[Place{service, d, false}].ready
		if last, ok := s.last[Place{service, d, true}]; !ok || last.accepted {
			c.availableDomains++
		}
	}
	return c
}
