// Package sharer divides the customers' fleet-wide rates between the hosts that
// admit their calls.
//
// Every host holds a token bucket for each customer with a share of the
// customer's rate and burst. A host tells the leader several times a second
// what each customer asked of it; a Divider on the leader answers with shares
// that follow the demand, so that a customer whose calls reach few hosts still
// gets its whole rate. Hosts come and go without a list: one that is silent is
// counted with its last shares until its lease has surely run out.
//
// # Usage
//
//	d := sharer.NewDivider(3 * time.Second)             // on the leader
//	d.Report(now, host, demand)
//	shares := d.SharesOf(now, host)
//
//	l := sharer.NewLimiter(clock)                       // on a host that admits
//	l.Configure(customers)
//	l.SetShares(shares)
//	if wait := l.Take(customer, cost); wait > 0 { ... } // refused: come back then
package sharer
