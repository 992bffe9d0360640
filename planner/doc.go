// Package planner decides which hosts for backend servers to start, stop and
// load.
//
// It does no I/O: callers pass needs, offers and events to a Planner and carry
// out the orders that Plan returns. For each service the Planner keeps as many
// slots as are needed. It starts reclaimable hosts first and chooses between
// offers by price and by how often hosts of that failure domain and class were
// reclaimed recently. No domain holds so many reclaimable slots that its
// reclaim would leave less than the floor; on-demand hosts provide the other
// slots. After a refused start, the domain and class have a back-off that grows
// with every consecutive refusal, and the Planner tries the next best offer
// immediately.
//
// A host that has started is empty until its weights are loaded. Because the
// weight store is rate-limited, loads are queued: the service that lacks the
// largest part of its slots goes first.
//
// Every order carries an id and a fencing number. The Planner sends it again
// under the same id until it is answered. The platform and the backend servers
// must treat an order whose id they have seen before as already done.
//
// # Usage
//
//	p := planner.New(planner.Config{})
//	p.SetOffers(offers)
//	p.SetNeeds(needs)
//	for _, order := range p.Plan(now, fencing) {
//		go perform(order) // the answer is passed to Observe as an event
//	}
//	p.Observe(now, planner.StartRefused{OrderID: id})
package planner
