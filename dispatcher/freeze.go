package dispatcher

import (
	"context"
	"errors"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
)

// errMoving breaks an attempt off so that the request goes on elsewhere.
var errMoving = errors.New("the attempt is broken off to go on elsewhere")

// Freeze stops the work on a request and returns what another host needs to go
// on with it. The caller then ends the freeze by Handed or Thaw. A request that
// ended meanwhile, or that may run at most once, cannot be frozen.
func (d *Dispatcher) Freeze(ctx context.Context, id identifier.RequestID) (*Handover, bool) {
	t := d.task(id)
	if t == nil || t.ledger.nonIdempotent {
		return nil, false
	}
	f, ok := t.askToPark()
	if !ok {
		return nil, false
	}
	select {
	case h := <-f.parked:
		return h, true
	case <-f.over:
		return nil, false
	case <-ctx.Done():
		// It parks later and goes on at once.
		f.verdict <- nil
		return nil, false
	}
}

// Thaw lets a frozen request go on here. It was offered under epochs up to
// offered.
func (d *Dispatcher) Thaw(id identifier.RequestID, offered uint64) {
	if t := d.task(id); t != nil {
		t.record.takeBack(offered)
		t.frozen().verdict <- nil
	}
}

// Handed tells that owner has acknowledged a frozen request under epoch. This
// host lets go of it and relays what the owner sends to the caller, for as long
// as it can.
func (d *Dispatcher) Handed(id identifier.RequestID, owner identifier.Host, epoch uint64, r Remote) {
	if t := d.task(id); t != nil {
		t.record.moveTo(owner, epoch)
		t.frozen().verdict <- r
	}
}

// freeze is how a running request is stopped and told who goes on with it.
type freeze struct {
	parked  chan *Handover
	verdict chan Remote
	over    chan struct{}
}

func newFreeze() *freeze {
	return &freeze{parked: make(chan *Handover, 1), verdict: make(chan Remote, 1), over: make(chan struct{})}
}

// frozen returns the freeze of a request that was asked to park.
func (t *task) frozen() *freeze {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.freeze
}

// closeFreeze tells that the request has ended.
func (t *task) closeFreeze() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	if t.freeze != nil {
		close(t.freeze.over)
	}
}

// askToPark asks the running goroutine to park, once at a time.
func (t *task) askToPark() (*freeze, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.parking || t.handed || t.ended {
		return nil, false
	}
	if t.freeze == nil {
		t.freeze = newFreeze()
	}
	t.parking = true
	if t.stopAttempt != nil {
		t.stopAttempt(errMoving)
	}
	if t.stopPause != nil {
		t.stopPause()
	}
	return t.freeze, true
}

// parkAsked reports whether the request is to be frozen.
func (t *task) parkAsked() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.parking
}

// park hands the request's state out and waits until it is known who goes on
// with it. It returns its new owner, or nil where that is this host.
func (t *task) park() Remote {
	f := t.frozen()
	f.parked <- t.export()
	r := <-f.verdict
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case <-f.parked:
		// Nobody took it.
	default:
	}
	t.parking, t.handed = false, r != nil
	return r
}

// export returns what another host needs.
func (t *task) export() *Handover {
	t.record.mu.Lock()
	defer t.record.mu.Unlock()
	return &Handover{
		Request: *t.r, Version: t.version, Epoch: t.record.epoch + 1, Progress: t.record.progress.export(),
	}
}

// relay passes on what the new owner does. It reports false where the owner
// was lost, so that this host goes on by itself.
func (t *task) relay(r Remote) (*refuser.Refusal, bool) {
	for {
		u, err := r.Next(t.ctx, t.record.progress.count())
		if t.ctx.Err() != nil {
			return t.outOfTime(), true
		}
		if err != nil || u.State == Moved {
			t.record.takeBack(0)
			t.mu.Lock()
			t.handed = false
			t.mu.Unlock()
			return nil, false
		}
		t.takePayloads(u.Payloads)
		switch u.State {
		case Running:
		case Done:
			t.held = u.Answer
			return nil, true
		default:
			return u.Refusal, true
		}
	}
}

// takePayloads takes events in that another host has made.
func (t *task) takePayloads(payloads [][]byte) {
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
