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
	// reusedShare is the part of the time left, as 1/reusedShare, that a reused
	// connection may stay silent.
	reusedShare = 4
	// freshShare is the same for a fresh connection while others may follow.
	freshShare = 2
	// minSilence is the least time that a reused connection is given.
	minSilence = 250 * time.Millisecond
	// silenceFactor times a service's target is the longest silence.
	silenceFactor = 4
)

// attempt is one try to have a request answered by one backend server.
type attempt struct {
	t      *task
	id     identifier.AttemptID
	pick   Pick
	server configurer.BackendServer
	conn   *connector.Conn
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// attempt performs one attempt on the chosen server.
func (t *task) attempt(exec func(*attempt) result) result {
	t.d.counters.attempts.Inc()
	a := &attempt{t: t, pick: t.pick, server: t.server, id: t.d.newAttemptID(t.r.ID)}
	a.ctx, a.cancel = context.WithCancelCause(t.ctx)
	defer a.cancel(nil)
	t.enter(a)
	r := a.perform(exec)
	t.enter(nil)
	if !isWhole(r) && errors.Is(context.Cause(a.ctx), errMoving) {
		r = moved{}
	}
	if _, ok := r.(silent); !ok {
		o := a.outcome(r)
		t.finishPick(o)
		t.endDraw(Ending{Outcome: o, Evidence: a.evidence(r), Server: a.server.Name})
	}
	a.count(r)
	return r
}

// enter notes the attempt that is at work; nil means none.
func (t *task) enter(a *attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a == nil {
		t.at, t.stopAttempt = "", nil
		return
	}
	t.at, t.stopAttempt = a.server.Name, a.cancel
	if t.parking {
		a.cancel(errMoving)
	}
}

// newAttemptID returns an id that no other attempt of any process has.
func (d *Dispatcher) newAttemptID(r identifier.RequestID) identifier.AttemptID {
	b := append(make([]byte, 0, len(r)+12), r...)
	b = append(b, '.')
	return identifier.AttemptID(strconv.AppendUint(b, d.sequence.Add(1), 36))
}

// perform opens a connection and lets exec use it.
func (a *attempt) perform(exec func(*attempt) result) result {
	pool := a.t.d.opt.Pool
	c, err := pool.Open(a.ctx, a.server.Address, a.t.reuse)
	if err != nil {
		return unsent{err}
	}
	a.conn = c
	r := exec(a)
	if clean(r) {
		pool.Release(c)
		return r
	}
	c.Close()
	if _, ok := r.(silent); ok {
		// Its fellows went the same way.
		pool.Forget(a.server.Address)
	}
	return r
}

// clean reports whether the connection ended its exchange properly.
func clean(r result) bool {
	switch r.(type) {
	case whole, answered:
		return true
	default:
		return false
	}
}

// outcome tells what r says about the server.
func (a *attempt) outcome(r result) Outcome {
	cause := context.Cause(a.ctx)
	switch {
	case isWhole(r):
		return Succeeded
	case errors.Is(cause, errCallerLeft):
		return Neutral
	case errors.Is(cause, errMoving), a.t.d.isLeaving(a.server.Name):
		return Reclaimed
	}
	switch r := r.(type) {
	case silent:
		return Neutral
	case unsent:
		return Unreached
	case lost:
		return outcomeOf(r.err)
	case cutOff:
		return outcomeOf(r.err)
	default:
		return Erred
	}
}

func isWhole(r result) bool {
	_, ok := r.(whole)
	return ok
}

// outcomeOf tells what the error of an incomplete answer says about the server.
func outcomeOf(err error) Outcome {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
		return Unanswered
	case errors.Is(err, errCrossed), errors.Is(err, errNoLength), errors.Is(err, errNoMarker), errors.Is(err, errEngineSays),
		errors.Is(err, errAnswerTooLarge), errors.Is(err, errEventTooLarge), errors.Is(err, errNotAnEvent), errors.Is(err, errNotResumed):
		return Erred
	default:
		return Broken
	}
}

// count counts what became of the attempt.
func (a *attempt) count(r result) {
	n := &a.t.d.counters
	var err error
	switch r := r.(type) {
	case unsent:
		n.unsent.Inc()
	case silent:
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

// exchange sends body and returns the head of the answer, or what became of
// the attempt.
func (a *attempt) exchange(body []byte, limits connector.Limits) (*connector.Response, result) {
	limits.Deadline = a.t.r.Deadline
	limits.Sending = a.t.ledger.send
	a.t.noteSend()
	res, err := a.conn.Exchange(a.ctx, a.request(body), limits)
	if err != nil {
		return nil, failed(err)
	}
	if echo := res.Header.Get(AttemptHeader); echo != "" && echo != string(a.id) {
		return nil, lost{err: errCrossed}
	}
	return res, nil
}

// noteSend notes when the first attempt was sent.
func (t *task) noteSend() {
	if t.sentAt.IsZero() {
		t.sentAt = t.d.opt.Clock.Now()
	}
}

// noteFirstToken notes when the first token, or the answer of a call, came.
func (t *task) noteFirstToken() {
	if t.firstToken == 0 {
		t.firstToken = t.d.opt.Clock.Now().Sub(t.sentAt)
	}
	t.pick.FirstToken()
}

// failed returns the result that an error of an exchange stands for.
func failed(err error) result {
	var e *connector.Error
	if !errors.As(err, &e) {
		return lost{err: err}
	}
	switch {
	case !e.Sent:
		return unsent{e}
	case e.Reused:
		return silent{e}
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

// firstByte returns how long the attempt may wait for its first byte.
func (a *attempt) firstByte() time.Duration {
	left := a.t.r.Deadline.Sub(a.t.d.opt.Clock.Now())
	if a.t.ledger.nonIdempotent {
		return left
	}
	if !a.conn.Reused() {
		if a.t.ledger.attempts > 1 {
			return left
		}
		return left / freshShare
	}
	limit := left / reusedShare
	if target := a.t.r.Service.FirstTokenTarget.Std(); target > 0 {
		limit = min(limit, max(silenceFactor*target, minSilence))
	}
	return limit
}

// betweenBytes returns how long the attempt may wait for each further byte.
func (a *attempt) betweenBytes() time.Duration {
	left := a.t.r.Deadline.Sub(a.t.d.opt.Clock.Now())
	if a.t.ledger.nonIdempotent {
		return left
	}
	limit := left / reusedShare
	if target := a.t.r.Service.BetweenTokensTarget.Std(); target > 0 {
		limit = min(limit, max(silenceFactor*silenceFactor*target, minSilence))
	}
	return limit
}
