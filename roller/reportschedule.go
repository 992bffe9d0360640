package roller

import "time"

// ReportSchedule determines when a host reports its counters of one service.
// Its zero value makes a report due.
type ReportSchedule struct {
	last time.Time
	// interval is the minimum time from the last report to the next.
	interval time.Duration
	// adverse is the adverse count at the last report.
	adverse uint64
}

// IsDue reports whether a report is due: after the minimum interval if it would
// contain new failures or slow answers, and after idleReportInterval otherwise.
func (s *ReportSchedule) IsDue(e *Evaluator, now time.Time) bool {
	interval := s.interval
	if !e.directive.ReportAll && e.AdverseCount() == s.adverse {
		interval = max(interval, idleReportInterval)
	}
	return now.Sub(s.last) >= interval
}

// Report returns a report and schedules the next one in a fleet of the given
// number of hosts.
func (s *ReportSchedule) Report(e *Evaluator, now time.Time, hosts int) Report {
	r := e.Report()
	budget := reportBudget
	if e.directive.ReportAll {
		budget = cutoverReportBudget
	}
	*s = ReportSchedule{last: now, interval: reportInterval(hosts, len(r.Encode()), budget), adverse: e.AdverseCount()}
	return r
}
