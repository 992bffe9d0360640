package dispatcher

import (
	"context"
	"errors"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
)

// errMoving is the cause with which an attempt is cancelled so that its request
// continues on another backend server or host.
var errMoving = errors.New("the attempt was cancelled to continue the request elsewhere")

// Freeze suspends a request and returns the state that another host needs to
// continue it. The caller must then call either HandedOver or Thaw. Freeze
// returns false if the request has ended, is already being frozen or handed
// over, may run at most once, or does not freeze before ctx is done.
func (d *Dispatcher) Freeze(ctx context.Context, id identifier.RequestID) (*Handover, bool) {
	t := d.task(id)
	if t == nil || t.ledger.nonIdempotent {
		return nil, false
	}
	f, ok := t.requestFreeze()
	if !ok {
		return nil, false
	}
	select {
	case h := <-f.state:
		return h, true
	case <-f.ended:
		return nil, false
	case <-ctx.Done():
		// The request freezes later and then continues immediately.
		f.decision <- nil
		return nil, false
	}
}

// Thaw lets a frozen request continue on this host. offered is the highest
// epoch under which the request was offered to another host.
func (d *Dispatcher) Thaw(id identifier.RequestID, offered uint64) {
	if t := d.task(id); t != nil {
		t.record.takeOwnership(offered)
		t.currentFreeze().decision <- nil
	}
}

// HandedOver records that owner has accepted a frozen request under epoch. From
// then on this host relays the events of the new owner to the caller. If the
// new owner can no longer be reached, this host continues the request itself.
func (d *Dispatcher) HandedOver(id identifier.RequestID, owner identifier.Host, epoch uint64, r Remote) {
	if t := d.task(id); t != nil {
		t.record.setOwner(owner, epoch)
		t.currentFreeze().decision <- r
	}
}

// freeze carries the state of a request that is being frozen and the decision
// on who continues it: a Remote for the new owner, or nil for this host.
type freeze struct {
	state    chan *Handover
	decision chan Remote
	ended    chan struct{}
}

func newFreeze() *freeze {
	return &freeze{state: make(chan *Handover, 1), decision: make(chan Remote, 1), ended: make(chan struct{})}
}

// currentFreeze returns the freeze of the request, or nil if none was ever
// requested.
func (t *task) currentFreeze() *freeze {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.freeze
}

// closeFreeze signals that the request has ended.
func (t *task) closeFreeze() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	if t.freeze != nil {
		close(t.freeze.ended)
	}
}

// requestFreeze signals the goroutine that runs the request to freeze it. Only
// one freeze can be in progress at a time.
func (t *task) requestFreeze() (*freeze, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.freezing || t.handedOver || t.ended {
		return nil, false
	}
	if t.freeze == nil {
		t.freeze = newFreeze()
	}
	t.freezing = true
	if t.stopAttempt != nil {
		t.stopAttempt(errMoving)
	}
	if t.stopBackoff != nil {
		t.stopBackoff()
	}
	return t.freeze, true
}

// freezeRequested reports whether the request is to be frozen.
func (t *task) freezeRequested() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.freezing
}

// awaitDecision publishes the state of the request and blocks until it is
// decided who continues it. It returns the new owner, or nil if that is this
// host.
func (t *task) awaitDecision() Remote {
	f := t.currentFreeze()
	f.state <- t.export()
	r := <-f.decision
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case <-f.state:
		// Nobody received the state.
	default:
	}
	t.freezing, t.handedOver = false, r != nil
	return r
}

// export returns the state that another host needs to continue the request.
func (t *task) export() *Handover {
	t.record.mu.Lock()
	defer t.record.mu.Unlock()
	return &Handover{
		Request: *t.r, Version: t.version, Epoch: t.record.epoch + 1, Progress: t.record.progress.export(),
	}
}

// relay forwards the events of the new owner. It returns false if the owner can
// no longer be reached or has handed the request over in turn. In both cases
// this host continues the request.
func (t *task) relay(r Remote) (*refuser.Refusal, bool) {
	for {
		u, err := r.Next(t.ctx, t.record.progress.count())
		if t.ctx.Err() != nil {
			return t.contextRefusal(), true
		}
		if err != nil || u.State == Moved {
			t.record.takeOwnership(0)
			t.mu.Lock()
			t.handedOver = false
			t.mu.Unlock()
			return nil, false
		}
		t.applyPayloads(u.Payloads)
		switch u.State {
		case Running:
		case Done:
			t.lastAnswer = u.Answer
			return nil, true
		default:
			return u.Refusal, true
		}
	}
}

// applyPayloads adds events from the new owner to the record and sends them to
// the caller.
func (t *task) applyPayloads(payloads [][]byte) {
	_, toCaller := t.r.Kind.(Stream)
	for _, p := range payloads {
		t.record.mu.Lock()
		t.record.progress.restore(p)
		n := t.record.progress.count()
		t.record.mu.Unlock()
		if toCaller {
			t.beginStream()
			t.line = appendEvent(t.line[:0], n, p)
			t.write(t.line)
		}
	}
	if toCaller && len(payloads) > 0 {
		t.flush()
	}
}
