package admitter

import (
	"sync/atomic"
	"time"

	"cyclamenhub.org/refuser"
)

// waiter is a request that was offered and is queued or decided.
type waiter struct {
	req         Request
	cost        float64
	service     *serviceState
	customer    *customer
	latestStart time.Time
	decided     bool
	decide      func(*Grant, *refuser.Refusal)
}

// Grant is the permission to send one request to backend servers.
type Grant struct {
	a       *Admitter
	w       *waiter
	started time.Time
	ended   atomic.Bool
}

// Done releases the grant. Only the first call has an effect.
func (g *Grant) Done(o Outcome) {
	if g.ended.CompareAndSwap(false, true) {
		g.a.done(g, o)
	}
}

// Retry requests permission for one more attempt. When the retry budget is
// exhausted it returns a *refuser.Refusal that says the request may have run.
func (g *Grant) Retry() error {
	if g.a.takeRetry(g.w.service) {
		return nil
	}
	return refuser.MayHaveRun(refuser.Overloaded,
		"the request failed and the retry budget of this service is spent",
		"come back after the time in Retry-After").After(minRetryAfter)
}
