package dispatcher

import (
	"errors"

	"cyclamenhub.org/refuser"
)

// maxAttempts bounds the attempts of one request, unsent ones included.
const maxAttempts = 12

// errSent forbids a second send of a non-idempotent request.
var errSent = errors.New("the request was sent before and may run at most once")

// result is what became of one attempt. It is one of unsent, silent, lost,
// cutOff, moved, answered and whole.
type result interface{ isResult() }

// unsent is an attempt of which no byte left.
type unsent struct{ err error }

// silent is an attempt on a reused connection without a byte of an answer.
type silent struct{ err error }

// lost is an attempt whose answer stayed incomplete or was another's.
type lost struct {
	err error
	// advanced tells that the caller got further text out of it.
	advanced bool
}

// cutOff is an attempt that the caller got a part of which cannot be continued.
type cutOff struct{ err error }

// moved is an attempt that was broken off to go on elsewhere.
type moved struct{}

// answered is a whole answer that tells of a failure of the server.
type answered struct{ status int }

// whole is a whole answer.
type whole struct{}

func (unsent) isResult()   {}
func (silent) isResult()   {}
func (lost) isResult()     {}
func (cutOff) isResult()   {}
func (moved) isResult()    {}
func (answered) isResult() {}
func (whole) isResult()    {}

// step is what to do next. It is one of deliver, tryFresh, tryOther and giveUp.
type step interface{ isStep() }

// deliver hands the answer at hand to the caller.
type deliver struct{}

// tryFresh tries the same server on a fresh connection.
type tryFresh struct{}

// tryOther tries another server.
type tryOther struct {
	// charged tells that the retry takes from the retry budget.
	charged bool
}

// giveUp ends the request with a refusal.
type giveUp struct{ refusal *refuser.Refusal }

func (deliver) isStep()  {}
func (tryFresh) isStep() {}
func (tryOther) isStep() {}
func (giveUp) isStep()   {}

// ledger keeps the account of a request's attempts and decides what follows
// from each. It reads no clock and does no input or output.
type ledger struct {
	nonIdempotent bool
	attempts      int
	sent          int
}

// send notes that a byte is about to leave, or forbids it.
func (l *ledger) send() error {
	if l.nonIdempotent && l.sent > 0 {
		return errSent
	}
	l.sent++
	return nil
}

// refuse returns a refusal that says "not run" only where nothing was sent.
func (l *ledger) refuse(kind refuser.Kind, message, remedy string) *refuser.Refusal {
	if l.sent == 0 {
		return refuser.NotRun(kind, message, remedy)
	}
	return refuser.MayHaveRun(kind, message, remedy)
}

// next decides what follows from the result of the latest attempt.
func (l *ledger) next(r result) step {
	if _, ok := r.(moved); ok && !l.nonIdempotent {
		return tryOther{}
	}
	l.attempts++
	if _, ok := r.(whole); ok {
		return deliver{}
	}
	if l.nonIdempotent && l.sent > 0 {
		return l.nextOnce(r)
	}
	if _, ok := r.(cutOff); ok || l.attempts >= maxAttempts {
		return l.exhausted(r)
	}
	switch r := r.(type) {
	case silent:
		return tryFresh{}
	case unsent:
		return tryOther{}
	case lost:
		return tryOther{charged: !r.advanced}
	default:
		return tryOther{charged: true}
	}
}

// nextOnce decides for a non-idempotent request that was sent.
func (l *ledger) nextOnce(r result) step {
	if _, ok := r.(answered); ok {
		return deliver{}
	}
	return giveUp{l.refuse(refuser.Unknown,
		"the connection broke after the request was sent, so that it may have run",
		"look at the service whether it ran before sending it anew")}
}

// exhausted ends a request that was tried too often.
func (l *ledger) exhausted(r result) step {
	if _, ok := r.(answered); ok {
		return deliver{}
	}
	return giveUp{l.refuse(refuser.Failed,
		"no backend server gave a whole answer", "send the request again later")}
}
