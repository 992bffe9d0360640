package dispatcher

import (
	"errors"

	"cyclamenhub.org/refuser"
)

// maxAttempts limits the attempts of one request, including unsent ones.
const maxAttempts = 12

// errSent forbids a second send of a non-idempotent request.
var errSent = errors.New("the request was already sent and may run at most once")

// result is the result of one attempt. It is one of unsent, staleConn, lost,
// unresumable, moved, errorStatus and complete.
type result interface{ isResult() }

// unsent is an attempt of which no byte was sent.
type unsent struct{ err error }

// staleConn is an attempt on a reused connection that returned no byte of an
// answer.
type staleConn struct{ err error }

// lost is an attempt whose answer was incomplete, malformed or belonged to
// another attempt.
type lost struct {
	err error
	// advanced is true if the caller received further text from the attempt.
	advanced bool
}

// unresumable is an attempt that delivered part of an answer which cannot be
// continued.
type unresumable struct{ err error }

// moved is an attempt that was cancelled so that its request continues
// elsewhere.
type moved struct{}

// errorStatus is a complete answer whose status reports a failure of the
// server.
type errorStatus struct{ status int }

// complete is a complete answer without a failure of the server.
type complete struct{}

func (unsent) isResult()      {}
func (staleConn) isResult()   {}
func (lost) isResult()        {}
func (unresumable) isResult() {}
func (moved) isResult()       {}
func (errorStatus) isResult() {}
func (complete) isResult()    {}

// step is what to do after an attempt. It is one of deliver, retryFresh,
// retryOther and giveUp.
type step interface{ isStep() }

// deliver sends the latest answer to the caller.
type deliver struct{}

// retryFresh tries the same server again on a fresh connection.
type retryFresh struct{}

// retryOther tries another server.
type retryOther struct {
	// charged is true if the retry is charged to the retry budget.
	charged bool
}

// giveUp ends the request with a refusal.
type giveUp struct{ refusal *refuser.Refusal }

func (deliver) isStep()    {}
func (retryFresh) isStep() {}
func (retryOther) isStep() {}
func (giveUp) isStep()     {}

// ledger counts the attempts and sends of a request and decides the next step
// after each attempt. It reads no clock and does no I/O.
type ledger struct {
	nonIdempotent bool
	attempts      int
	sent          int
}

// recordSend records that the request is about to be sent. It returns errSent
// if the request must not be sent again.
func (l *ledger) recordSend() error {
	if l.nonIdempotent && l.sent > 0 {
		return errSent
	}
	l.sent++
	return nil
}

// refuse returns a refusal, which says "not run" only if nothing was sent.
func (l *ledger) refuse(kind refuser.Kind, message, remedy string) *refuser.Refusal {
	if l.sent == 0 {
		return refuser.NotRun(kind, message, remedy)
	}
	return refuser.MayHaveRun(kind, message, remedy)
}

// next returns the step that follows the result of the latest attempt.
func (l *ledger) next(r result) step {
	if _, ok := r.(moved); ok && !l.nonIdempotent {
		return retryOther{}
	}
	l.attempts++
	if _, ok := r.(complete); ok {
		return deliver{}
	}
	if l.nonIdempotent && l.sent > 0 {
		return l.nextAfterSend(r)
	}
	if _, ok := r.(unresumable); ok || l.attempts >= maxAttempts {
		return l.exhausted(r)
	}
	switch r := r.(type) {
	case staleConn:
		return retryFresh{}
	case unsent:
		return retryOther{}
	case lost:
		return retryOther{charged: !r.advanced}
	default:
		return retryOther{charged: true}
	}
}

// nextAfterSend returns the next step of a non-idempotent request that was
// sent.
func (l *ledger) nextAfterSend(r result) step {
	if _, ok := r.(errorStatus); ok {
		return deliver{}
	}
	return giveUp{l.refuse(refuser.Unknown,
		"the connection broke after the request was sent, so that it may have run",
		"look at the service whether it ran before sending it anew")}
}

// exhausted returns the last step of a request that cannot be tried again.
func (l *ledger) exhausted(r result) step {
	if _, ok := r.(errorStatus); ok {
		return deliver{}
	}
	return giveUp{l.refuse(refuser.Failed,
		"no backend server gave a whole answer", "send the request again later")}
}
