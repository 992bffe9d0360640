// Package admitter decides which requests a host accepts, in which order they
// start, and which it refuses immediately.
//
// A request passes four stages:
//
//   - The token buckets of its customer bound the rate. Each host holds a share
//     of every customer's limit, and the shares of all hosts never add to more
//     than the limit (see Divider).
//   - The deadline estimate refuses a request immediately if it could not
//     finish in time.
//   - The fair queue orders the waiting requests: interactive before batch, and
//     within a priority by start-time fair queueing over customers, in tokens.
//   - The concurrency limit bounds the requests sent to backend servers. It
//     adapts to the first-token target.
//
// A request that the Admitter refuses was never sent to a backend server, so
// IsNotRun is true for every refusal; those for load, rate, deadline or shutdown
// also say when to retry. A request that is cancelled while it is queued gets
// its refusal immediately.
//
// # Usage
//
//	a := admitter.New(admitter.Config{
//		Clock:    clock,
//		Queued:   1000,
//		Services: []admitter.ServiceLimits{{Service: "schrijfhulp", FirstTokenTarget: time.Second, Concurrency: 40}},
//	})
//	a.SetCustomers([]admitter.CustomerLimits{{Customer: "foodbank", Weight: 1, RequestsPerSecond: 5}})
//
//	grant, err := a.Admit(ctx, admitter.Request{Customer: "foodbank", Service: "schrijfhulp", Deadline: deadline})
//	if err != nil {
//		return err // a *refuser.Refusal whose IsNotRun is true
//	}
//	defer func() { grant.Done(outcome) }()
//	...
//	if err := grant.Retry(); err != nil {
//		return err // the retry budget is exhausted
//	}
package admitter
