package claimer

import (
	"context"
	"errors"
	"time"

	"cyclamenhub.org/refuser"
)

// releaseTimeout bounds the release of a claim whose proposal had no answer and
// that may or may not have been committed.
const releaseTimeout = 5 * time.Second

// Proposer appends entries to the logs of the claim groups.
type Proposer interface {
	// Propose returns the answer to an entry once it is committed. On an error,
	// the entry may or may not be committed; it is safe to propose it again.
	Propose(ctx context.Context, group int, entry []byte) (answer []byte, err error)
}

// ReplicatedClaimer grants claims that a majority of the claim group has
// committed. It is safe for concurrent use.
type ReplicatedClaimer struct {
	proposer Proposer
	groups   int
}

// NewReplicatedClaimer returns a claimer that distributes keys over the given
// number of claim groups, at least one.
func NewReplicatedClaimer(p Proposer, groups int) *ReplicatedClaimer {
	return &ReplicatedClaimer{proposer: p, groups: max(1, groups)}
}

// Claim claims the key of c and returns the verdict once a majority has
// committed the claim. If the proposal gets no answer, Claim returns an error
// and releases the claim in the background in case it was committed.
func (r *ReplicatedClaimer) Claim(ctx context.Context, c Claim) (Verdict, error) {
	a, err := r.propose(ctx, c, acquireOf(&c))
	if err == nil {
		return verdictOf(a)
	}
	// The caller's context may have ended, so the release has its own time-out.
	releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	go func() {
		defer cancel()
		// If the release fails, the key stays claimed until it expires, which
		// is safe.
		_ = r.Release(releaseCtx, c)
	}()
	return nil, refuser.NotRun(refuser.NoMajority, "the key could not be claimed: "+err.Error(),
		"send the request again with the same key after the time in Retry-After").After(time.Second)
}

// Settle stores the receipt and returns once a majority has committed it.
func (r *ReplicatedClaimer) Settle(ctx context.Context, c Claim, receipt Receipt) error {
	return r.proposeUpdate(ctx, c, settle{keyDigest: c.keyDigest(), token: c.Token, receipt: receipt.bounded()})
}

// Release removes a claim for which nothing was sent.
func (r *ReplicatedClaimer) Release(ctx context.Context, c Claim) error {
	return r.proposeUpdate(ctx, c, release{keyDigest: c.keyDigest(), token: c.Token})
}

// Abandon records that the claim has no receipt.
func (r *ReplicatedClaimer) Abandon(ctx context.Context, c Claim) error {
	return r.proposeUpdate(ctx, c, abandon{keyDigest: c.keyDigest(), token: c.Token})
}

// proposeUpdate proposes an event other than acquire and returns an error
// unless the answer confirms it.
func (r *ReplicatedClaimer) proposeUpdate(ctx context.Context, c Claim, ev Event) error {
	a, err := r.propose(ctx, c, ev)
	if err != nil {
		return err
	}
	return errorOf(a)
}

// propose appends ev to the log of the claim group of c and returns its answer.
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

// verdictOf returns a as a verdict, or the refusal for any other answer.
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

// errorOf returns nil if a confirms an event, and an error otherwise.
func errorOf(a answer) error {
	switch a := a.(type) {
	case acknowledged:
		return nil
	case notHeld:
		return ErrNotHeld
	case malformed:
		return errors.New(a.problem)
	default:
		return errors.New("the claim group gave no answer: run one version on every host")
	}
}
