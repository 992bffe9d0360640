package dispatcher

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"time"

	"cyclamenhub.org/claimer"
	"cyclamenhub.org/refuser"
)

// claimTimeout limits the claim operations that follow the end of a request:
// storing the receipt, and releasing or abandoning the claim.
const claimTimeout = 2 * time.Second

// callWithClaim runs a non-idempotent call after claiming its idempotency key.
func (t *task) callWithClaim() *refuser.Refusal {
	c := t.newClaim()
	verdict, err := t.d.opt.Claimer.Claim(t.ctx, c)
	if err != nil {
		return t.claimFailure(err)
	}
	if _, ok := verdict.(claimer.Granted); !ok {
		return t.answerVerdict(verdict)
	}
	refusal := t.run(t.callOnce)
	switch {
	case refusal == nil:
		t.settleClaim(c)
	case refusal.IsNotRun():
		t.inBackground(func(ctx context.Context) error { return t.d.opt.Claimer.Release(ctx, c) })
	default:
		t.inBackground(func(ctx context.Context) error { return t.d.opt.Claimer.Abandon(ctx, c) })
	}
	return refusal
}

// newClaim returns the claim for the call.
func (t *task) newClaim() claimer.Claim {
	return claimer.Claim{
		Customer: t.r.Customer, Key: t.r.Key, Service: t.r.Service.Name, Route: t.r.Route,
		Digest: sha256.Sum256(t.r.Body), Request: t.r.ID, Token: claimer.NewToken(),
		Horizon: t.d.Table().Limits().ClaimHorizon.Std(), RunFor: t.r.Deadline.Sub(t.d.opt.Clock.Now()),
	}
}

// claimFailure returns the refusal of a call whose key could not be claimed.
func (t *task) claimFailure(err error) *refuser.Refusal {
	var f *refuser.Refusal
	if errors.As(err, &f) && f.IsNotRun() {
		return f
	}
	return t.ledger.refuse(refuser.NoMajority, "the key could not be claimed",
		"come back after the time in Retry-After, with the same key").After(defaultRetryAfter)
}

// settleClaim stores the receipt before the answer is sent. If that fails, the
// caller still gets the answer, and a later call with the same key is refused
// with kind Unknown.
func (t *task) settleClaim(c claimer.Claim) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.ctx), claimTimeout)
	defer cancel()
	r := claimer.Receipt{Status: t.lastAnswer.Status, Header: t.lastAnswer.Header, Body: t.lastAnswer.Body, BodyBytes: int64(len(t.lastAnswer.Body))}
	if err := t.d.opt.Claimer.Settle(ctx, c, r); err != nil {
		t.d.counters.unsettled.Inc()
	}
	t.deliver(t.lastAnswer)
}

// inBackground runs f without delaying the final answer. A claim that is left
// behind by a failure of f never authorises another send.
func (t *task) inBackground(f func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.ctx), claimTimeout)
	go func() {
		defer cancel()
		if f(ctx) != nil {
			t.d.counters.unsettled.Inc()
		}
	}()
}

// answerVerdict answers a call whose key was claimed before.
func (t *task) answerVerdict(v claimer.Verdict) *refuser.Refusal {
	switch v := v.(type) {
	case claimer.Settled:
		return t.answerReceipt(&v.Receipt)
	case claimer.InProgress:
		return refuser.MayHaveRun(refuser.Running, "the action is running under request "+string(v.Request),
			"ask again with the same key after the time in Retry-After").After(defaultRetryAfter)
	case claimer.Reused:
		return refuser.NotRun(refuser.KeyReused, "the idempotency key belongs to a different action",
			"use a new key for a new action")
	default:
		return refuser.MayHaveRun(refuser.Unknown, "the action may have run and has no receipt",
			"look at the service whether it ran before sending it under a new key")
	}
}

// answerReceipt answers from a stored receipt.
func (t *task) answerReceipt(r *claimer.Receipt) *refuser.Refusal {
	if !r.HasFullBody() {
		return refuser.MayHaveRun(refuser.Conflict, fmt.Sprintf("the action ran with status %d and its answer of %d bytes was not kept", r.Status, r.BodyBytes),
			"read the result from the service; do not send the action again")
	}
	t.deliver(&Answer{Head: Head{Status: r.Status, Header: r.Header}, Body: r.Body})
	return nil
}
