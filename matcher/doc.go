// Package matcher finds the route and the customer of a call in the routing
// document of a fleet.
//
// A Table is a describer.Document made ready for lookups; it is immutable, and
// traffic reads it through an atomic pointer.
//
// Among the routes of a host the one with the longest prefix of the path wins.
// Where a route is split between services, the share of each follows its
// weight, and calls are spread by a hash of their id.
//
// # Usage
//
//	if err := document.Check(); err != nil {
//		return err // names every fault
//	}
//	t := matcher.NewTable(revision, &document)
//	route, ok := t.Route("app.example", "/drafts/7")
//	customer, ok := t.Customer(key)
//	service := matcher.Draw(route, hash)
package matcher
