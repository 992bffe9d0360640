package scaler

import "cyclamenhub.org/identifier"

// reclaimablePerDomain returns the number of reclaimable servers of each
// domain, so that those of all domains but one are sufficient.
func reclaimablePerDomain(domains []identifier.FailureDomain, needed int, room map[identifier.FailureDomain]int) map[identifier.FailureDomain]int {
	n := len(domains)
	others := max(n-1, 1)
	total := max((needed*n+others-1)/others, minReclaimablePerDomain*n)
	return spread(domains, total, room)
}

// spread distributes n servers over the domains that have room, the cheapest
// first, so that no domain gets a second server before every other domain with
// room has one.
func spread(domains []identifier.FailureDomain, n int, room map[identifier.FailureDomain]int) map[identifier.FailureDomain]int {
	out := make(map[identifier.FailureDomain]int)
	for last := -1; n > 0 && last != n; {
		last = n
		for _, d := range domains {
			if n > 0 && out[d] < room[d] {
				out[d]++
				n--
			}
		}
	}
	return out
}
