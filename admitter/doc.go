// Package admitter decides which requests are accepted, in which order they
// start and which are refused at once.
//
// A request passes four gates. The token buckets of its customer bound the
// rate; each host holds a share of every customer's limit, and the shares of
// all hosts never add to more than the limit (see Divider). The deadline
// estimate refuses at once what could not finish in time. The fair queue
// orders what waits: interactive before batch, and within a class start-time
// fair queueing over customers, in tokens. The concurrency limit bounds what
// is sent to backend servers and follows the first-token target.
//
// Everything refused here was never sent to a backend server, so that every
// refusal says not run and tells when to come back. A request that is given up
// on while it waits gets its refusal at that moment.
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
//		return err // a *refuser.Refusal that says not run
//	}
//	defer func() { grant.Done(outcome) }()
//	...
//	if err := grant.Retry(); err != nil {
//		return err // the retry budget is spent
//	}
package admitter
