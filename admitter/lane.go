package admitter

import (
	"time"

	"cyclamenhub.org/identifier"
)

// lane is the queue and the limit of one service.
type lane struct {
	service  identifier.Service
	limit    limit
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
	return &lane{
		service: l.Service,
		limit:   newLimit(l.FirstTokenTarget, l.Concurrency),
		queue:   fairQueue{batchShare: cfg.BatchShare},
		retries: newRetryBudget(cfg.RetryShare),
	}
}

// queueWait estimates how long r would wait to start: the tokens ahead of it
// over the recent rate, which is limit × cost / took (Little's law).
func (l *lane) queueWait(r *Request, weight float64) time.Duration {
	if l.queue.length == 0 && float64(l.inFlight)+1 <= l.limit.value {
		return 0
	}
	if !l.took.known || l.cost.value <= 0 {
		return 0
	}
	perToken := l.took.value / (l.limit.value * l.cost.value)
	return seconds((l.queue.ahead(r, weight) + l.cost.value) * perToken)
}

// drainTime estimates how long the whole queue takes.
func (l *lane) drainTime() time.Duration {
	if l == nil {
		return 0
	}
	return seconds(float64(l.queue.length+1) * l.took.value / l.limit.value)
}

// latestStart is the last moment at which r can start and still be answered by
// its deadline, by the recent service time; zero means any.
func (l *lane) latestStart(r *Request) time.Time {
	if r.Deadline.IsZero() {
		return time.Time{}
	}
	return r.Deadline.Add(-l.took.duration())
}

// done takes in how a granted request ended.
func (l *lane) done(w *waiter, o Outcome, took time.Duration) {
	l.inFlight--
	if o.Result == Abandoned {
		return
	}
	l.limit.observe(o.FirstToken)
	if o.Result == Succeeded {
		l.retries.succeed()
		l.took.add(took.Seconds())
		l.cost.add(w.cost)
	}
}
