package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/roller"
)

// nominalTokens is the length of the answer whose time a rollout compares: the
// first token and so many more at the pace of the answer at hand.
const nominalTokens = 64

// rolloutDraw is a request's part in a rollout. Its zero value has none yet.
type rolloutDraw struct {
	ticket roller.Ticket
	drawn  bool
	open   bool
}

// drawVersion returns the version for the next attempt. Only the first one is
// drawn; a further one goes to the present version.
func (t *task) drawVersion() identifier.Version {
	if t.d.opt.Judges == nil {
		return t.d.opt.Version(t.r)
	}
	var v identifier.Version
	if t.draw.drawn {
		v = t.draw.ticket.Control()
	} else {
		t.draw = rolloutDraw{ticket: t.d.opt.Judges.Draw(t.r.Service.Name, t.r.ID, t.r.Route), drawn: true, open: true}
		v = t.draw.ticket.Version()
	}
	if v == "" {
		return t.d.opt.Version(t.r)
	}
	return v
}

// leaveCandidate goes back to the present version where no server of the
// candidate takes the request, and reports whether it did.
func (t *task) leaveCandidate() bool {
	if t.draw.ticket.Arm() != roller.Candidate || t.version != t.draw.ticket.Version() || t.record.progress.count() > 0 {
		return false
	}
	t.endDraw(roller.Withdrawn)
	t.version = t.draw.ticket.Control()
	return true
}

// endDraw counts how the drawn attempt ended, once.
func (t *task) endDraw(o roller.Outcome) {
	if !t.draw.open {
		return
	}
	t.draw.open = false
	t.draw.ticket.End(roller.Ending{Outcome: o, Latency: t.nominalTime(), Server: t.server.Name})
}

// nominalTime returns the time that an answer of nominalTokens takes at the
// pace of this one, or the time to the first byte of any other answer.
func (t *task) nominalTime() time.Duration {
	n := t.record.progress.count()
	if n < 2 {
		return t.firstToken
	}
	generating := t.d.opt.Clock.Now().Sub(t.sentAt) - t.firstToken
	return t.firstToken + generating/time.Duration(n-1)*nominalTokens
}

// rolloutOutcome tells what r says about the version of the attempt.
func (a *attempt) rolloutOutcome(r result) roller.Outcome {
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
