package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"cyclamenhub.org/roller"
)

// nominalTokens is the answer length for which a rollout compares latencies:
// the time to the first token plus nominalTokens at the pace of the answer.
const nominalTokens = 64

// repickVersion discards the picked version if none of its servers accepts the
// request, so that another one is picked. It returns false if the version must
// stay: it was already repicked, or the request has made progress.
func (t *task) repickVersion() bool {
	if t.versionPick == nil || t.versionRepicked || t.record.progress.count() > 0 {
		return false
	}
	t.versionRepicked = true
	t.endVersionPick(VersionResult{Outcome: Neutral, Evidence: roller.Withdrawn})
	t.version = ""
	return true
}

// nominalLatency returns the time of an answer of nominalTokens at the pace of
// this one. For an answer with fewer than two events it returns the time to the
// first byte, and 0 if no byte arrived.
func (t *task) nominalLatency() time.Duration {
	n := t.record.progress.count()
	if n < 2 {
		return t.firstToken
	}
	generating := t.d.opt.Clock.Now().Sub(t.sentAt) - t.firstToken
	return t.firstToken + generating/time.Duration(n-1)*nominalTokens
}

// evidence returns what r says about the version of the attempt.
func (a *attempt) evidence(r result) roller.Outcome {
	if errors.Is(context.Cause(a.ctx), errCallerLeft) {
		return roller.Withdrawn
	}
	switch r := r.(type) {
	case complete:
		if h := a.t.lastAnswer; h != nil && h.Status >= http.StatusBadRequest {
			// Errors caused by callers affect both versions of a rollout alike.
			return roller.Failed
		}
		return roller.Succeeded
	case errorStatus:
		if r.status == http.StatusTooManyRequests {
			return roller.Withdrawn
		}
		return roller.Failed
	case moved:
		return roller.Reclaimed
	case unsent, staleConn:
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
