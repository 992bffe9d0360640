package dispatcher

import (
	"context"
	"maps"
	"slices"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
)

// adoptGrace is how long an adopted request runs before it is cancelled if no
// caller follows it.
const adoptGrace = time.Minute

// Handover is the state of an accepted request that is transferred to another
// host.
type Handover struct {
	Request  Request
	Version  identifier.Version
	Epoch    uint64
	Progress Progress
	// Final, if set, is the outcome of the request; nothing is left to run.
	Final *refuser.Refusal
}

// Active describes an accepted request without a final answer.
type Active struct {
	ID            identifier.RequestID
	Server        identifier.BackendServer
	NonIdempotent bool
	// Events is the number of events of the stream that were delivered.
	Events int
	// HandedOver is true if another host already owns the request.
	HandedOver bool
}

// Active returns the running requests.
func (d *Dispatcher) Active() []Active {
	d.mu.Lock()
	tasks := slices.Collect(maps.Values(d.running))
	d.mu.Unlock()
	list := make([]Active, 0, len(tasks))
	for _, t := range tasks {
		list = append(list, t.active())
	}
	return list
}

func (t *task) active() Active {
	t.mu.Lock()
	a := Active{ID: t.r.ID, Server: t.currentServer, NonIdempotent: t.ledger.nonIdempotent, HandedOver: t.handedOver}
	t.mu.Unlock()
	t.record.mu.Lock()
	defer t.record.mu.Unlock()
	a.Events = t.record.progress.count()
	return a
}

// task returns a running request, or nil.
func (d *Dispatcher) task(id identifier.RequestID) *task {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running[id]
}

// Move cancels the current attempt of a request, so that it continues on
// another backend server. It returns false if no attempt is in progress. A
// non-idempotent request is never moved.
func (d *Dispatcher) Move(id identifier.RequestID) bool {
	t := d.task(id)
	if t == nil || t.ledger.nonIdempotent {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopAttempt == nil {
		return false
	}
	t.stopAttempt(errMoving)
	return true
}

// Describe returns a running request without its progress, for a host that only
// needs to learn its outcome.
func (d *Dispatcher) Describe(id identifier.RequestID) (*Handover, bool) {
	t := d.task(id)
	if t == nil {
		return nil, false
	}
	t.record.mu.Lock()
	defer t.record.mu.Unlock()
	return &Handover{Request: *t.r, Epoch: t.record.epoch + 1}, true
}

// setOwner records that another host owns the request under epoch.
func (r *Record) setOwner(owner identifier.Host, epoch uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state, r.owner, r.epoch = Moved, owner, epoch
	r.notify()
}

// takeOwnership records that this host owns the request again. The new epoch is
// above the current one and every epoch under which the request was offered.
func (r *Record) takeOwnership(offered uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state, r.owner = Running, ""
	r.epoch = max(r.epoch, offered) + 1
	r.notify()
}

// Adopt takes over a request of another host and continues it. If it returns no
// refusal, this host owns the request. It returns false for a request that this
// host had already adopted through an earlier offer.
func (d *Dispatcher) Adopt(h *Handover) (bool, *refuser.Refusal) {
	r := h.Request
	if err := h.Progress.Check(); err != nil {
		return false, refuser.NotRun(refuser.Malformed, err.Error(), "hand the request to a host of the same version")
	}
	if r.nonIdempotent() && h.Final == nil {
		return false, refuser.NotRun(refuser.Forbidden, "a non-idempotent request stays with its owner", "hand over its outcome")
	}
	if int(d.adopted.Load()) >= d.Table().Limits().QueuedRequests {
		return false, refuser.NotRun(refuser.Overloaded, "this host has taken as many requests over as it may hold", "hand the request to another host")
	}
	record, old, refusal := d.records.adopt(h)
	if record == nil {
		return false, refusal
	}
	if h.Final != nil {
		record.settle(nil, h.Final)
		d.records.close(record, true)
		return true, nil
	}
	d.stopReplaced(old)
	d.runAdopted(&r, record, h.Version)
	return old == nil || !old.adopted, nil
}

// stopReplaced cancels the copy of a request that a newer copy replaces.
func (d *Dispatcher) stopReplaced(old *Record) {
	if old == nil {
		return
	}
	if t := d.task(old.id); t != nil && t.record == old {
		t.cancel(errReplaced)
	}
}

// runAdopted runs a request that another host accepted, starting from the
// progress in its record.
func (d *Dispatcher) runAdopted(r *Request, record *Record, version identifier.Version) {
	r.Reconnectable = true
	t := d.start(context.Background(), r, record, nil, nil)
	t.version = version
	t.adopted = true
	t.detached.Store(true)
	time.AfterFunc(adoptGrace, t.abandonIfIdle)
	d.adopted.Add(1)
	go func() {
		defer d.adopted.Add(-1)
		// The outcome is kept in the record.
		_ = d.finish(t)
	}()
}
