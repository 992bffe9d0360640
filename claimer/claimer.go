package claimer

import (
	"context"
	"errors"
)

// Claimer grants each idempotency key at most once.
type Claimer interface {
	// Claim claims the key of c and returns the verdict. On an error, the
	// caller must not send the request; the error is a *refuser.Refusal that
	// says not run.
	Claim(ctx context.Context, c Claim) (Verdict, error)
	// Settle stores the receipt. It must be called before the answer is sent to
	// the caller.
	Settle(ctx context.Context, c Claim, r Receipt) error
	// Release removes a granted claim for which certainly nothing was sent, so
	// that the key can be claimed again. Only the owner of the request may call
	// it.
	Release(ctx context.Context, c Claim) error
	// Abandon records that the action may have run and has no receipt.
	Abandon(ctx context.Context, c Claim) error
}

// ErrNotHeld means that a claim is no longer held with its token.
var ErrNotHeld = errors.New("the claim has expired or is settled, released or abandoned already: look at the service whether the action ran")
