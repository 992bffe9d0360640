package scaler

import (
	"slices"
	"time"

	"cyclamenhub.org/identifier"
)

// keepUntilReplaced returns the numbers of servers at the full price to have in
// each domain, raised so that of those in use at least needed stay. The limit of
// a domain leaves no room for both kinds, so that servers at the full price must
// go before all reclaimable ones are ordered; they go only as others get ready.
func (s *Scaler) keepUntilReplaced(service identifier.Service, have capacity, wanted map[identifier.FailureDomain]int, needed int) map[identifier.FailureDomain]int {
	if s.neverLoaded(service) {
		return wanted
	}
	spare := have.full - needed
	for _, d := range slices.Backward(have.domains) {
		staying := s.staying(Place{service, d, false}, have)
		release := min(staying-wanted[d], max(spare, 0))
		if release < 0 {
			continue
		}
		spare -= release
		wanted[d] = staying - release
	}
	return wanted
}

// besideCandidates returns the number of servers to have in a place beside the
// candidates of a rollout: at least the present ones, and more only within the
// limit of the domain.
func (s *Scaler) besideCandidates(now time.Time, p Place, want, limit int, counts map[Place]count) int {
	for _, reclaimable := range []bool{true, false} {
		limit -= counts[Place{p.Service, p.FailureDomain, reclaimable}].candidates
	}
	return max(min(want, limit), s.provisioned(now, p, counts[p]))
}

// neverLoaded reports whether the service has never had a running call since
// the first start of the system. A surplus is then released without delay.
func (s *Scaler) neverLoaded(service identifier.Service) bool {
	return s.firstStart && s.demand[service] == nil
}

// delayScaleDown returns want, or the provisioned number while the surplus is
// recent or the number of initial servers has not settled.
func (s *Scaler) delayScaleDown(now time.Time, p Place, want int, n count) int {
	current := s.provisioned(now, p, n)
	if want >= current {
		delete(s.surplus, p)
		return want
	}
	if !s.initial[p.Service].settled || p.Reclaimable && now.Before(s.dryUntil[p.Service]) {
		return current
	}
	since, ok := s.surplus[p]
	if !ok {
		since = now
		s.surplus[p] = now
	}
	if now.Sub(since) < scaleDownDelay(p) && !s.neverLoaded(p.Service) {
		return current
	}
	return want
}

// scaleDownDelay returns how long a surplus is kept.
func scaleDownDelay(p Place) time.Duration {
	if p.Reclaimable {
		return reclaimableScaleDownDelay
	}
	return fullPriceScaleDownDelay
}

// observeReclaims records whether reclaimable servers of a service are not available in
// some domain. None are released then and for some time after.
//
// It answers a reclaim in one domain after another, while the load is at its lowest: the
// servers that are left must carry the load as it rises again, before others can be had.
func (s *Scaler) observeReclaims(now time.Time, service identifier.Service, have capacity) {
	if have.availableDomains < len(have.domains) {
		s.dryUntil[service] = now.Add(dryHold)
	}
}

// staying returns the number of servers of a place that stay: those of the last order, if
// the listing still shows more. Counting servers that are released already would order
// them again.
func (s *Scaler) staying(p Place, have capacity) int {
	ready := have.counts[p].ready
	if last := s.last[p]; last.accepted {
		return min(ready, last.count)
	}
	return ready
}
