package forwarder

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// comeBackFirst and comeBackSpread tell refused callers when to return:
	// spread out, so that they do not return together.
	comeBackFirst  = 300 * time.Millisecond
	comeBackSpread = 700 * time.Millisecond
)

// refusal is an answer of this host's own.
type refusal struct {
	status int
	why    string
	// after is when to come back; 0 says nothing.
	after time.Duration
}

// comeBack returns a time to come back that differs from caller to caller.
func comeBack(first time.Duration) time.Duration {
	return first + time.Duration(rand.Int64N(int64(comeBackSpread)))
}

// notRun refuses a call that surely did not run.
func notRun(why string) *refusal {
	return &refusal{http.StatusServiceUnavailable, why, comeBack(comeBackFirst)}
}

// refuse answers with a refusal.
func (x *exchange) refuse(why *refusal) {
	x.status, x.why = why.status, why.why
	h := x.w.Header()
	if why.after > 0 {
		x.f.opts.Codec.RetryAfter(h, why.after)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	x.w.WriteHeader(why.status)
	_, _ = io.WriteString(x.w, why.why+"\n")
}

// giveUp ends a call that no attempt has answered.
func (x *exchange) giveUp(why string) {
	switch {
	case x.begun:
		x.status, x.why = http.StatusOK, "broken off: "+why
		brokenOff.Inc()
		panic(http.ErrAbortHandler) // The answer must not look complete.
	case x.held != nil:
		x.why = why
		x.deliver(x.held)
	case x.runs == 0:
		x.giveBack()
		x.refuse(notRun(why))
	case errors.Is(x.ctx.Err(), context.DeadlineExceeded):
		x.refuse(&refusal{status: http.StatusGatewayTimeout, why: why})
	default:
		x.refuse(&refusal{status: http.StatusBadGateway, why: why})
	}
}

// giveBack returns the cost of a call that surely did not run.
func (x *exchange) giveBack() {
	if x.customer != nil && x.cost > 0 {
		x.f.opts.Limiter.Return(x.customer.Name, x.cost)
	}
}
