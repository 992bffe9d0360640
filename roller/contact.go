package roller

import "time"

// How a host behaves without contact with the controller.
const (
	// keepAliveInterval is the time between messages from the controller to a
	// host if nothing changed.
	keepAliveInterval = 5 * time.Second
	// contactTimeout is how long a host keeps its share without contact with
	// the controller. It is longer than a change of leader takes.
	contactTimeout = 30 * time.Second
	// stepDownInterval is the time between two steps down after contactTimeout.
	// The share falls in steps so that the control's servers do not receive all
	// traffic in one step with empty caches.
	stepDownInterval = time.Minute
)

// ceilingAfter returns the highest level that a host may use after it has had
// no contact with the controller for the given time: any level at first, and
// after contactTimeout the level of the last directive less one for each step,
// down to NoLevel.
func ceilingAfter(sinceContact time.Duration, last Level) Level {
	if sinceContact < contactTimeout {
		return TopLevel
	}
	steps := 1 + int((sinceContact-contactTimeout)/stepDownInterval)
	return Level(max(int(last)-steps, int(NoLevel)))
}

// The intervals of the reports.
const (
	// minReportInterval is the time between two reports of a host in a small
	// fleet.
	minReportInterval = time.Second
	// idleReportInterval is the time between two reports of a host in a small
	// fleet while there are no new failures or slow answers. The thresholds of a
	// rollout that begins are as old.
	idleReportInterval = 5 * time.Second
	// reportBudget limits the reports of all hosts together on one service, in
	// bytes per second. It is less than half of the 25 KB/s that a node may
	// spend on control traffic.
	reportBudget = 10 << 10
	// cutoverReportBudget takes the place of reportBudget during a rollout that
	// takes seconds.
	cutoverReportBudget = 64 << 10
)

// reportInterval returns the time between two reports of a host, given the
// number of hosts, the size of its last report and the budget of all hosts in
// bytes per second. A report with a new verdict is sent without waiting for it.
func reportInterval(hosts, reportBytes, budget int) time.Duration {
	all := time.Duration(hosts) * time.Duration(reportBytes) * time.Second
	return max(minReportInterval, all/time.Duration(budget))
}
