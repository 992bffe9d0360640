package placer

import (
	"time"

	"cyclamenhub.org/identifier"
)

const (
	// cutOffServers is the number of unreachable servers of a failure domain,
	// without any response from the domain in between, at which the domain is
	// avoided.
	cutOffServers = 2
	// cutOffFor is how long after the last connection failure the domain is
	// avoided.
	cutOffFor = time.Second
)

// domainFailures records the connection failures of a failure domain from which
// this host may be partitioned. Without it, a host would try every server of
// the domain in turn during a partition.
type domainFailures struct {
	servers map[identifier.BackendServer]bool
	// lastAt is when a connection last failed.
	lastAt time.Time
}

// isCutOff reports whether the domain is to be avoided.
func (d *domainFailures) isCutOff(now time.Time) bool {
	return d != nil && len(d.servers) >= cutOffServers && now.Sub(d.lastAt) < cutOffFor
}

// recordUnreachable records that a connection to a server failed. The caller
// holds mu.
func (p *Placer) recordUnreachable(s *serverState, now time.Time) {
	d := p.unreachable[s.FailureDomain]
	if d == nil || now.Sub(d.lastAt) > backoffMax {
		d = &domainFailures{servers: make(map[identifier.BackendServer]bool)}
		p.unreachable[s.FailureDomain] = d
	}
	d.servers[s.ID], d.lastAt = true, now
}
