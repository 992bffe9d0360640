package claimer

import (
	"context"
	"errors"
	"time"

	"cyclamenhub.org/refuser"
)

// releaseTimeout bounds the release of a claim that may or may not have been
// made.
const releaseTimeout = 5 * time.Second

// Proposer reaches the log of a claim group.
type Proposer interface {
	// Propose returns the answer of an entry once it is committed. On an error
	// the entry may be committed or not; it is safe to propose it again.
	Propose(ctx context.Context, group int, entry []byte) (answer []byte, err error)
}

// ReplicatedClaimer grants claims by the majority of a claim group. It is safe
// for concurrent use.
type ReplicatedClaimer struct {
	proposer Proposer
	groups   int
}

// NewReplicatedClaimer returns a claimer over that many claim groups.
func NewReplicatedClaimer(p Proposer, groups int) *ReplicatedClaimer {
	return &ReplicatedClaimer{proposer: p, groups: max(1, groups)}
}

// Claim answers c once a majority holds the claim. Without an answer nothing is
// sent, and the claim, should it have been made, is given back.
func (r *ReplicatedClaimer) Claim(ctx context.Context, c Claim) (Verdict, error) {
	a, err := r.propose(ctx, c, acquireOf(&c))
	if err == nil {
		return verdictOf(a)
	}
	// The caller's context may have ended; the release has its own time.
	releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	go func() {
		defer cancel()
		// A claim that stays refuses the key until it expires, which is safe.
		_ = r.Release(releaseCtx, c)
	}()
	return nil, refuser.NotRun(refuser.NoMajority, "the key could not be claimed: "+err.Error(),
		"send the request again with the same key after the time in Retry-After").After(time.Second)
}

// Settle stores the receipt at a majority.
func (r *ReplicatedClaimer) Settle(ctx context.Context, c Claim, receipt Receipt) error {
	return r.note(ctx, c, settle{name: c.name(), token: c.Token, receipt: receipt.bounded()})
}

// Release gives the claim back.
func (r *ReplicatedClaimer) Release(ctx context.Context, c Claim) error {
	return r.note(ctx, c, release{name: c.name(), token: c.Token})
}

// Abandon notes that the claim has no receipt.
func (r *ReplicatedClaimer) Abandon(ctx context.Context, c Claim) error {
	return r.note(ctx, c, abandon{name: c.name(), token: c.Token})
}

// note proposes an event that is not a claim.
func (r *ReplicatedClaimer) note(ctx context.Context, c Claim, ev Event) error {
	a, err := r.propose(ctx, c, ev)
	if err != nil {
		return err
	}
	return errorOf(a)
}

// propose puts ev into the log of c's group.
func (r *ReplicatedClaimer) propose(ctx context.Context, c Claim, ev Event) (answer, error) {
	entry, err := EncodeEvent(ev)
	if err != nil {
		return nil, err
	}
	b, err := r.proposer.Propose(ctx, GroupOf(c.Customer, c.Key, r.groups), entry)
	if err != nil {
		return nil, err
	}
	return decodeAnswer(b)
}

// verdictOf returns the verdict that a is, or the refusal.
func verdictOf(a answer) (Verdict, error) {
	switch a := a.(type) {
	case Verdict:
		return a, nil
	case full:
		return nil, refuser.NotRun(refuser.Overloaded, "the claim table has no room for this customer",
			"come back after the time in Retry-After, or have limits.claimHorizon shortened").After(time.Minute)
	case notHeld:
		return nil, refuser.NotRun(refuser.Conflict, "the claim was given back before it was made", "send the request again with the same key")
	case malformed:
		return nil, refuser.NotRun(refuser.Malformed, a.problem, "correct the request or the configuration")
	default:
		return nil, refuser.NotRun(refuser.Internal, "the claim group gave no verdict", "run one version on every host")
	}
}

// errorOf returns nil if a confirms an event.
func errorOf(a answer) error {
	switch a := a.(type) {
	case noted:
		return nil
	case notHeld:
		return ErrNotHeld
	case malformed:
		return errors.New(a.problem)
	default:
		return errors.New("the claim group gave no answer: run one version on every host")
	}
}
