package scaler

import "cyclamenhub.org/identifier"

// reclaimableIn returns how many reclaimable servers each domain gets, so that
// those of all domains but one are enough.
func reclaimableIn(domains []identifier.FailureDomain, needed, most int) map[identifier.FailureDomain]int {
	n := len(domains)
	others := max(n-1, 1)
	total := max((needed*n+others-1)/others, leastPerDomain*n)
	room := make(map[identifier.FailureDomain]int, n)
	for _, d := range domains {
		room[d] = most
	}
	return spread(domains, total, room)
}

// spread distributes n servers over the domains that have room, the cheapest
// first, so that no domain gets two before every other has one.
func spread(domains []identifier.FailureDomain, n int, room map[identifier.FailureDomain]int) map[identifier.FailureDomain]int {
	out := make(map[identifier.FailureDomain]int)
	for before := -1; n > 0 && before != n; {
		before = n
		for _, d := range domains {
			if n > 0 && out[d] < room[d] {
				out[d]++
				n--
			}
		}
	}
	return out
}
