package admitter

import (
	"context"
	"sync"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
)

// Bounds of what a refused caller is told to wait.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Hour
)

// Admitter is the acceptance point of one host. It is safe for concurrent use.
type Admitter struct {
	cfg     Config
	metrics *counters

	mu        sync.Mutex
	stopping  bool
	lanes     map[identifier.Service]*lane
	customers map[identifier.Customer]*customer
	shares    Shares
}

// New returns an Admitter for the services and customers of cfg.
func New(cfg Config) *Admitter {
	cfg = cfg.withDefaults()
	a := &Admitter{
		cfg:       cfg,
		lanes:     make(map[identifier.Service]*lane),
		customers: make(map[identifier.Customer]*customer),
	}
	a.metrics = newCounters(cfg.Metrics, a)
	a.SetServices(cfg.Services)
	a.SetCustomers(cfg.Customers)
	return a
}

// Admit waits until r may be sent and returns its grant. The error is a
// *refuser.Refusal that says not run. When ctx ends while r waits, the refusal
// comes at once.
func (a *Admitter) Admit(ctx context.Context, r Request) (*Grant, error) {
	decided := make(chan decision, 1)
	w := a.offer(r, func(g *Grant, f *refuser.Refusal) { decided <- decision{g, f} })
	var expired <-chan time.Time
	if w != nil && !w.latest.IsZero() {
		t := time.NewTimer(w.latest.Sub(a.cfg.Clock.Now()))
		defer t.Stop()
		expired = t.C
	}
	select {
	case d := <-decided:
		return d.result()
	case <-ctx.Done():
		a.giveUp(w, refuser.NotRun(refuser.DeadlinePassed, "the caller's time ended while the request waited", "send it again with more time").After(minRetryAfter))
	case <-expired:
		a.giveUp(w, tooNear(minRetryAfter))
	}
	// A grant may have come first; then it stands.
	return (<-decided).result()
}

// decision is what became of an offered request.
type decision struct {
	g *Grant
	f *refuser.Refusal
}

// result returns the decision in the shape of Admit's results.
func (d decision) result() (*Grant, error) {
	if d.f != nil {
		return nil, d.f
	}
	return d.g, nil
}

// Offer hands r in without waiting. decide is called once, from this or a
// later call of any method, with a grant or a refusal that says not run.
func (a *Admitter) Offer(r Request, decide func(*Grant, *refuser.Refusal)) {
	a.offer(r, decide)
}

// Expire refuses every waiting request that can no longer meet its deadline.
// Admit does so by itself; callers of Offer call Expire now and then.
func (a *Admitter) Expire() {
	now := a.cfg.Clock.Now()
	var late []*waiter
	a.mu.Lock()
	for _, l := range a.lanes {
		late = append(late, l.queue.expired(now)...)
	}
	a.mu.Unlock()
	for _, w := range late {
		a.giveUp(w, tooNear(minRetryAfter))
	}
}

// Stop refuses all new requests from now on. Those that wait or run are not
// touched.
func (a *Admitter) Stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopping = true
}

// offer decides on r or queues it; it returns the queued waiter, or nil.
func (a *Admitter) offer(r Request, decide func(*Grant, *refuser.Refusal)) *waiter {
	w := &waiter{req: r, cost: r.cost(), decide: decide}
	now := a.cfg.Clock.Now()

	a.mu.Lock()
	refusal := a.accept(w, now)
	var pushedOut *waiter
	if refusal == nil {
		pushedOut, refusal = a.enqueue(w)
	}
	started := a.start(w.lane, now)
	drain := w.lane.drainTime()
	a.mu.Unlock()

	if refusal != nil {
		a.refuse(w, refusal)
		return nil
	}
	if pushedOut != nil {
		a.refuse(pushedOut, overloaded(drain))
	}
	a.announce(started)
	return w
}

// accept checks all that needs no queue and charges the customer.
func (a *Admitter) accept(w *waiter, now time.Time) *refuser.Refusal {
	r := &w.req
	if a.stopping {
		return refuser.NotRun(refuser.Stopping, "this host is stopping", "send the request again; another host takes it").After(minRetryAfter)
	}
	l, ok := a.lanes[r.Service]
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
	w.lane, w.cust = l, c
	c.wanted.add(r)
	if d := c.wait(r, now); d > 0 {
		return refuser.NotRun(refuser.RateLimited, "customer "+string(r.Customer)+" is above its rate", "come back after the time in Retry-After").After(max(d, minRetryAfter))
	}
	w.latest = l.latestStart(r, now)
	wait := l.queueWait(r, c.limits.Weight)
	if !w.latest.IsZero() && now.Add(wait).After(w.latest) {
		return tooNear(max(wait, minRetryAfter))
	}
	c.take(r)
	return nil
}

// enqueue puts w into its lane's queue. When the queue is full, the newest
// request of whoever has most waiting makes room and is returned; where that
// would be w itself, w is refused.
func (a *Admitter) enqueue(w *waiter) (pushedOut *waiter, refusal *refuser.Refusal) {
	q := &w.lane.queue
	q.push(w, w.cust.limits.Weight)
	if q.length <= a.cfg.Queued {
		return nil, nil
	}
	out := q.longest()
	q.remove(out)
	out.decided = true
	out.cust.untake(&out.req, a.cfg.Clock.Now())
	if out == w {
		return nil, overloaded(w.lane.drainTime())
	}
	return out, nil
}

// start takes from the queue what the concurrency limit allows.
func (a *Admitter) start(l *lane, now time.Time) []*Grant {
	if l == nil {
		return nil
	}
	var grants []*Grant
	for l.queue.length > 0 && l.limit.allows(l.inFlight) {
		w := l.queue.pop()
		w.decided = true
		l.inFlight++
		grants = append(grants, &Grant{a: a, w: w, started: now})
	}
	return grants
}

// announce hands grants to their requests, outside the lock.
func (a *Admitter) announce(grants []*Grant) {
	for _, g := range grants {
		a.metrics.granted.Inc()
		g.w.decide(g, nil)
	}
}

// refuse hands a refusal to its request, outside the lock.
func (a *Admitter) refuse(w *waiter, f *refuser.Refusal) {
	a.metrics.refused(f.Kind()).Inc()
	w.decide(nil, f)
}

// giveUp refuses w unless it was decided already.
func (a *Admitter) giveUp(w *waiter, f *refuser.Refusal) {
	a.mu.Lock()
	mine := w != nil && !w.decided && w.lane.queue.remove(w)
	if mine {
		w.decided = true
		w.cust.untake(&w.req, a.cfg.Clock.Now())
	}
	a.mu.Unlock()
	if mine {
		a.refuse(w, f)
	}
}

// done takes a grant back and starts what may start now.
func (a *Admitter) done(g *Grant, o Outcome) {
	now := a.cfg.Clock.Now()
	a.mu.Lock()
	w := g.w
	w.lane.done(w, o, now.Sub(g.started))
	w.cust.tokens.giveBack(float64(w.req.MaxTokens-o.Generated), now)
	started := a.start(w.lane, now)
	a.mu.Unlock()
	a.metrics.done(o.Result).Inc()
	a.announce(started)
}

// takeRetry spends one retry of the service's budget.
func (a *Admitter) takeRetry(l *lane) bool {
	a.mu.Lock()
	ok := l.retries.take()
	a.mu.Unlock()
	if ok {
		a.metrics.retries.Inc()
	} else {
		a.metrics.retriesRefused.Inc()
	}
	return ok
}

// overloaded is the refusal of a full queue.
func overloaded(d time.Duration) *refuser.Refusal {
	return refuser.NotRun(refuser.Overloaded, "the queue of this service is full", "come back after the time in Retry-After").After(max(d, minRetryAfter))
}

// tooNear is the refusal of a deadline that cannot be met.
func tooNear(d time.Duration) *refuser.Refusal {
	return refuser.NotRun(refuser.DeadlineTooNear, "the deadline cannot be met at the present load", "allow more time or come back after the time in Retry-After").After(d)
}
