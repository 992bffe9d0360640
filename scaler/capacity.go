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
// rollout are not counted as ready. Those with a limit of requests are.
type count struct{ ready, limited, draining, candidates int }

// unlimited returns the number of ready servers without a limit.
func (c count) unlimited() int { return c.ready - c.limited }

// listed counts the servers of a service by place.
func listed(service identifier.Service, l *discoverer.Listing, candidate identifier.Version, limited map[identifier.BackendServer]bool) map[Place]count {
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
			if limited[in.ID] {
				c.limited++
			}
		}
		out[p] = c
	}
	return out
}

// capacity is the number of servers of a service.
type capacity struct {
	counts map[Place]count
	// reclaimable and full are the numbers of ready servers without limits.
	// largestDomain is the largest number of reclaimable ones in a domain.
	reclaimable, full, largestDomain int
	// availableDomains is the number of domains where the last order of
	// reclaimable servers was accepted or none was sent yet.
	availableDomains int
	domains          []identifier.FailureDomain
	// hasCandidates is whether servers of the candidate of a rollout are listed.
	hasCandidates bool
}

// domainsByPrice returns the failure domains of a service that are not evacuated, the
// cheapest first.
func (s *Scaler) domainsByPrice(c *describer.Scaling) []identifier.FailureDomain {
	domains := slices.SortedFunc(maps.Keys(c.Prices), func(a, b identifier.FailureDomain) int {
		return cmp.Or(cmp.Compare(c.Prices[a], c.Prices[b]), cmp.Compare(a, b))
	})
	return slices.DeleteFunc(domains, func(d identifier.FailureDomain) bool { return slices.Contains(s.evacuated, d) })
}

// withoutEvacuated removes the places in evacuated failure domains from counts.
func (s *Scaler) withoutEvacuated(counts map[Place]count) map[Place]count {
	maps.DeleteFunc(counts, func(p Place, _ count) bool { return slices.Contains(s.evacuated, p.FailureDomain) })
	return counts
}

// roomFor returns how many servers each domain may have beside those with
// limits, if it may have the given number in all.
func (c *capacity) roomFor(service identifier.Service, limit int) map[identifier.FailureDomain]int {
	room := make(map[identifier.FailureDomain]int, len(c.domains))
	for _, d := range c.domains {
		room[d] = max(limit-c.counts[Place{service, d, true}].limited-c.counts[Place{service, d, false}].limited, 0)
	}
	return room
}

// capacityOf returns the capacity of a service in the given domains.
func (s *Scaler) capacityOf(service identifier.Service, domains []identifier.FailureDomain, counts map[Place]count) capacity {
	c := capacity{counts: counts, domains: domains}
	for _, n := range counts {
		c.hasCandidates = c.hasCandidates || n.candidates > 0
	}
	for _, d := range domains {
		n := c.counts[Place{service, d, true}].unlimited()
		c.reclaimable += n
		c.largestDomain = max(c.largestDomain, n)
		c.full += c.counts[Place{service, d, false}].unlimited()
		if last, ok := s.last[Place{service, d, true}]; !ok || last.accepted {
			c.availableDomains++
		}
	}
	return c
}
