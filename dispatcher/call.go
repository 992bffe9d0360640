package dispatcher

import (
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"cyclamenhub.org/connector"
	"cyclamenhub.org/refuser"
)

const (
	// maxAnswerBytes bounds the answer of a call.
	maxAnswerBytes = 16 << 20
	// maxKeptBytes bounds the answer that is kept with a finished request.
	maxKeptBytes = 64 << 10
)

var (
	errNoLength       = errors.New("the answer declares no length")
	errAnswerTooLarge = errors.New("the answer is too large")
)

// call runs a plain call.
func (t *task) call() *refuser.Refusal {
	if t.ledger.nonIdempotent && t.r.Key != "" {
		return t.claimed()
	}
	if refusal := t.run(t.callOnce); refusal != nil {
		return refusal
	}
	t.deliver(t.held)
	return nil
}

// claimed runs a non-idempotent call under its caller's key.
func (t *task) claimed() *refuser.Refusal {
	c := Claim{
		Customer: t.r.Customer, Key: t.r.Key, Service: t.r.Service.Name, Route: t.r.Route,
		Digest: sha256.Sum256(t.r.Body), Request: t.r.ID,
	}
	claimer := t.d.opt.Claimer
	verdict, err := claimer.Claim(t.ctx, c)
	if err != nil {
		return t.unclaimed(err)
	}
	if _, ok := verdict.(Granted); !ok {
		return t.settled(verdict)
	}
	refusal := t.run(t.callOnce)
	switch {
	case refusal == nil:
		return t.receipt(c)
	case refusal.IsNotRun():
		// A claim that stays behind refuses the key until it expires, which is
		// safe; the refusal at hand is true either way.
		_ = claimer.Release(t.ctx, c)
	default:
		_ = claimer.Abandon(t.ctx, c)
	}
	return refusal
}

// unclaimed refuses a call whose claim could not be made.
func (t *task) unclaimed(err error) *refuser.Refusal {
	var f *refuser.Refusal
	if errors.As(err, &f) && f.IsNotRun() {
		return f
	}
	return t.ledger.refuse(refuser.NoMajority, "the key could not be claimed",
		"come back after the time in Retry-After, with the same key").After(comeBackAfter)
}

// receipt stores the answer before it leaves.
func (t *task) receipt(c Claim) *refuser.Refusal {
	r := Receipt{Status: t.held.Status, Header: t.held.Header, Body: t.held.Body}
	if err := t.d.opt.Claimer.Settle(t.ctx, c, r); err != nil {
		t.d.opt.Log.Warn("receipt not stored", "request", string(t.r.ID), "error", err)
	}
	t.deliver(t.held)
	return nil
}

// settled answers a call whose key was claimed before.
func (t *task) settled(v Verdict) *refuser.Refusal {
	switch v := v.(type) {
	case Settled:
		t.deliver(&Answer{Head: Head{Status: v.Receipt.Status, Header: v.Receipt.Header}, Body: v.Receipt.Body})
		return nil
	case InProgress:
		return refuser.MayHaveRun(refuser.Running, "the action is running under request "+string(v.Request),
			"ask again with the same key after the time in Retry-After").After(comeBackAfter)
	case Reused:
		return refuser.NotRun(refuser.KeyReused, "the idempotency key belongs to a different action",
			"use a new key for a new action")
	default:
		return refuser.MayHaveRun(refuser.Unknown, "the action may have run and has no receipt",
			"look at the service whether it ran before sending it under a new key")
	}
}

// callOnce performs one attempt of a call.
func (t *task) callOnce(a *attempt) result {
	res, failure := a.exchange(t.r.Body, connector.Limits{FirstByte: a.firstByte(), Silence: a.betweenBytes()})
	if failure != nil {
		return failure
	}
	body, err := readWhole(res)
	if err != nil {
		return lost{err: err}
	}
	t.held = &Answer{Head: Head{Status: res.Status, Header: ForwardedHeader(res.Header)}, Body: body}
	if res.Status >= http.StatusInternalServerError || res.Status == http.StatusTooManyRequests {
		return answered{res.Status}
	}
	return whole{}
}

// deliver sends a whole answer to the caller.
func (t *task) deliver(a *Answer) {
	if t.adopted || len(a.Body) <= maxKeptBytes {
		t.kept = a
	}
	t.begin(a.wholeHead())
	t.write(a.Body)
}

// wholeHead returns the head with the body's length.
func (a *Answer) wholeHead() Head {
	h := Head{Status: a.Status, Header: a.Header.Clone()}
	if len(a.Body) > 0 {
		h.Header.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	return h
}

// readWhole reads a body that tells its own end.
func readWhole(res *connector.Response) ([]byte, error) {
	if !res.Bounded {
		return nil, errNoLength
	}
	if res.Length > maxAnswerBytes {
		return nil, errAnswerTooLarge
	}
	if n := res.Length; n >= 0 {
		b := make([]byte, n)
		_, err := io.ReadFull(res.Body, b)
		return b, err
	}
	b, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	if err == nil && len(b) > maxAnswerBytes {
		err = errAnswerTooLarge
	}
	return b, err
}

// hopHeaders belong to one connection (RFC 9110, section 7.6.1).
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	"Proxy-Connection": true, "Date": true, AttemptHeader: true,
}

// ForwardedHeader returns the headers that go on to the next hop.
func ForwardedHeader(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for k, v := range h {
		if !hopHeaders[k] && !namedByConnection(h, k) {
			out[k] = v
		}
	}
	return out
}

// namedByConnection reports whether the Connection header names k.
func namedByConnection(h http.Header, k string) bool {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			if http.CanonicalHeaderKey(strings.TrimSpace(name)) == k {
				return true
			}
		}
	}
	return false
}
