package admitter

import (
	"time"

	"cyclamenhub.org/identifier"
)

// SetServices replaces the services and their limits. A service that is gone
// takes no new requests; what it runs and queues goes on.
func (a *Admitter) SetServices(services []ServiceLimits) {
	a.mu.Lock()
	var started []*Grant
	now := a.cfg.Clock.Now()
	lanes := make(map[identifier.Service]*lane, len(services))
	for _, s := range services {
		fresh := newLane(s, &a.cfg)
		if l, ok := a.lanes[s.Service]; ok {
			l.limit.target, l.maxWait = fresh.limit.target, fresh.maxWait
			l.limit.setCeiling(int(fresh.limit.ceiling))
			fresh = l
		}
		lanes[s.Service] = fresh
		started = append(started, a.start(fresh, now)...)
	}
	a.lanes = lanes
	a.mu.Unlock()
	a.announce(started)
}

// Limits bound what one host holds; 0 means the default of the Config's field.
type Limits struct {
	// Queued bounds the requests that wait for each service.
	Queued int
	// RetryShare is the part of recent successes that may be spent on retries.
	RetryShare identifier.Share
}

// SetLimits replaces the limits. Requests that wait beyond a lower bound go on
// waiting; new ones are refused.
func (a *Admitter) SetLimits(l Limits) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cfg.Queued, a.cfg.RetryShare = l.Queued, l.RetryShare
	a.cfg = a.cfg.withDefaults()
	for _, lane := range a.lanes {
		lane.retries.setShare(a.cfg.RetryShare)
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

// SetShares puts a division of the customers' rates in force. An older or equal
// one, and one for another incarnation, is ignored, so that a late message
// changes nothing. A host that hears nothing keeps the shares it has.
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

// TakeDemand returns the epoch in force and what each customer asked of this
// host since the last call, for a Divider.
func (a *Admitter) TakeDemand() DemandReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := DemandReport{Incarnation: a.cfg.Incarnation, Epoch: a.shares.Epoch, Shares: a.shares.Shares, Demands: make(map[identifier.Customer]Demand)}
	for name, c := range a.customers {
		if c.wanted != (Demand{}) {
			r.Demands[name] = c.wanted
			c.wanted = Demand{}
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

// Status is a snapshot of one service's queue.
type Status struct {
	// Queued and InFlight count requests.
	Queued, InFlight int
	// Limit is the concurrency limit in force.
	Limit int
	// Wait estimates how long the whole queue takes.
	Wait time.Duration
}

// Status returns the state of a service; it is zero for one that is unknown.
func (a *Admitter) Status(s identifier.Service) Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	l, ok := a.lanes[s]
	if !ok {
		return Status{}
	}
	return Status{Queued: l.queue.length, InFlight: l.inFlight, Limit: int(l.limit.value), Wait: l.drainTime()}
}
