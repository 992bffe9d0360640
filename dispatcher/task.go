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
	// firstBackoff is the wait before the servers are tried a second time.
	firstBackoff = 20 * time.Millisecond
	// maxBackoff limits the doubling of firstBackoff.
	maxBackoff = time.Second
	// defaultRetryAfter is the Retry-After time of a refusal for which no
	// better time is known.
	defaultRetryAfter = time.Second
)

// errCallerLeft is the cause with which a request is cancelled after its caller
// disconnected.
var errCallerLeft = errors.New("the caller disconnected")

// errReplaced is the cause with which an adopted copy of a request that no
// caller has read from is cancelled when a newer copy replaces it.
var errReplaced = fmt.Errorf("a newer copy of the request replaced this one: %w", errCallerLeft)

// task is one accepted request in progress. The goroutine that runs it owns all
// fields except the atomic ones and those that mu guards.
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

	// detached is true once nothing more is sent to sink.
	detached atomic.Bool
	begun    bool

	// mu guards the fields that Move and Freeze share with the running
	// goroutine.
	mu            sync.Mutex
	stopAttempt   context.CancelCauseFunc
	stopBackoff   context.CancelFunc
	currentServer identifier.BackendServer
	freezing      bool
	handedOver    bool
	ended         bool
	// freeze is nil until the first Freeze.
	freeze *freeze
	// adopted is true if another host accepted the request.
	adopted bool

	reuse   connector.Reuse
	pick    Pick
	server  configurer.BackendServer
	version identifier.Version
	// versionPick is nil once its result was reported; versionPicked is true
	// once a version was picked.
	versionPick     VersionPick
	versionPicked   bool
	versionRepicked bool
	excluded        []identifier.BackendServer
	avoid           identifier.FailureDomain
	backoffs        int
	// hasRetry is set while a retry was taken from the budget and is not used.
	hasRetry     bool
	lastAnswer   *Answer
	storedAnswer *Answer
	line         []byte
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

// detach handles the disconnection of the caller. A non-idempotent request
// continues, and a reconnectable one continues for Options.ReconnectGrace. Any
// other request is cancelled.
func (t *task) detach() {
	t.detached.Store(true)
	switch {
	case t.r.nonIdempotent():
	case t.r.Reconnectable:
		time.AfterFunc(t.d.opt.ReconnectGrace, t.abandonIfIdle)
	default:
		t.cancel(errCallerLeft)
	}
}

// abandonIfIdle cancels the request unless a caller has followed it within
// Options.ReconnectGrace; in that case it checks again later.
func (t *task) abandonIfIdle() {
	t.record.mu.Lock()
	idle := t.d.opt.Clock.Now().Sub(t.record.lastFollowed)
	t.record.mu.Unlock()
	if t.ctx.Err() == nil && idle < t.d.opt.ReconnectGrace {
		time.AfterFunc(t.d.opt.ReconnectGrace, t.abandonIfIdle)
		return
	}
	t.cancel(errCallerLeft)
}

// run makes attempts, each performed by exec, until the ledger ends the
// request. It returns nil if there is an answer to deliver.
func (t *task) run(exec func(*attempt) result) *refuser.Refusal {
	if t.ledger.nonIdempotent {
		t.reuse = connector.Fresh
	}
	defer t.endVersionPick(VersionResult{Outcome: Neutral, Evidence: roller.Withdrawn})
	defer t.finishPick(Neutral)
	sameServer := false
	for {
		if t.freezeRequested() {
			t.finishPick(Neutral)
			if r := t.awaitDecision(); r != nil {
				if refusal, done := t.relay(r); done {
					return refusal
				}
			}
			sameServer = false
			continue
		}
		if !sameServer {
			if refusal := t.choose(); refusal != nil {
				return refusal
			}
			if t.server.Name == "" {
				continue
			}
		}
		r := t.attempt(exec)
		s := t.ledger.next(r)
		if _, ok := r.(moved); ok && t.freezeRequested() {
			continue
		}
		if _, done := s.(deliver); !done && t.ctx.Err() != nil {
			return t.contextRefusal()
		}
		switch s := s.(type) {
		case deliver:
			return nil
		case giveUp:
			return s.refusal
		case retryFresh:
			t.reuse, sameServer = connector.Fresh, true
		case retryOther:
			sameServer = false
			t.excludeServer()
			if s.charged && !t.mayRetry() {
				return t.withholdRetry(r)
			}
		}
		t.d.counters.retries.Inc()
	}
}

// finishPick ends the current choice of a server, if there is one.
func (t *task) finishPick(o Outcome) {
	if t.pick != nil {
		t.pick.Finished(o)
		t.pick = nil
	}
}

// excludeServer excludes the current server from the next choice.
func (t *task) excludeServer() {
	t.excluded = append(t.excluded, t.server.Name)
	t.avoid = t.server.FailureDomain
	if t.record.progress.count() == 0 {
		t.version = ""
	}
	if !t.ledger.nonIdempotent {
		t.reuse = connector.Pooled
	}
}

// mayRetry takes one retry from the retry budget and reports whether it was
// available.
func (t *task) mayRetry() bool {
	if t.hasRetry {
		t.hasRetry = false
		return true
	}
	return t.grant == nil || t.grant.Retry() == nil
}

// endGrant reports the outcome of the request to the admitter.
func (t *task) endGrant(refusal *refuser.Refusal) {
	if t.grant == nil {
		return
	}
	o := admitter.Outcome{
		Result: admitter.Succeeded, FirstToken: t.firstToken, Generated: identifier.Tokens(t.record.progress.count()),
	}
	switch {
	case errors.Is(context.Cause(t.ctx), errCallerLeft):
		o.Result = admitter.Abandoned
	case refusal != nil, t.lastAnswer != nil && t.lastAnswer.Status >= http.StatusInternalServerError:
		o.Result = admitter.Failed
	}
	t.grant.Done(o)
}

// withholdRetry ends a request whose retry exceeds the retry budget. It returns
// nil if there is an error answer to deliver.
func (t *task) withholdRetry(r result) *refuser.Refusal {
	t.d.counters.withheld.Inc()
	if _, ok := r.(errorStatus); ok {
		return nil
	}
	return t.ledger.refuse(refuser.Overloaded, "the attempt failed and the retry budget is spent",
		"come back after the time in Retry-After").After(defaultRetryAfter)
}

// contextRefusal returns the final answer of a request whose deadline passed or
// whose caller disconnected.
func (t *task) contextRefusal() *refuser.Refusal {
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

// choose picks the server of the next attempt. If all servers were tried, it
// backs off and starts again with all of them. It leaves the server unset if
// the request is to be frozen.
func (t *task) choose() *refuser.Refusal {
	t.server = configurer.BackendServer{}
	for {
		table := t.d.opt.Tables.Load()
		if t.version == "" {
			t.pickVersion()
		}
		p, ok := t.d.opt.Chooser.Choose(Query{
			Table: table, Request: t.r, Version: t.version, Excluded: t.excluded, Avoid: t.avoid,
		})
		if ok {
			t.pick, t.server = p, p.Server()
			return nil
		}
		if t.repickVersion() {
			continue
		}
		if len(t.excluded) == 0 {
			return t.ledger.refuse(refuser.NoBackendServer, "no backend server takes this request now",
				"come back after the time in Retry-After").After(defaultRetryAfter)
		}
		t.excluded = t.excluded[:0]
		if !t.backOff() {
			return t.contextRefusal()
		}
		if t.freezeRequested() {
			return nil
		}
	}
}

// backOff waits before the servers are tried again. It returns false if the
// request was cancelled or its deadline passed.
func (t *task) backOff() bool {
	d := min(firstBackoff<<min(t.backoffs, 10), maxBackoff)
	t.backoffs++
	ctx, stop := context.WithTimeout(t.ctx, d)
	defer stop()
	t.mu.Lock()
	t.stopBackoff = stop
	if t.freezing {
		stop()
	}
	t.mu.Unlock()
	<-ctx.Done()
	return t.ctx.Err() == nil
}

// begin sends the head to the caller unless it was already sent.
func (t *task) begin(h Head) {
	if t.begun || t.detached.Load() {
		return
	}
	t.begun = true
	if t.sink.Begin(h) != nil {
		t.detach()
	}
}

// write sends b to the caller unless it has disconnected.
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
