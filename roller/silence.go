package roller

import "time"

// What a host does that does not hear from the controller.
const (
	// keepAliveInterval is how often a host hears from the controller although
	// nothing changed.
	keepAliveInterval = 5 * time.Second
	// silenceLimit is how long a host holds its share in the controller's
	// silence: longer than a change of leader takes.
	silenceLimit = 30 * time.Second
	// silenceStep is the time between two steps down after that. Steps keep the
	// control's servers from getting all traffic at once with empty caches.
	silenceStep = time.Minute
)

// ceilingAfter returns the highest level that a host may use which has not
// heard from the controller for a time: that of the last directive at first,
// and then one level less with every step, down to none.
func ceilingAfter(silence time.Duration, last Level) Level {
	if silence < silenceLimit {
		return TopLevel
	}
	steps := 1 + int((silence-silenceLimit)/silenceStep)
	return Level(max(int(last)-steps, int(NoLevel)))
}

// The pace of the reports.
const (
	// minReportInterval is the time between two reports of a host in a small
	// fleet.
	minReportInterval = time.Second
	// idleReportInterval is the time between reports while nothing speaks
	// against any version.
	idleReportInterval = 30 * time.Second
	// reportBudget bounds what all hosts together report on one service, in
	// bytes a second: less than half of the 25 KB/s that a node may spend on
	// control.
	reportBudget = 10 << 10
)

// ReportInterval returns the time between two reports of a host, for a number
// of hosts and the size of its last report. A report that carries a new verdict
// does not wait for it.
func ReportInterval(hosts, reportBytes int) time.Duration {
	all := time.Duration(hosts) * time.Duration(reportBytes) * time.Second
	return max(minReportInterval, all/reportBudget)
}
