// Package accountant counts the calls that began to run, by customer and by
// window of the time of day, and closes the windows.
//
// A Meter on every host counts. Its counts of the last windows only grow, and
// it hands them to the leader several times a second, so that a host that is
// killed loses little. A Ledger on the leader sums them up: a report supersedes
// every earlier one of the same run of a host, whatever order they come in. A
// window is closed some time after its end; what is then recorded for it is
// final.
//
// # Usage
//
//	m := accountant.NewMeter(5 * time.Second)
//	m.Begin(customer, time.Now())
//	ledger.Merge(host, run, m.Counts(time.Now()))
//	for _, w := range ledger.Due(time.Now(), lastClosed) {
//		record(w, ledger.Sum(w))
//	}
package accountant
