package admitter

import (
	"sync/atomic"
	"time"

	"cyclamenhub.org/refuser"
)

// waiter is a request between its arrival and its decision.
type waiter struct {
	req     Request
	cost    float64
	lane    *lane
	cust    *customer
	latest  time.Time
	decided bool
	decide  func(*Grant, *refuser.Refusal)
}

// Grant is the right to send one request to backend servers.
type Grant struct {
	a       *Admitter
	w       *waiter
	started time.Time
	ended   atomic.Bool
}

// Done gives the grant back. Only the first call counts.
func (g *Grant) Done(o Outcome) {
	if g.ended.CompareAndSwap(false, true) {
		g.a.done(g, o)
	}
}

// Retry asks for one more attempt. The error says that the request may have
// run, and is returned when the retry budget is spent.
func (g *Grant) Retry() error {
	if g.a.takeRetry(g.w.lane) {
		return nil
	}
	return refuser.MayHaveRun(refuser.Overloaded,
		"the request failed and the retry budget of this service is spent",
		"come back after the time in Retry-After").After(minRetryAfter)
}
