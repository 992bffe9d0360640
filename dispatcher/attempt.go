package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/connector"
	"cyclamenhub.org/identifier"
)

const (
	// reusedDivisor divides the time left until the deadline. The quotient
	// limits the first-byte time-out on a reused connection, and the time-out
	// between bytes on any connection.
	reusedDivisor = 4
	// freshDivisor divides the time left until the deadline. The quotient is
	// the first-byte time-out on a fresh connection in the first two attempts;
	// later attempts may use all the time left.
	freshDivisor = 2
	// minByteTimeout is the lower bound of the time-outs that are derived from
	// the targets of a service.
	minByteTimeout = 250 * time.Millisecond
	// timeoutFactor is the ratio of the first-byte time-out on a reused
	// connection to the first-token target of the service. The time-out between
	// bytes uses its square and the between-tokens target.
	timeoutFactor = 4
)

// attempt is one try to get an answer from one backend server.
type attempt struct {
	t      *task
	id     identifier.AttemptID
	pick   Pick
	server configurer.BackendServer
	conn   *connector.Conn
	// hasHead is set once the head of the answer has arrived, and eventsBefore counts
	// the events of earlier attempts.
	hasHead      bool
	eventsBefore int
	ctx          context.Context
	cancel       context.CancelCauseFunc
}

// attempt performs one attempt on the chosen server.
func (t *task) attempt(exec func(*attempt) result) result {
	t.d.counters.attempts.Inc()
	a := &attempt{t: t, pick: t.pick, server: t.server, id: t.d.newAttemptID(t.r.ID), eventsBefore: t.record.progress.count()}
	a.ctx, a.cancel = context.WithCancelCause(t.ctx)
	defer a.cancel(nil)
	t.setCurrentAttempt(a)
	r := a.perform(exec)
	t.setCurrentAttempt(nil)
	if !isComplete(r) && errors.Is(context.Cause(a.ctx), errMoving) {
		r = moved{}
	}
	if _, ok := r.(staleConn); !ok {
		o := a.outcome(r)
		t.finishPick(o)
		t.endVersionPick(VersionResult{Outcome: o, Evidence: a.evidence(r), Server: a.server.Name})
	}
	a.countResult(r)
	return r
}

// setCurrentAttempt records the attempt in progress; nil means that there is
// none.
func (t *task) setCurrentAttempt(a *attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a == nil {
		t.currentServer, t.stopAttempt = "", nil
		return
	}
	t.currentServer, t.stopAttempt = a.server.Name, a.cancel
	if t.freezing {
		a.cancel(errMoving)
	}
}

// newAttemptID returns an id that is unique among the attempts of all
// processes.
func (d *Dispatcher) newAttemptID(r identifier.RequestID) identifier.AttemptID {
	b := append(make([]byte, 0, len(r)+12), r...)
	b = append(b, '.')
	return identifier.AttemptID(strconv.AppendUint(b, d.sequence.Add(1), 36))
}

// perform opens a connection and runs exec on it.
func (a *attempt) perform(exec func(*attempt) result) result {
	pool := a.t.d.opt.Pool
	c, err := pool.Open(a.ctx, a.server.Address, a.t.reuse)
	if err != nil {
		return unsent{err}
	}
	a.conn = c
	r := exec(a)
	if isReusable(r) {
		pool.Release(c)
		return r
	}
	c.Close()
	if _, ok := r.(staleConn); ok {
		// The other pooled connections to this address are probably broken too.
		pool.CloseIdle(a.server.Address)
	}
	return r
}

// isReusable reports whether the exchange ended cleanly, so that the connection
// can be used again.
func isReusable(r result) bool {
	switch r.(type) {
	case complete, errorStatus:
		return true
	default:
		return false
	}
}

// outcome returns what r says about the health of the server.
func (a *attempt) outcome(r result) Outcome {
	cause := context.Cause(a.ctx)
	switch {
	case isComplete(r):
		return Succeeded
	case errors.Is(cause, errCallerLeft):
		return Neutral
	case errors.Is(cause, errMoving), a.t.d.isLeaving(a.server.Name):
		return Reclaimed
	}
	switch r := r.(type) {
	case staleConn:
		return Neutral
	case unsent:
		return Unreachable
	case lost:
		return errorOutcome(r.err)
	case unresumable:
		return errorOutcome(r.err)
	default:
		return Erred
	}
}

func isComplete(r result) bool {
	_, ok := r.(complete)
	return ok
}

// errorOutcome returns what the error of an incomplete answer says about the
// health of the server.
func errorOutcome(err error) Outcome {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		return TimedOut
	case errors.Is(err, errCrossed), errors.Is(err, errNoLength), errors.Is(err, errNoMarker), errors.Is(err, errEngineFailed),
		errors.Is(err, errAnswerTooLarge), errors.Is(err, errEventTooLarge), errors.Is(err, errMalformedEvent), errors.Is(err, errNotResumed):
		return Erred
	default:
		return ConnectionLost
	}
}

// countResult updates the counters for the result of the attempt.
func (a *attempt) countResult(r result) {
	n := &a.t.d.counters
	var err error
	switch r := r.(type) {
	case unsent:
		n.unsent.Inc()
	case staleConn:
		n.silent.Inc()
	case lost:
		err = r.err
	}
	switch {
	case err == nil:
	case errors.Is(err, errCrossed):
		n.crossed.Inc()
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, errNoLength), errors.Is(err, errNoMarker):
		n.truncated.Inc()
	case errors.Is(err, os.ErrDeadlineExceeded):
		n.late.Inc()
	default:
		n.broken.Inc()
	}
}

// exchange sends body and returns the head of the answer, or the result of the
// attempt if that fails.
func (a *attempt) exchange(body []byte, limits connector.Limits) (*connector.Response, result) {
	limits.Deadline = a.t.r.Deadline
	limits.BeforeSend = a.t.ledger.recordSend
	limits.GiveUp = a.giveUp
	a.t.markSent()
	res, err := a.conn.Exchange(a.ctx, a.request(body), limits)
	if err != nil {
		return nil, exchangeFailure(err)
	}
	a.hasHead = true
	if a.isCrossed(res) {
		return nil, lost{err: errCrossed}
	}
	return res, nil
}

// isCrossed reports whether an answer belongs to another attempt: it bears another id, or
// none although an earlier answer on the connection did.
func (a *attempt) isCrossed(res *connector.Response) bool {
	switch echo := res.Header.Get(AttemptHeader); echo {
	case "":
		return a.conn.BearsIDs()
	case string(a.id):
		a.conn.RecordID()
		return false
	default:
		return true
	}
}

// giveUp reports whether the attempt, whose server has been silent for too long, ends:
// only if another one may follow. Otherwise the silent server may go on.
func (a *attempt) giveUp() bool {
	t := a.t
	p := &t.record.progress
	switch {
	case t.ledger.nonIdempotent, t.ledger.attempts+1 >= maxAttempts, p.opaque && p.count() > 0:
		return false
	case a.conn.Reused() && !a.hasHead, p.count() > a.eventsBefore:
		return true // The next attempt is not charged.
	}
	t.hasRetry = t.hasRetry || t.mayRetry()
	return t.hasRetry
}

// markSent records the time at which the first attempt is sent.
func (t *task) markSent() {
	if t.sentAt.IsZero() {
		t.sentAt = t.d.opt.Clock.Now()
	}
}

// markFirstToken records the time to the first token of a generation, or to the
// answer of a call.
func (t *task) markFirstToken() {
	if t.firstToken == 0 {
		t.firstToken = t.d.opt.Clock.Now().Sub(t.sentAt)
	}
	t.pick.FirstToken()
}

// exchangeFailure returns the result for an error of an exchange.
func exchangeFailure(err error) result {
	var e *connector.Error
	if !errors.As(err, &e) {
		return lost{err: err}
	}
	switch {
	case !e.Sent:
		return unsent{e}
	case e.Reused:
		return staleConn{e}
	default:
		return lost{err: e}
	}
}

// request returns the HTTP request of the attempt.
func (a *attempt) request(body []byte) *http.Request {
	r := a.t.r
	h := make(http.Header, len(r.Header)+4)
	for k, v := range r.Header {
		h[k] = v
	}
	h[AttemptHeader] = []string{string(a.id)}
	h["X-Request-Id"] = []string{string(a.id)}
	if r.Key != "" {
		h[KeyHeader] = []string{string(r.Key)}
	}
	req := &http.Request{
		Method: r.Method, URL: &url.URL{Opaque: r.Path}, Host: a.server.Address,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: h, Body: http.NoBody,
	}
	if len(body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(body))
		req.ContentLength = int64(len(body))
	}
	return req
}

// firstByteTimeout returns how long the attempt may wait for the first byte of
// the answer.
func (a *attempt) firstByteTimeout() time.Duration {
	left := a.t.r.Deadline.Sub(a.t.d.opt.Clock.Now())
	if a.t.ledger.nonIdempotent {
		return left
	}
	if !a.conn.Reused() {
		if a.t.ledger.attempts > 1 {
			return left
		}
		return left / freshDivisor
	}
	limit := left / reusedDivisor
	if target := a.t.r.Service.FirstTokenTarget.Std(); target > 0 {
		limit = min(limit, max(timeoutFactor*target, minByteTimeout))
	}
	return limit
}

// betweenBytesTimeout returns how long the attempt may wait for each further
// byte.
func (a *attempt) betweenBytesTimeout() time.Duration {
	left := a.t.r.Deadline.Sub(a.t.d.opt.Clock.Now())
	if a.t.ledger.nonIdempotent {
		return left
	}
	limit := left / reusedDivisor
	if target := a.t.r.Service.BetweenTokensTarget.Std(); target > 0 {
		limit = min(limit, max(timeoutFactor*timeoutFactor*target, minByteTimeout))
	}
	return limit
}
