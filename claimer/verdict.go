package claimer

import "cyclamenhub.org/identifier"

// Verdict answers a claim. It is one of Granted, Settled, InProgress, Lost and
// Reused.
type Verdict interface {
	isVerdict()
	isAnswer()
}

// Granted allows the one send.
type Granted struct{}

// Settled holds the receipt of the action, which ran before.
type Settled struct{ Receipt Receipt }

// InProgress tells that another request holds the claim and is at work.
type InProgress struct{ Request identifier.RequestID }

// Lost tells that the action may have run and has no receipt.
type Lost struct{}

// Reused tells that the key was claimed for a different action.
type Reused struct{}

func (Granted) isVerdict()    {}
func (Settled) isVerdict()    {}
func (InProgress) isVerdict() {}
func (Lost) isVerdict()       {}
func (Reused) isVerdict()     {}

// answer is what a Table answers an event: a Verdict or one of the types below.
type answer interface{ isAnswer() }

// full refuses a claim because a bound is reached.
type full struct{}

// noted confirms an event other than a claim.
type noted struct{}

// notHeld refuses to settle, release or abandon a claim that is not held under
// the token: it expired, or was released or settled otherwise before.
type notHeld struct{}

// malformed refuses an event that no Claimer proposes.
type malformed struct{ problem string }

func (Granted) isAnswer()    {}
func (Settled) isAnswer()    {}
func (InProgress) isAnswer() {}
func (Lost) isAnswer()       {}
func (Reused) isAnswer()     {}
func (full) isAnswer()       {}
func (noted) isAnswer()      {}
func (notHeld) isAnswer()    {}
func (malformed) isAnswer()  {}
