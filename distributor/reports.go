package distributor

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/wire"
)

// reportRetention is how long a host's last report is kept.
const reportRetention = 24 * time.Hour

// MaxReports bounds the number of hosts whose reports are kept.
const MaxReports = 4096

// Report states which revision of the fleet document is in force on one host.
type Report struct {
	Host          identifier.Host          `json:"host"`
	FailureDomain identifier.FailureDomain `json:"failureDomain"`
	Revision      identifier.Revision      `json:"revision"`
	// InForceSince is when the revision came into force, by the host's own clock.
	InForceSince time.Time `json:"inForceSince"`
	// HeardAt is when the host last sent this report, by this process's clock.
	HeardAt time.Time `json:"heardAt"`
}

// sentReport records the last report sent for a host and its recipient.
type sentReport struct {
	upstream string
	revision identifier.Revision
	at       time.Time
}

// reports holds the newest report of each host.
type reports struct {
	mu     sync.Mutex
	byHost map[identifier.Host]Report
}

// newReports returns an empty set of reports.
func newReports() *reports { return &reports{byHost: make(map[identifier.Host]Report)} }

// merge stores each report that is newer than the one held for its host, and
// removes reports older than reportRetention. It ignores new hosts beyond
// MaxReports.
func (s *reports) merge(now time.Time, rs []*wire.HostReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range rs {
		r := decodeReport(now, w)
		old, ok := s.byHost[r.Host]
		if ok && !r.HeardAt.After(old.HeardAt) {
			continue
		}
		if !ok && len(s.byHost) >= MaxReports {
			continue
		}
		s.byHost[r.Host] = r
	}
	for h, r := range s.byHost {
		if now.Sub(r.HeardAt) > reportRetention {
			delete(s.byHost, h)
		}
	}
}

// list returns all reports, sorted by failure domain and host.
func (s *reports) list() []Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	rs := make([]Report, 0, len(s.byHost))
	for _, r := range s.byHost {
		rs = append(rs, r)
	}
	slices.SortFunc(rs, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.Host, b.Host))
	})
	return rs
}

// encodeReport returns the wire form of r, with its age as of now.
func encodeReport(now time.Time, r Report) *wire.HostReport {
	return &wire.HostReport{
		Host:          string(r.Host),
		FailureDomain: string(r.FailureDomain),
		FleetRevision: uint64(r.Revision),
		InForceUnixMs: r.InForceSince.UnixMilli(),
		HeardAgoMs:    now.Sub(r.HeardAt).Milliseconds(),
	}
}

// decodeReport returns the report in w, received at now. It converts the age of
// the report into a time of this process's clock.
func decodeReport(now time.Time, w *wire.HostReport) Report {
	return Report{
		Host:          identifier.Host(w.Host),
		FailureDomain: identifier.FailureDomain(w.FailureDomain),
		Revision:      identifier.Revision(w.FleetRevision),
		InForceSince:  time.UnixMilli(w.InForceUnixMs),
		HeardAt:       now.Add(-time.Duration(max(w.HeardAgoMs, 0)) * time.Millisecond),
	}
}

// EncodeReports returns the wire form of rs, with their ages as of now.
func EncodeReports(now time.Time, rs []Report) []*wire.HostReport {
	out := make([]*wire.HostReport, len(rs))
	for i, r := range rs {
		out[i] = encodeReport(now, r)
	}
	return out
}

// DecodeReports returns the reports in ws, received at now.
func DecodeReports(now time.Time, ws []*wire.HostReport) []Report {
	out := make([]Report, len(ws))
	for i, w := range ws {
		out[i] = decodeReport(now, w)
	}
	return out
}
