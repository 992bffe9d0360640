// Package scaler decides how many backend servers of a service are ordered in
// each failure domain, at the full price and reclaimable.
//
// It is pure: what is listed and what became of earlier orders go in, orders
// come out. Reclaimable servers cost a small part of the full price, but all
// those of a domain can go at once, with a notice shorter than the time in which
// a server starts, and none may be had for a while. The policy is therefore:
//
//   - a few servers at the full price in the cheapest domains, which no reclaim
//     touches;
//   - reclaimable servers in every domain, more than the load needs, so that the
//     loss of one domain leaves enough;
//   - where reclaims leave less than the load needs, more at the full price until
//     reclaimable ones are back.
//
// Servers that are no longer needed are given up only after a while, so that
// orders do not swing.
//
// # Usage
//
//	s := scaler.New(false)
//	for _, o := range s.Plan(now, services, listing, callsAtWork) {
//		err := order(o)
//		s.Answer(now, o, err == nil, isUnavailable(err))
//	}
package scaler
