package placer

import (
	"time"

	"cyclamenhub.org/identifier"
)

// SetEvacuated sets the failure domains whose servers get no new calls. The servers
// of withdrawn domains, which were evacuated until now, may be cold: an operator may
// have restarted them.
func (p *Placer) SetEvacuated(evacuated, withdrawn []identifier.FailureDomain) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evacuated = make(map[identifier.FailureDomain]bool, len(evacuated))
	for _, d := range evacuated {
		p.evacuated[d] = true
	}
	now := p.opts.Clock.Now()
	for _, d := range withdrawn {
		p.beginWarmUp(d, now)
	}
}

// notEvacuated returns the servers outside the evacuated failure domains. The caller
// holds mu.
func (p *Placer) notEvacuated(servers []*serverState) []*serverState {
	if len(p.evacuated) == 0 {
		return servers
	}
	var out []*serverState
	for _, s := range servers {
		if !p.evacuated[s.FailureDomain] {
			out = append(out, s)
		}
	}
	return out
}

// beginWarmUp records that the servers of a failure domain may be cold. The caller
// holds mu.
func (p *Placer) beginWarmUp(d identifier.FailureDomain, now time.Time) {
	for _, s := range p.servers {
		if s.FailureDomain == d && s.ColdLimit > 0 {
			p.permits.BeginWarmUp(now, s.run(), s.ColdLimit, now.Add(s.WarmUpTime))
		}
	}
}
