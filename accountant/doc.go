// Package accountant counts the calls that began to run, by customer and by
// window of the time of day, and decides when a window is closed.
//
// A Meter on every host counts. The counts of recent windows never decrease, and
// the host reports them to the leader several times a second, so that few are
// lost when a host is killed. A Ledger on the leader sums them. A report
// supersedes every earlier report of the same run of a host, in whatever order
// they arrive. A window is closed some time after its end. The counts recorded
// for a closed window are final.
//
// # Usage
//
//	m := accountant.NewMeter(5 * time.Second)
//	m.Begin(customer, time.Now())
//	ledger.Merge(time.Now(), host, run, m.Counts(time.Now()))
//	for _, w := range ledger.Due(time.Now(), lastClosed) {
//		record(w, ledger.Sum(w))
//	}
package accountant
