package placer

import (
	"fmt"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/permitter"
)

// LimitedError reports that every backend server that could take a call has a
// limit, and that this host has no permit for any of them.
type LimitedError struct {
	Service identifier.Service
	Version identifier.Version
	// Limited is the number of these servers.
	Limited int
	// Wait is the time after which a call may come back, 0 if that is not known.
	Wait time.Duration
	// Asks is whether the next sync asks the leader for a permit. If not, the
	// leader recently had none.
	Asks bool
}

// Error returns the message with a remedy.
func (e *LimitedError) Error() string {
	return fmt.Sprintf("the %d backend servers of %s version %s that could take the call have limits, which are used up: come back in %v",
		e.Limited, e.Service, e.Version, e.Wait.Round(time.Millisecond))
}

// limitedError returns the error of a call that only the given servers could
// take, and counts the call as one that needs a permit. The caller holds mu.
func (p *Placer) limitedError(servers []*serverState, r *Request, now time.Time) *LimitedError {
	p.limited.Inc()
	e := &LimitedError{Service: r.Service, Version: r.Version, Limited: len(servers)}
	keys := make([]identifier.ServerRun, len(servers))
	for i, s := range servers {
		keys[i] = s.run()
		if wait := p.permits.Wait(now, keys[i]); i == 0 || wait < e.Wait {
			e.Wait = wait
		}
	}
	e.Asks = p.permits.Need(now, r.Service, keys)
	return e
}

// wantedPermits is the number of servers of which a call that another server takes
// wants a permit. Were it all servers, the hosts that sync first would take the
// permits of all when many servers are cold.
const wantedPermits = 2

// wantPermits counts a call that another server takes at some of the servers for
// which this host has no permit. The caller holds mu.
func (p *Placer) wantPermits(withheld []*serverState, now time.Time) {
	if len(withheld) == 0 {
		return
	}
	first := p.opts.Random.IntN(len(withheld))
	for i := range min(wantedPermits, len(withheld)) {
		p.permits.Want(now, withheld[(first+i)%len(withheld)].run())
	}
}

// PermitReport returns the report on servers with limits for the next sync.
func (p *Placer) PermitReport() permitter.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hasWarmUps = false
	return p.permits.Report(p.opts.Clock.Now())
}

// NeedsPermits reports whether calls wait for the next report.
func (p *Placer) NeedsPermits() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.permits.HasNeeds()
}

// HasPermitNews reports whether the leader is to be told something about servers with
// limits before the next regular sync.
func (p *Placer) HasPermitNews() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hasWarmUps || p.permits.HasNeeds()
}

// ApplyPermits applies the leader's response to the last report.
func (p *Placer) ApplyPermits(g permitter.Grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.permits.Apply(p.opts.Clock.Now(), g)
}

// SetFleet sets the number of hosts and the time between two syncs.
func (p *Placer) SetFleet(f permitter.Fleet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.permits.SetFleet(f)
	p.places.SetHosts(p.opts.Clock.Now(), f.Hosts)
}

// RecordLimit records what a response of the server says about the rate
// of requests that the server accepts from all hosts together; nil means that it
// announces no limit. It returns the limit known before and whether the known
// one has changed.
func (r Responder) RecordLimit(limit *identifier.RequestRate) (before *identifier.RequestRate, changed bool) {
	r.p.mu.Lock()
	defer r.p.mu.Unlock()
	return r.p.permits.Record(r.p.opts.Clock.Now(), r.state.run(), limit)
}

// limitedServers returns the number of servers that are known to announce a
// limit.
func (p *Placer) limitedServers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.permits.LimitedCount()
}
