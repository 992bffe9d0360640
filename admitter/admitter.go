package admitter

import (
	"context"
	"sync"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
)

// Bounds of the Retry-After time of a refusal.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Hour
)

// Admitter decides on the requests of one host. It is safe for concurrent use.
type Admitter struct {
	cfg     Config
	metrics *counters

	mu        sync.Mutex
	stopping  bool
	services  map[identifier.Service]*serviceState
	customers map[identifier.Customer]*customer
	shares    Shares
}

// New returns an Admitter for the services and customers of cfg.
func New(cfg Config) *Admitter {
	cfg = cfg.withDefaults()
	a := &Admitter{
		cfg:       cfg,
		services:  make(map[identifier.Service]*serviceState),
		customers: make(map[identifier.Customer]*customer),
	}
	a.metrics = newCounters(cfg.Metrics, a)
	a.SetServices(cfg.Services)
	a.SetCustomers(cfg.Customers)
	return a
}

// Admit waits until r may be sent and returns its grant. The error is a
// *refuser.Refusal whose IsNotRun is true. When ctx ends or the deadline can no
// longer be met while r is queued, Admit returns the refusal immediately.
func (a *Admitter) Admit(ctx context.Context, r Request) (*Grant, error) {
	decided := make(chan decision, 1)
	w := a.offer(r, func(g *Grant, f *refuser.Refusal) { decided <- decision{g, f} })
	var expired <-chan time.Time
	if w != nil && !w.latestStart.IsZero() {
		t := time.NewTimer(w.latestStart.Sub(a.cfg.Clock.Now()))
		defer t.Stop()
		expired = t.C
	}
	select {
	case d := <-decided:
		return d.result()
	case <-ctx.Done():
		a.cancel(w, refuser.NotRun(refuser.DeadlinePassed, "the caller's time ended while the request waited", "send it again with more time").After(minRetryAfter))
	case <-expired:
		a.cancel(w, deadlineTooNear(minRetryAfter))
	}
	// The request may have been granted before cancel ran; cancel then has no
	// effect and Admit returns the grant.
	return (<-decided).result()
}

// decision is the grant or the refusal of an offered request.
type decision struct {
	g *Grant
	f *refuser.Refusal
}

// result converts the decision to the results of Admit.
func (d decision) result() (*Grant, error) {
	if d.f != nil {
		return nil, d.f
	}
	return d.g, nil
}

// Offer submits r without waiting. It calls decide once, from this call or from
// a later call of any method, with a grant or with a refusal whose IsNotRun is
// true.
func (a *Admitter) Offer(r Request, decide func(*Grant, *refuser.Refusal)) {
	a.offer(r, decide)
}

// Expire refuses every queued request that can no longer meet its deadline.
// Admit does this for its own request; callers of Offer must call Expire
// periodically.
func (a *Admitter) Expire() {
	now := a.cfg.Clock.Now()
	var late []*waiter
	a.mu.Lock()
	for _, s := range a.services {
		late = append(late, s.queue.expired(now)...)
	}
	a.mu.Unlock()
	for _, w := range late {
		a.cancel(w, deadlineTooNear(minRetryAfter))
	}
}

// Stop makes the Admitter refuse all new requests. Queued and in-flight
// requests are not affected.
func (a *Admitter) Stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopping = true
}

// offer admits or refuses r immediately or queues it. It returns the waiter, or
// nil when r was refused.
func (a *Admitter) offer(r Request, decide func(*Grant, *refuser.Refusal)) *waiter {
	w := &waiter{req: r, cost: r.cost(), decide: decide}
	now := a.cfg.Clock.Now()

	a.mu.Lock()
	refusal := a.accept(w, now)
	var evicted *waiter
	if refusal == nil {
		evicted, refusal = a.enqueue(w)
	}
	started := a.start(w.service, now)
	drain := w.service.drainTime()
	a.mu.Unlock()

	if refusal != nil {
		a.refuse(w, refusal)
		return nil
	}
	if evicted != nil {
		a.refuse(evicted, overloaded(drain))
	}
	a.deliver(started)
	return w
}

// accept runs the checks that do not depend on the queue's capacity and charges
// the customer. It returns nil if the request may be queued.
func (a *Admitter) accept(w *waiter, now time.Time) *refuser.Refusal {
	r := &w.req
	if a.stopping {
		return refuser.NotRun(refuser.Stopping, "this host is stopping", "send the request again; another host takes it").After(minRetryAfter)
	}
	s, ok := a.services[r.Service]
	if !ok {
		return refuser.NotRun(refuser.NotFound, "there is no service "+string(r.Service), "name one of the configured services")
	}
	c, ok := a.customers[r.Customer]
	if !ok {
		return refuser.NotRun(refuser.Forbidden, "there is no customer "+string(r.Customer), "add it to the fleet document")
	}
	if r.Priority >= priorities {
		return refuser.NotRun(refuser.Malformed, "the priority is unknown", "use interactive or batch")
	}
	w.service, w.customer = s, c
	c.demand.add(r)
	if d := c.wait(r, now); d > 0 {
		return refuser.NotRun(refuser.RateLimited, "customer "+string(r.Customer)+" is above its rate", "come back after the time in Retry-After").After(max(d, minRetryAfter))
	}
	w.latestStart = s.latestStart(r, now)
	wait := s.queueWait(r, c.limits.Weight)
	if !w.latestStart.IsZero() && now.Add(wait).After(w.latestStart) {
		return deadlineTooNear(max(wait, minRetryAfter))
	}
	c.charge(r)
	return nil
}

// enqueue adds w to the queue of its service. When the queue is full, it evicts
// the newest request of the flow with the most tokens waiting for its weight
// and returns that request; if this is w itself, it refuses w.
func (a *Admitter) enqueue(w *waiter) (evicted *waiter, refusal *refuser.Refusal) {
	q := &w.service.queue
	q.push(w, w.customer.limits.Weight)
	if q.length <= a.cfg.Queued {
		return nil, nil
	}
	out := q.evictionCandidate()
	q.remove(out)
	out.decided = true
	out.customer.refund(&out.req, a.cfg.Clock.Now())
	if out == w {
		return nil, overloaded(w.service.drainTime())
	}
	return out, nil
}

// start dequeues as many requests as the concurrency limit allows and returns
// their grants.
func (a *Admitter) start(s *serviceState, now time.Time) []*Grant {
	if s == nil {
		return nil
	}
	var grants []*Grant
	for s.queue.length > 0 && s.limit.allows(s.inFlight) {
		w := s.queue.pop()
		w.decided = true
		s.inFlight++
		grants = append(grants, &Grant{a: a, w: w, started: now})
	}
	return grants
}

// deliver passes grants to their requests. The caller must not hold the lock.
func (a *Admitter) deliver(grants []*Grant) {
	for _, g := range grants {
		a.metrics.granted.Inc()
		g.w.decide(g, nil)
	}
}

// refuse passes a refusal to its request. The caller must not hold the lock.
func (a *Admitter) refuse(w *waiter, f *refuser.Refusal) {
	a.metrics.refused(f.Kind()).Inc()
	w.decide(nil, f)
}

// cancel removes w from its queue and refuses it, unless it was decided
// already.
func (a *Admitter) cancel(w *waiter, f *refuser.Refusal) {
	a.mu.Lock()
	removed := w != nil && !w.decided && w.service.queue.remove(w)
	if removed {
		w.decided = true
		w.customer.refund(&w.req, a.cfg.Clock.Now())
	}
	a.mu.Unlock()
	if removed {
		a.refuse(w, f)
	}
}

// done releases a grant and starts the queued requests that now fit the limit.
func (a *Admitter) done(g *Grant, o Outcome) {
	now := a.cfg.Clock.Now()
	a.mu.Lock()
	w := g.w
	w.service.done(w, o, now.Sub(g.started))
	w.customer.tokens.refund(float64(w.req.MaxTokens-o.Generated), now)
	started := a.start(w.service, now)
	a.mu.Unlock()
	a.metrics.done(o.Result).Inc()
	a.deliver(started)
}

// takeRetry takes one retry from the service's budget and reports whether one
// was left.
func (a *Admitter) takeRetry(s *serviceState) bool {
	a.mu.Lock()
	ok := s.retries.take()
	a.mu.Unlock()
	if ok {
		a.metrics.retries.Inc()
	} else {
		a.metrics.retriesRefused.Inc()
	}
	return ok
}

// overloaded returns the refusal for a full queue.
func overloaded(d time.Duration) *refuser.Refusal {
	return refuser.NotRun(refuser.Overloaded, "the queue of this service is full", "come back after the time in Retry-After").After(max(d, minRetryAfter))
}

// deadlineTooNear returns the refusal for a deadline that cannot be met.
func deadlineTooNear(d time.Duration) *refuser.Refusal {
	return refuser.NotRun(refuser.DeadlineTooNear, "the deadline cannot be met at the present load", "allow more time or come back after the time in Retry-After").After(d)
}
