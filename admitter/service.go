package admitter

import (
	"time"

	"cyclamenhub.org/identifier"
)

// serviceState holds the queue, the concurrency limit and the retry budget of
// one service.
type serviceState struct {
	name     identifier.Service
	limit    limit
	maxWait  time.Duration
	queue    fairQueue
	retries  retryBudget
	inFlight int
	// serviceTime averages the time from grant to done, in seconds; cost
	// averages the tokens of a request.
	serviceTime, cost estimate
}

// newServiceState returns the state of a service with an empty queue.
func newServiceState(l ServiceLimits, cfg *Config) *serviceState {
	if l.Concurrency <= 0 {
		l.Concurrency = defaultConcurrency
	}
	if l.MaxWait <= 0 {
		l.MaxWait = l.FirstTokenTarget / 2
	}
	return &serviceState{
		name:    l.Service,
		maxWait: l.MaxWait,
		limit:   newLimit(l.FirstTokenTarget-min(l.MaxWait, l.FirstTokenTarget/2), l.Concurrency),
		queue:   fairQueue{batchShare: cfg.BatchShare},
		retries: newRetryBudget(cfg.RetryShare),
	}
}

// queueWait estimates how long r would be queued: the tokens ahead of it, plus
// on average half a request until the next one ends, divided by the recent
// rate, which is limit × cost / serviceTime (Little's law).
func (s *serviceState) queueWait(r *Request, weight float64) time.Duration {
	if s.queue.length == 0 && float64(s.inFlight)+1 <= s.limit.value {
		return 0
	}
	if !s.serviceTime.known || s.cost.value <= 0 {
		return 0
	}
	perToken := s.serviceTime.value / (s.limit.value * s.cost.value)
	return seconds((s.queue.tokensAhead(r, weight) + s.cost.value/2) * perToken)
}

// drainTime estimates the time until all queued requests have started.
func (s *serviceState) drainTime() time.Duration {
	if s == nil {
		return 0
	}
	return seconds(float64(s.queue.length+1) * s.serviceTime.value / s.limit.value)
}

// latestStart returns the last time at which r can start and still end by its
// deadline, given the recent service time, and at which an interactive request
// has not exceeded maxWait. The zero time means no bound.
func (s *serviceState) latestStart(r *Request, now time.Time) time.Time {
	var latest time.Time
	if !r.Deadline.IsZero() {
		latest = r.Deadline.Add(-s.serviceTime.duration())
	}
	if r.Priority != Interactive || s.maxWait <= 0 {
		return latest
	}
	if w := now.Add(s.maxWait); latest.IsZero() || w.Before(latest) {
		return w
	}
	return latest
}

// done records the end of a granted request.
func (s *serviceState) done(w *waiter, o Outcome, took time.Duration) {
	first := o.FirstToken
	if first <= 0 && o.Result == Failed && took > s.limit.target {
		// No first token arrived within the target.
		first = took
	}
	if o.Result != Abandoned {
		s.limit.observe(first, s.inFlight)
	}
	s.inFlight--
	if o.Result == Succeeded {
		s.retries.addSuccess()
		s.serviceTime.add(took.Seconds())
		s.cost.add(w.cost)
	}
}
