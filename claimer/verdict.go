package claimer

import "cyclamenhub.org/identifier"

// Verdict is the answer to a claim. It is one of Granted, Settled, InProgress,
// OutcomeUnknown and Reused.
type Verdict interface {
	isVerdict()
	isAnswer()
}

// Granted permits the caller to send the request once.
type Granted struct{}

// Settled means that the action has run; Receipt is the receipt of its answer.
type Settled struct{ Receipt Receipt }

// InProgress means that another request, whose id is Request, holds the claim
// and may still be running.
type InProgress struct{ Request identifier.RequestID }

// OutcomeUnknown means that the action may have run and has no receipt.
// Messages and metrics call it lost.
type OutcomeUnknown struct{}

// Reused means that the key was claimed for a different action.
type Reused struct{}

func (Granted) isVerdict()        {}
func (Settled) isVerdict()        {}
func (InProgress) isVerdict()     {}
func (OutcomeUnknown) isVerdict() {}
func (Reused) isVerdict()         {}

// answer is the answer of a Table to an event: a Verdict or one of the types
// below.
type answer interface{ isAnswer() }

// full refuses a claim because the table or the customer has reached its bound.
type full struct{}

// acknowledged confirms an event other than acquire. Messages and metrics call
// it noted.
type acknowledged struct{}

// notHeld refuses an event because the claim is not held with the token: it has
// expired, or was already released or settled. It also refuses to acquire a key
// with a token that was released before.
type notHeld struct{}

// malformed refuses an event that is invalid, which no Claimer proposes;
// problem describes why.
type malformed struct{ problem string }

func (Granted) isAnswer()        {}
func (Settled) isAnswer()        {}
func (InProgress) isAnswer()     {}
func (OutcomeUnknown) isAnswer() {}
func (Reused) isAnswer()         {}
func (full) isAnswer()           {}
func (acknowledged) isAnswer()   {}
func (notHeld) isAnswer()        {}
func (malformed) isAnswer()      {}
