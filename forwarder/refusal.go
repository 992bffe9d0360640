package forwarder

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

const (
	// minRetryAfter and retryAfterJitter determine the retry time in a refusal.
	// The jitter keeps refused callers from retrying all at the same time.
	minRetryAfter    = 300 * time.Millisecond
	retryAfterJitter = 700 * time.Millisecond
)

// refusal is a response that this host generates itself.
type refusal struct {
	status int
	reason string
	// retryAfter is the time after which to retry; 0 means none is given.
	retryAfter time.Duration
}

// jitteredRetryAfter returns a random retry time between first and first plus
// retryAfterJitter.
func jitteredRetryAfter(first time.Duration) time.Duration {
	return first + time.Duration(rand.Int64N(int64(retryAfterJitter)))
}

// refuseNotRun returns a refusal of a call that certainly did not run.
func refuseNotRun(reason string) *refusal { return refuseNotRunFor(reason, minRetryAfter) }

// refuseNotRunFor returns a refusal of a call that certainly did not run and may
// come back after the given time, or minRetryAfter if that is longer.
func refuseNotRunFor(reason string, after time.Duration) *refusal {
	return &refusal{http.StatusServiceUnavailable, reason, jitteredRetryAfter(max(after, minRetryAfter))}
}

// refuse writes a refusal to the caller.
func (x *exchange) refuse(r *refusal) {
	x.status, x.reason = r.status, r.reason
	if x.isRead || x.r.Body == http.NoBody || x.discardSmall() {
		x.writeRefusal(r)
		return
	}
	x.refuseAndClose(r)
}

// writeRefusal writes the header and the text of a refusal.
func (x *exchange) writeRefusal(r *refusal) {
	h := x.w.Header()
	if r.retryAfter > 0 {
		x.f.opts.Codec.RetryAfter(h, r.retryAfter)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	text := r.reason + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	x.w.WriteHeader(r.status)
	_, _ = io.WriteString(x.w, text)
}

// fail ends a call that no attempt has answered.
func (x *exchange) fail(reason string) {
	switch {
	case x.headerSent:
		x.status, x.reason = http.StatusOK, "broken off: "+reason
		streamsBrokenOff.Inc()
		panic(http.ErrAbortHandler) // The response must not look complete.
	case x.heldResponse != nil:
		x.reason = reason
		x.writeResponse(x.heldResponse)
	case x.runs == 0:
		x.refundCost()
		x.refuse(x.refusalOfUnsent(reason))
	case errors.Is(x.ctx.Err(), context.DeadlineExceeded):
		x.refuse(&refusal{status: http.StatusGatewayTimeout, reason: reason})
	default:
		x.refuse(&refusal{status: http.StatusBadGateway, reason: reason})
	}
}

// refusalOfUnsent returns the refusal of a call that certainly did not run.
func (x *exchange) refusalOfUnsent(reason string) *refusal {
	if x.keyWithdrawn {
		return &refusal{status: http.StatusUnauthorized, reason: reason}
	}
	if r := x.refuseIsolated(); r != nil {
		return r
	}
	return refuseNotRunFor(reason, x.returnAfter)
}

// refundCost returns the cost of a call that certainly did not run to its
// customer's rate.
func (x *exchange) refundCost() {
	if x.customer != nil && x.cost > 0 {
		x.f.opts.Limiter.Return(x.customer.Name, x.cost)
	}
}
