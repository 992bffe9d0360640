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

// claimTimeout bounds what follows a claim once the request has ended: the
// receipt, and giving the claim back.
const claimTimeout = 2 * time.Second

// claimed runs a non-idempotent call under its caller's key.
func (t *task) claimed() *refuser.Refusal {
	c := t.claim()
	verdict, err := t.d.opt.Claimer.Claim(t.ctx, c)
	if err != nil {
		return t.unclaimed(err)
	}
	if _, ok := verdict.(claimer.Granted); !ok {
		return t.settled(verdict)
	}
	refusal := t.run(t.callOnce)
	switch {
	case refusal == nil:
		t.settle(c)
	case refusal.IsNotRun():
		t.afterwards(func(ctx context.Context) error { return t.d.opt.Claimer.Release(ctx, c) })
	default:
		t.afterwards(func(ctx context.Context) error { return t.d.opt.Claimer.Abandon(ctx, c) })
	}
	return refusal
}

// claim returns the claim of the call.
func (t *task) claim() claimer.Claim {
	return claimer.Claim{
		Customer: t.r.Customer, Key: t.r.Key, Service: t.r.Service.Name, Route: t.r.Route,
		Digest: sha256.Sum256(t.r.Body), Request: t.r.ID, Token: claimer.NewToken(),
		Horizon: t.d.Table().Limits().ClaimHorizon.Std(), RunFor: t.r.Deadline.Sub(t.d.opt.Clock.Now()),
	}
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

// settle stores the receipt before the answer leaves. Where that fails, the
// answer still goes to its caller, and a later call under the key hears that
// the outcome is unknown.
func (t *task) settle(c claimer.Claim) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.ctx), claimTimeout)
	defer cancel()
	r := claimer.Receipt{Status: t.held.Status, Header: t.held.Header, Body: t.held.Body, BodyBytes: int64(len(t.held.Body))}
	if err := t.d.opt.Claimer.Settle(ctx, c, r); err != nil {
		t.d.counters.unsettled.Inc()
	}
	t.deliver(t.held)
}

// afterwards does f when the final answer does not wait for it. A claim that
// stays behind never authorises another send.
func (t *task) afterwards(f func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.ctx), claimTimeout)
	go func() {
		defer cancel()
		if f(ctx) != nil {
			t.d.counters.unsettled.Inc()
		}
	}()
}

// settled answers a call whose key was claimed before.
func (t *task) settled(v claimer.Verdict) *refuser.Refusal {
	switch v := v.(type) {
	case claimer.Settled:
		return t.repeat(&v.Receipt)
	case claimer.InProgress:
		return refuser.MayHaveRun(refuser.Running, "the action is running under request "+string(v.Request),
			"ask again with the same key after the time in Retry-After").After(comeBackAfter)
	case claimer.Reused:
		return refuser.NotRun(refuser.KeyReused, "the idempotency key belongs to a different action",
			"use a new key for a new action")
	default:
		return refuser.MayHaveRun(refuser.Unknown, "the action may have run and has no receipt",
			"look at the service whether it ran before sending it under a new key")
	}
}

// repeat answers with a receipt.
func (t *task) repeat(r *claimer.Receipt) *refuser.Refusal {
	if !r.IsWhole() {
		return refuser.MayHaveRun(refuser.Conflict, fmt.Sprintf("the action ran with status %d and its answer of %d bytes was not kept", r.Status, r.BodyBytes),
			"read the result from the service; do not send the action again")
	}
	t.deliver(&Answer{Head: Head{Status: r.Status, Header: r.Header}, Body: r.Body})
	return nil
}
