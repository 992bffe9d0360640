package forwarder

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"cyclamenhub.org/connector"
	"cyclamenhub.org/describer"
	"cyclamenhub.org/placer"
)

const (
	// maxReplacements is how many backend servers are tried in place of silent ones for
	// one call. A call that none of them takes waits for the silent one.
	maxReplacements = 1
	// silenceCheckInterval is how often it is checked, while a replacement is awaited,
	// whether the silent server goes on.
	silenceCheckInterval = 50 * time.Millisecond
	// maxOverlap is how long a stream may be at its silent server and at another one:
	// an engine must not work on what goes on elsewhere. A server that has not refused
	// the stream by then has room for it.
	maxOverlap = 300 * time.Millisecond
)

// awaitedReplacement is a replacement that has not begun to answer.
type awaitedReplacement struct {
	// until is when it is given up.
	until time.Time
	// isNeedless reports whether the silent server goes on, so that no replacement is
	// needed.
	isNeedless func() bool
	// silent is the connection to the silent server of a stream, which is closed at
	// closeAt, or nil.
	silent  *connector.Conn
	closeAt time.Time
	// deadline is that of the call.
	deadline time.Time
}

// isOver reports whether the replacement is given up. It closes the connection to the
// silent server of a stream when that is due; the replacement is all that is left then.
func (r *awaitedReplacement) isOver(now time.Time) bool {
	if r.isNeedless() {
		return true
	}
	if r.silent == nil || now.Before(r.closeAt) {
		return !now.Before(r.until)
	}
	r.silent.Close()
	r.silent, r.isNeedless = nil, func() bool { return false }
	r.until = r.deadline
	return false
}

// giveUp reports whether the current attempt, whose backend server is silent, is given up:
// only once another server has begun to answer. Until then the silent server may go on.
func (x *exchange) giveUp() bool {
	if r := x.awaited; r != nil {
		return r.isOver(x.f.opts.Clock.Now())
	}
	return x.isReplaced(x.conn.HasInput)
}

// giveUpStalled is like giveUp for a server that sends bytes but completes no event.
func (x *exchange) giveUpStalled() bool { return x.isReplaced(func() bool { return false }) }

// isReplaced tries to replace the current attempt and counts the result.
func (x *exchange) isReplaced(isNeedless func() bool) bool {
	if x.replace(isNeedless) {
		attemptsReplaced.Inc()
		return true
	}
	silencesBorne.Inc()
	return false
}

// replace sends the call to another backend server while the current attempt waits, and
// reports whether that server has begun to answer. It ends early once that is needless.
func (x *exchange) replace(isNeedless func() bool) bool {
	if x.replacements >= maxReplacements || x.checkStart() != nil ||
		!x.f.retries.hasSpare(x.service) || x.retryDenial(broken) != "" {
		return false
	}
	choice, err := x.chooseServer()
	if err != nil {
		x.f.retries.giveBack(x.service)
		return false
	}
	x.replacements++
	silent := x.attemptState
	defer func() { x.attemptState, x.awaited = silent, nil }()
	started := x.f.opts.Clock.Now()
	limits := x.limitsOf(choice)
	limits.FirstByte = x.firstByteLimit(choice)
	x.awaited = &awaitedReplacement{until: started.Add(limits.FirstByte), isNeedless: isNeedless, deadline: x.deadline}
	if x.route.Kind == describer.Streaming {
		x.awaited.silent, x.awaited.closeAt = silent.conn, started.Add(maxOverlap)
	}
	x.attemptState = attemptState{server: choice.Server, limits: limits}
	x.limits.FirstByte, x.limits.BetweenBytes = silenceCheckInterval, silenceCheckInterval
	b, outcome, result, reason := x.beginReplacement(choice)
	switch {
	case (b != nil || outcome == placer.Failed) && x.awaited.isNeedless():
		if b != nil {
			b.state.conn.Close()
		}
		x.tried = x.tried[:len(x.tried)-1] // The server has not failed.
		outcome, result, reason = placer.Cancelled, broken, errNeedless.Error()
	case b != nil:
		b.state.limits = limits
		b.state.conn.LimitBetweenBytes(limits.BetweenBytes)
		x.replacement = b
		return true
	case result == unsent:
		x.f.retries.giveBack(x.service)
	}
	x.endAttempt(choice, outcome)
	x.logAttempt(result, reason, x.f.opts.Clock.Now().Sub(started))
	return false
}

// errNeedless ends a replacement.
var errNeedless = errors.New("the silent backend server goes on")

// beginReplacement is begin for a replacement. It returns an attempt only if that may
// complete the call; of a stream, content has arrived then.
func (x *exchange) beginReplacement(choice *placer.Choice) (*begunAttempt, placer.Outcome, attemptResult, string) {
	b, outcome, result, reason := x.begin(choice)
	if b == nil {
		return nil, outcome, result, reason
	}
	mayComplete := x.mayComplete(b)
	var err error
	if mayComplete && x.isStream(b.res) {
		err = b.awaitContent()
	}
	switch {
	case !mayComplete:
		outcome, result, reason = placer.Failed, failed, fmt.Sprintf("the backend server answered with status %d", b.res.Status)
	case err != nil:
		outcome, result, reason = x.classifyReadError(err)
	default:
		return b, outcome, result, reason
	}
	b.state.conn.Close()
	return nil, outcome, result, reason
}

// awaitContent waits for the first bytes of a body, which are read again later.
func (b *begunAttempt) awaitContent() error {
	buf := make([]byte, readBytes)
	n, err := b.res.Body.Read(buf)
	if n == 0 {
		return cmp.Or(err, io.ErrNoProgress)
	}
	b.res.Body = io.MultiReader(bytes.NewReader(buf[:n]), b.res.Body)
	return nil
}

// mayComplete reports whether a response that has begun may complete the call.
func (x *exchange) mayComplete(b *begunAttempt) bool {
	switch status := b.res.Status; {
	case x.headerSent:
		return x.isStream(b.res) && b.reply.Sealed
	case status < http.StatusBadRequest:
		return b.reply.Sealed
	default:
		return status < http.StatusInternalServerError && !impliesNotRun(status)
	}
}

// takeOver goes on with the replacement of the last attempt.
func (x *exchange) takeOver() (attemptResult, string) {
	retriesTotal.Inc()
	b := x.replacement
	x.replacement = nil
	started := x.f.opts.Clock.Now()
	result, reason := x.finish(b)
	x.logAttempt(result, reason, x.f.opts.Clock.Now().Sub(started))
	return result, reason
}

// dropReplacement ends a replacement that nothing has been relayed of.
func (x *exchange) dropReplacement() {
	if b := x.replacement; b != nil {
		b.state.conn.Close()
		b.choice.End(placer.Cancelled)
	}
}

// hasStalled reports whether a stream that completed its last event the given time ago
// makes no progress, although bytes arrive. The first event takes as long as the prompt.
func (x *exchange) hasStalled(since time.Duration, events int) bool {
	limit := x.limits.BetweenBytes
	if events == 0 {
		limit = max(limit, x.limits.FirstByte)
	}
	return x.limits.BetweenBytes > 0 && since > limit
}
