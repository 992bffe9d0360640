package admitter

import (
	"time"

	"cyclamenhub.org/identifier"
)

// SetServices replaces the services and their limits. A removed service accepts
// no new requests; its queued and in-flight requests continue.
func (a *Admitter) SetServices(services []ServiceLimits) {
	a.mu.Lock()
	var started []*Grant
	now := a.cfg.Clock.Now()
	next := make(map[identifier.Service]*serviceState, len(services))
	for _, s := range services {
		fresh := newServiceState(s, &a.cfg)
		if old, ok := a.services[s.Service]; ok {
			old.limit.target, old.maxWait = fresh.limit.target, fresh.maxWait
			old.limit.setCeiling(int(fresh.limit.ceiling))
			fresh = old
		}
		next[s.Service] = fresh
		started = append(started, a.start(fresh, now)...)
	}
	a.services = next
	a.mu.Unlock()
	a.deliver(started)
}

// Limits bounds the queues and retries of one host. A field that is 0 takes the
// default of the Config field of that name.
type Limits struct {
	// Queued bounds the queued requests of each service.
	Queued int
	// RetryShare is the number of retries allowed per recent success.
	RetryShare identifier.Share
}

// SetLimits replaces the limits. A queue that is longer than a lowered bound
// keeps its requests and counts as full.
func (a *Admitter) SetLimits(l Limits) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cfg.Queued, a.cfg.RetryShare = l.Queued, l.RetryShare
	a.cfg = a.cfg.withDefaults()
	for _, s := range a.services {
		s.retries.setShare(a.cfg.RetryShare)
	}
}

// SetCustomers replaces the customers and their limits.
func (a *Admitter) SetCustomers(customers []CustomerLimits) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.cfg.Clock.Now()
	next := make(map[identifier.Customer]*customer, len(customers))
	for _, l := range customers {
		c, ok := a.customers[l.Customer]
		if ok {
			c.setLimits(l, a.cfg.Burst, now)
		} else {
			c = newCustomer(l, a.cfg.Burst, a.shareOf(l.Customer), now)
		}
		next[l.Customer] = c
	}
	a.customers = next
}

// SetShares applies a division of the customers' rates. It ignores one whose
// epoch is not above the current one and one for another incarnation, so that a
// delayed message has no effect. Without new shares a host keeps those it has.
func (a *Admitter) SetShares(s Shares) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.Incarnation != a.cfg.Incarnation || s.Epoch <= a.shares.Epoch {
		return
	}
	a.shares = s
	now := a.cfg.Clock.Now()
	for name, c := range a.customers {
		c.setShare(a.shareOf(name), now)
	}
}

// TakeDemand returns the shares in effect with their epoch, and the demand of
// each customer since the last call, for a Divider.
func (a *Admitter) TakeDemand() DemandReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := DemandReport{Incarnation: a.cfg.Incarnation, Epoch: a.shares.Epoch, Shares: a.shares.Shares, Demands: make(map[identifier.Customer]Demand)}
	for name, c := range a.customers {
		if c.demand != (Demand{}) {
			r.Demands[name] = c.demand
			c.demand = Demand{}
		}
	}
	return r
}

// shareOf returns this host's share of a customer's rates.
func (a *Admitter) shareOf(c identifier.Customer) identifier.Share {
	if s, ok := a.shares.Shares[c]; ok {
		return s
	}
	return a.cfg.StartShare
}

// Status is a snapshot of one service's queue and limit.
type Status struct {
	// Queued and InFlight count requests.
	Queued, InFlight int
	// Limit is the current concurrency limit, in requests.
	Limit int
	// Wait estimates the time until all queued requests have started.
	Wait time.Duration
}

// Status returns the state of a service, or the zero Status if the service is
// unknown.
func (a *Admitter) Status(s identifier.Service) Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	state, ok := a.services[s]
	if !ok {
		return Status{}
	}
	return Status{Queued: state.queue.length, InFlight: state.inFlight, Limit: int(state.limit.value), Wait: state.drainTime()}
}
