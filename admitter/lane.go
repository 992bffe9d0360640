package admitter

import (
	"time"

	"cyclamenhub.org/identifier"
)

// lane is the queue and the limit of one service.
type lane struct {
	service  identifier.Service
	limit    limit
	maxWait  time.Duration
	queue    fairQueue
	retries  retryBudget
	inFlight int
	// took is the time from grant to done, cost the tokens of a request.
	took, cost estimate
}

// newLane returns an empty lane.
func newLane(l ServiceLimits, cfg *Config) *lane {
	if l.Concurrency <= 0 {
		l.Concurrency = defaultConcurrency
	}
	if l.MaxWait <= 0 {
		l.MaxWait = l.FirstTokenTarget / 2
	}
	return &lane{
		service: l.Service,
		maxWait: l.MaxWait,
		limit:   newLimit(l.FirstTokenTarget-min(l.MaxWait, l.FirstTokenTarget/2), l.Concurrency),
		queue:   fairQueue{batchShare: cfg.BatchShare},
		retries: newRetryBudget(cfg.RetryShare),
	}
}

// queueWait estimates how long r would wait to start: the tokens ahead of it,
// and on average half a request until the next one ends, over the recent rate,
// which is limit × cost / took (Little's law).
func (l *lane) queueWait(r *Request, weight float64) time.Duration {
	if l.queue.length == 0 && float64(l.inFlight)+1 <= l.limit.value {
		return 0
	}
	if !l.took.known || l.cost.value <= 0 {
		return 0
	}
	perToken := l.took.value / (l.limit.value * l.cost.value)
	return seconds((l.queue.ahead(r, weight) + l.cost.value/2) * perToken)
}

// drainTime estimates how long the whole queue takes.
func (l *lane) drainTime() time.Duration {
	if l == nil {
		return 0
	}
	return seconds(float64(l.queue.length+1) * l.took.value / l.limit.value)
}

// latestStart is the last moment at which r can start and still be answered by
// its deadline, by the recent service time, or within the longest wait; zero
// means any.
func (l *lane) latestStart(r *Request, now time.Time) time.Time {
	var latest time.Time
	if !r.Deadline.IsZero() {
		latest = r.Deadline.Add(-l.took.duration())
	}
	if r.Priority != Interactive || l.maxWait <= 0 {
		return latest
	}
	if w := now.Add(l.maxWait); latest.IsZero() || w.Before(latest) {
		return w
	}
	return latest
}

// done takes in how a granted request ended.
func (l *lane) done(w *waiter, o Outcome, took time.Duration) {
	first := o.FirstToken
	if first <= 0 && o.Result == Failed && took > l.limit.target {
		// The first token never came in time.
		first = took
	}
	if o.Result != Abandoned {
		l.limit.observe(first, l.inFlight)
	}
	l.inFlight--
	if o.Result == Succeeded {
		l.retries.succeed()
		l.took.add(took.Seconds())
		l.cost.add(w.cost)
	}
}
