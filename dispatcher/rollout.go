package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"cyclamenhub.org/roller"
)

// nominalTokens is the length of the answer whose time a rollout compares: the
// first token and so many more at the pace of the answer at hand.
const nominalTokens = 64

// redraw goes to another version where no server of the first one drawn takes
// the request, and reports whether it did.
func (t *task) redraw() bool {
	if t.draw == nil || t.redrawn || t.record.progress.count() > 0 {
		return false
	}
	t.redrawn = true
	t.endDraw(Ending{Outcome: Neutral, Evidence: roller.Withdrawn})
	t.version = ""
	return true
}

// nominalTime returns the time that an answer of nominalTokens takes at the
// pace of this one, or the time to the first byte of any other answer. It is 0
// where no byte came.
func (t *task) nominalTime() time.Duration {
	n := t.record.progress.count()
	if n < 2 {
		return t.firstToken
	}
	generating := t.d.opt.Clock.Now().Sub(t.sentAt) - t.firstToken
	return t.firstToken + generating/time.Duration(n-1)*nominalTokens
}

// evidence tells what r says about the version of the attempt.
func (a *attempt) evidence(r result) roller.Outcome {
	if errors.Is(context.Cause(a.ctx), errCallerLeft) {
		return roller.Withdrawn
	}
	switch r := r.(type) {
	case whole:
		if h := a.t.held; h != nil && h.Status >= http.StatusBadRequest {
			// Callers' own faults fall to both versions alike.
			return roller.Failed
		}
		return roller.Succeeded
	case answered:
		if r.status == http.StatusTooManyRequests {
			return roller.Withdrawn
		}
		return roller.Failed
	case moved:
		return roller.Reclaimed
	case unsent, silent:
		return roller.Unreachable
	case lost:
		if errors.Is(r.err, os.ErrDeadlineExceeded) || errors.Is(r.err, errCrossed) || errors.Is(r.err, context.DeadlineExceeded) {
			return roller.Failed
		}
		return roller.Lost
	default:
		return roller.Lost
	}
}
