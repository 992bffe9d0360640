// Package scaler decides how many backend servers of a service to order in each
// failure domain, at the full price and reclaimable.
//
// It does no I/O: the caller passes in the listing and the results of earlier
// orders, and gets back the orders to send. Reclaimable servers cost a small
// part of the full price. However, all reclaimable servers of a domain can be
// reclaimed together, with a notice shorter than the time that a server takes
// to start, and for some time afterwards none may be available. The policy is
// therefore:
//
//   - a few servers at the full price in the cheapest domains, which are never
//     reclaimed;
//   - reclaimable servers in every domain, more than the load needs, so that
//     enough are left when one domain loses its own;
//   - more servers at the full price while reclaims leave fewer than the load
//     needs, until reclaimable servers are back. Until then they are released
//     only down to the number at which calls hardly wait.
//
// Servers that have announced a limit of requests are planned apart: others are
// ordered beside them for the calls that they do not take.
//
// Servers that are no longer needed are kept for some time before they are
// released, so that orders do not oscillate.
//
// # Usage
//
//	s := scaler.New(false)
//	for _, o := range s.Plan(now, services, listing, loads, candidates) {
//		err := order(o)
//		s.RecordResult(now, o, err == nil, isUnavailable(err))
//	}
package scaler
