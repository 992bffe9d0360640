// Package sharer holds the customers' fleet-wide rates on hosts that admit
// their calls one by one.
//
// A Divider on the leader keeps one token bucket for each customer and hears
// several times a second what every host took from it. It answers with the
// bucket's level and with the host's share of the customer's demand. Until the
// next answer a host may take a part of that level, and what its share of the
// rate adds: while the bucket is well filled a burst is admitted wherever it
// arrives, and when it is used up the hosts divide the rate by demand. What is
// taken beyond the level is paid for later, since the bucket knows of it.
//
// A host that hears no answer only has its share of the rate. Hosts come and go
// without a list.
//
// # Usage
//
//	d := sharer.NewDivider(3 * time.Second)             // on the leader
//	d.Configure(rates)
//	d.Report(now, host, use)
//	grants := d.GrantsOf(now, host)
//
//	l := sharer.NewLimiter(clock)                       // on a host that admits
//	l.Configure(rates)
//	use := l.TakeUse()
//	l.SetGrants(grants)
//	if refusal := l.Take(customer, cost); refusal != nil { ... } // come back after refusal.Wait
package sharer
