package claimer

import (
	"context"
	"errors"
)

// Claimer grants each key once.
type Claimer interface {
	// Claim answers c. On an error nothing may be sent; the error is a
	// *refuser.Refusal that says not run.
	Claim(ctx context.Context, c Claim) (Verdict, error)
	// Settle stores the receipt before the answer leaves.
	Settle(ctx context.Context, c Claim, r Receipt) error
	// Release gives back a granted claim of which surely nothing was sent. Only
	// the owner of the request may call it.
	Release(ctx context.Context, c Claim) error
	// Abandon notes that the action may have run and has no receipt.
	Abandon(ctx context.Context, c Claim) error
}

// ErrNotHeld says that a claim is no longer held under its token.
var ErrNotHeld = errors.New("the claim has expired or is settled, released or abandoned already: look at the service whether the action ran")
