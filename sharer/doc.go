// Package sharer enforces the customers' fleet-wide rates on hosts that admit
// calls independently.
//
// A Divider on the leader keeps one token bucket for each customer. Several
// times a second every host reports what it took from the buckets. The Divider
// replies with the level of each bucket and with the host's share of the
// customer's demand. Until the next reply a host may take a part of that level,
// plus what its share of the rate adds. While the bucket is well filled, a burst
// is admitted at whichever host it arrives. When the bucket is empty, the hosts
// divide the rate by demand. What hosts take beyond the level overdraws the
// bucket and is repaid from later refills.
//
// A host that receives no reply has only its share of the rate. Hosts join with
// their first report and are removed after a time without reports, so that no
// list of hosts is needed.
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
//	if refusal := l.Take(customer, cost); refusal != nil { ... } // retry after refusal.Wait
package sharer
