// Package matcher looks up the route and the customer of a call in the routing
// document of a fleet.
//
// A Table indexes a describer.Document for lookups. It is immutable, so that
// many goroutines may read it through an atomic pointer.
//
// Among the routes of a host, the one with the longest matching path prefix is
// used. If a route is split between services, each gets a share of the calls in
// proportion to its weight, and a hash of the call's id selects the service.
//
// # Usage
//
//	if err := document.Check(); err != nil {
//		return err // lists every fault
//	}
//	t := matcher.NewTable(revision, &document)
//	route, ok := t.Route("app.example", "/drafts/7")
//	customer, ok := t.Customer(key)
//	service := matcher.PickService(route, hash)
package matcher
