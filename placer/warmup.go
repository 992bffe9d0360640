package placer

import (
	"time"

	"cyclamenhub.org/identifier"
)

// beginWarmUps passes the cold servers of a list on to the permits. The caller
// holds mu.
func (p *Placer) beginWarmUps(servers []Server) {
	now := p.opts.Clock.Now()
	for i := range servers {
		if s := &servers[i]; s.ColdLimit > 0 && now.Before(s.ColdUntil) {
			p.permits.BeginWarmUp(now, s.run(), s.ColdLimit, s.ColdUntil)
		}
	}
}

// run returns the run of the server.
func (s *Server) run() identifier.ServerRun {
	return identifier.ServerRun{ID: s.ID, Incarnation: s.Incarnation}
}

// recordMayStart records that a server could not be reached: it may start at any
// moment, and is cold then. If several servers of its failure domain are unreachable,
// all of them may start. It answers a failure domain whose servers come back all at
// once: they look idle, and the listing does not show yet that they are cold. The
// caller holds mu.
func (p *Placer) recordMayStart(s *serverState, now time.Time) {
	isNews := p.mayStart(s, now)
	if len(p.unreachable[s.FailureDomain].servers) >= cutOffServers {
		for _, o := range p.servers {
			if o.FailureDomain == s.FailureDomain && p.mayStart(o, now) {
				isNews = true
			}
		}
	}
	if isNews {
		p.hasWarmUps = true
		p.reportNow()
	}
}

// reportNow makes this host sync with the leader at once.
func (p *Placer) reportNow() {
	if p.opts.ReportNow != nil {
		p.opts.ReportNow()
	}
}

// mayStart records that a server may start and reports whether that is news. The
// caller holds mu.
func (p *Placer) mayStart(s *serverState, now time.Time) bool {
	return s.ColdLimit > 0 && p.permits.MayStart(now, s.run(), s.ColdLimit, s.WarmUpTime)
}

// coldServers returns the number of servers that are cold or may be.
func (p *Placer) coldServers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.permits.ColdCount(p.opts.Clock.Now())
}
