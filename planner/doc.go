// Package planner decides which hosts for backend servers are started, stopped
// and loaded.
//
// It is pure: needs, offers and events go in, orders come out. For each
// service it keeps as many slots as are needed, on reclaimable hosts first, by
// price and by how often hosts of that failure domain and class were reclaimed
// lately. No domain holds so many reclaimable slots that its reclaim would
// leave less than the floor; what cannot be had under that rule is started on
// demand. A refused start makes its domain and class wait, longer with every
// refusal in a row, and the next best is tried at once.
//
// A host that has started is empty until its weights are loaded. The weight
// store is rate-limited, so that loads wait in a queue, ordered by what they
// unblock: the service that lacks the largest part of its slots goes first.
//
// Every order carries an id, under which it is sent again until it is
// answered, and a fencing number. The platform and the backend servers must
// treat an id that they have seen as done already.
//
// # Usage
//
//	p := planner.New(planner.Config{})
//	p.SetOffers(offers)
//	p.SetNeeds(needs)
//	for _, order := range p.Plan(now, fencing) {
//		go perform(order) // answers come back as events
//	}
//	p.Observe(now, planner.StartRefused{OrderID: id})
package planner
