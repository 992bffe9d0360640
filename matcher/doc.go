// Package matcher holds the routing document of a fleet and finds the route and
// the customer of a call.
//
// A Document lists routes, services and customers as an operator wrote them. It
// checks itself: a document that names an unknown service, or gives one place
// or one key twice, is refused as a whole. A Table is a Document made ready for
// lookups; it is immutable, and traffic reads it through an atomic pointer.
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
//	service := route.Service(attemptID)
package matcher
