package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cyclamenhub.org/admitter"
	"cyclamenhub.org/configurer"
	"cyclamenhub.org/connector"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
	"cyclamenhub.org/roller"
)

const (
	// firstPause is the wait before servers are tried a second time.
	firstPause = 20 * time.Millisecond
	// maxPause bounds the doubling of firstPause.
	maxPause = time.Second
	// comeBackAfter is what a refusal advises where no better time is known.
	comeBackAfter = time.Second
)

// errCallerLeft ends a request whose caller went away.
var errCallerLeft = errors.New("the caller went away")

// errReplaced ends a copy that nobody has read from, when a newer copy of the
// same request takes its place.
var errReplaced = fmt.Errorf("a newer copy of the request replaced this one: %w", errCallerLeft)

// task is one accepted request at work. The goroutine that runs it owns all
// but the atomic fields.
type task struct {
	d      *Dispatcher
	r      *Request
	record *Record
	sink   Sink
	ledger ledger
	// grant is nil for a request that another host accepted.
	grant *admitter.Grant

	ctx          context.Context
	cancel       context.CancelCauseFunc
	stopDeadline context.CancelFunc
	stopDetach   func() bool

	// detached tells that nothing more goes to sink.
	detached atomic.Bool
	begun    bool

	// mu guards the fields that Move and Freeze share with the running
	// goroutine.
	mu          sync.Mutex
	stopAttempt context.CancelCauseFunc
	stopPause   context.CancelFunc
	at          identifier.BackendServer
	parking     bool
	handed      bool
	ended       bool
	// freeze is nil until the first Freeze.
	freeze *freeze
	// adopted tells that another host accepted the request.
	adopted bool

	reuse   connector.Reuse
	pick    Pick
	server  configurer.BackendServer
	version identifier.Version
	// draw is nil once its ending was told; drawn tells that there was one.
	draw     Draw
	drawn    bool
	redrawn  bool
	excluded []identifier.BackendServer
	avoid    identifier.FailureDomain
	pauses   int
	held     *Answer
	kept     *Answer
	line     []byte
	// firstToken is the time from the first send to the first byte.
	firstToken time.Duration
	sentAt     time.Time
}

// answer runs the request.
func (t *task) answer() *refuser.Refusal {
	switch k := t.r.Kind.(type) {
	case Stream:
		return t.stream(k)
	case Text:
		return t.text(k)
	case Call:
		return t.call()
	default:
		return t.ledger.refuse(refuser.Internal, "the request has no kind", "report this with the request id")
	}
}

// detach lets the request go on without its caller, or ends it.
func (t *task) detach() {
	t.detached.Store(true)
	switch {
	case t.r.nonIdempotent():
	case t.r.Reconnectable:
		time.AfterFunc(t.d.opt.ReconnectGrace, t.abandon)
	default:
		t.cancel(errCallerLeft)
	}
}

// abandon ends the request unless a caller follows it.
func (t *task) abandon() {
	t.record.mu.Lock()
	idle := t.d.opt.Clock.Now().Sub(t.record.seen)
	t.record.mu.Unlock()
	if t.ctx.Err() == nil && idle < t.d.opt.ReconnectGrace {
		time.AfterFunc(t.d.opt.ReconnectGrace, t.abandon)
		return
	}
	t.cancel(errCallerLeft)
}

// run makes attempts until the ledger ends the request. Each is performed by
// exec. It returns nil where an answer is at hand.
func (t *task) run(exec func(*attempt) result) *refuser.Refusal {
	if t.ledger.nonIdempotent {
		t.reuse = connector.Fresh
	}
	defer t.endDraw(Ending{Outcome: Neutral, Evidence: roller.Withdrawn})
	defer t.finishPick(Neutral)
	same := false
	for {
		if t.parkAsked() {
			t.finishPick(Neutral)
			if r := t.park(); r != nil {
				if refusal, done := t.relay(r); done {
					return refusal
				}
			}
			same = false
			continue
		}
		if !same {
			if refusal := t.choose(); refusal != nil {
				return refusal
			}
			if t.server.Name == "" {
				continue
			}
		}
		r := t.attempt(exec)
		s := t.ledger.next(r)
		if _, ok := r.(moved); ok && t.parkAsked() {
			continue
		}
		if _, done := s.(deliver); !done && t.ctx.Err() != nil {
			return t.outOfTime()
		}
		switch s := s.(type) {
		case deliver:
			return nil
		case giveUp:
			return s.refusal
		case tryFresh:
			t.reuse, same = connector.Fresh, true
		case tryOther:
			same = false
			t.leave()
			if s.charged && !t.mayRetry() {
				return t.withhold(r)
			}
		}
		t.d.counters.retries.Inc()
	}
}

// finishPick ends the present choice of a server, if there is one.
func (t *task) finishPick(o Outcome) {
	if t.pick != nil {
		t.pick.Finished(o)
		t.pick = nil
	}
}

// leave excludes the present server from the next choice.
func (t *task) leave() {
	t.excluded = append(t.excluded, t.server.Name)
	t.avoid = t.server.FailureDomain
	if t.record.progress.count() == 0 {
		t.version = ""
	}
	if !t.ledger.nonIdempotent {
		t.reuse = connector.Pooled
	}
}

// mayRetry takes one retry from the budget.
func (t *task) mayRetry() bool { return t.grant == nil || t.grant.Retry() == nil }

// giveBack ends the grant.
func (t *task) giveBack(refusal *refuser.Refusal) {
	if t.grant == nil {
		return
	}
	o := admitter.Outcome{
		Result: admitter.Succeeded, FirstToken: t.firstToken, Generated: identifier.Tokens(t.record.progress.count()),
	}
	switch {
	case errors.Is(context.Cause(t.ctx), errCallerLeft):
		o.Result = admitter.Abandoned
	case refusal != nil, t.held != nil && t.held.Status >= http.StatusInternalServerError:
		o.Result = admitter.Failed
	}
	t.grant.Done(o)
}

// withhold ends a request whose retry the budget does not allow.
func (t *task) withhold(r result) *refuser.Refusal {
	t.d.counters.withheld.Inc()
	if _, ok := r.(answered); ok {
		return nil
	}
	return t.ledger.refuse(refuser.Overloaded, "the attempt failed and the retry budget is spent",
		"come back after the time in Retry-After").After(comeBackAfter)
}

// outOfTime returns the final answer of a request that ran out of time or lost its
// caller.
func (t *task) outOfTime() *refuser.Refusal {
	if t.ledger.nonIdempotent && t.ledger.sent > 0 {
		return t.ledger.refuse(refuser.Unknown, "no answer came in time, so that it may have run",
			"look at the service whether it ran before sending it anew")
	}
	if errors.Is(context.Cause(t.ctx), errCallerLeft) {
		return t.ledger.refuse(refuser.Failed, "the caller went away", "send the request again")
	}
	return t.ledger.refuse(refuser.DeadlinePassed, "no whole answer came before the deadline",
		"allow more time or send the request when the load is lower")
}

// choose picks the server of the next attempt. Where all were tried it waits a
// little and starts over. It leaves the server unset where the request is to be
// frozen.
func (t *task) choose() *refuser.Refusal {
	t.server = configurer.BackendServer{}
	for {
		table := t.d.opt.Tables.Load()
		if t.version == "" {
			t.drawVersion()
		}
		p, ok := t.d.opt.Chooser.Choose(Query{
			Table: table, Request: t.r, Version: t.version, Excluded: t.excluded, Avoid: t.avoid,
		})
		if ok {
			t.pick, t.server = p, p.Server()
			return nil
		}
		if t.redraw() {
			continue
		}
		if len(t.excluded) == 0 {
			return t.ledger.refuse(refuser.NoBackendServer, "no backend server takes this request now",
				"come back after the time in Retry-After").After(comeBackAfter)
		}
		t.excluded = t.excluded[:0]
		if !t.pause() {
			return t.outOfTime()
		}
		if t.parkAsked() {
			return nil
		}
	}
}

// pause waits before servers are tried anew, and reports whether time is left.
func (t *task) pause() bool {
	d := min(firstPause<<min(t.pauses, 10), maxPause)
	t.pauses++
	ctx, stop := context.WithTimeout(t.ctx, d)
	defer stop()
	t.mu.Lock()
	t.stopPause = stop
	if t.parking {
		stop()
	}
	t.mu.Unlock()
	<-ctx.Done()
	return t.ctx.Err() == nil
}

// begin sends the head to the caller, once.
func (t *task) begin(h Head) {
	if t.begun || t.detached.Load() {
		return
	}
	t.begun = true
	if t.sink.Begin(h) != nil {
		t.detach()
	}
}

// write sends b to the caller, who may have left.
func (t *task) write(b []byte) {
	if !t.detached.Load() && t.sink.Write(b) != nil {
		t.detach()
	}
}

// flush sends what write buffered.
func (t *task) flush() {
	if !t.detached.Load() && t.sink.Flush() != nil {
		t.detach()
	}
}
