package dispatcher

import (
	"context"
	"maps"
	"slices"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
)

// adoptGrace is how long an adopted request goes on without a follower.
const adoptGrace = time.Minute

// Handover is an accepted request on its way to another host.
type Handover struct {
	Request  Request
	Version  identifier.Version
	Epoch    uint64
	Progress Progress
	// Final, where it is set, is the outcome; nothing is left to run.
	Final *refuser.Refusal
}

// Active is an accepted request without its final answer.
type Active struct {
	ID            identifier.RequestID
	Server        identifier.BackendServer
	NonIdempotent bool
	// Events is how many events of its stream were delivered.
	Events int
	// Handed tells that another host owns it already.
	Handed bool
}

// Active returns the requests that are at work.
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
	a := Active{ID: t.r.ID, Server: t.at, NonIdempotent: t.ledger.nonIdempotent, Handed: t.handed}
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

// Move breaks the present attempt of a request off, so that it goes on on
// another backend server. A non-idempotent request stays where it is. It
// reports whether there was an attempt to move.
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

// Describe returns a running request as it is, for a host that is told of its
// outcome.
func (d *Dispatcher) Describe(id identifier.RequestID) (*Handover, bool) {
	t := d.task(id)
	if t == nil {
		return nil, false
	}
	t.record.mu.Lock()
	defer t.record.mu.Unlock()
	return &Handover{Request: *t.r, Epoch: t.record.epoch + 1}, true
}

// moveTo notes that another host owns the request under epoch.
func (c *Record) moveTo(owner identifier.Host, epoch uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.owner, c.epoch = Moved, owner, epoch
	c.notify()
}

// takeBack notes that this host owns the request again, above every epoch under
// which it was offered.
func (c *Record) takeBack(offered uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.owner = Running, ""
	c.epoch = max(c.epoch, offered) + 1
	c.notify()
}

// Adopt goes on with a request of another host. Without a refusal this host
// owns the request. It reports whether the request was taken now; one that a
// former offer brought here goes on as it is.
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
	d.goOn(&r, record, h.Version)
	return old == nil || !old.copied, nil
}

// stopReplaced ends the run of a copy that a newer one replaces.
func (d *Dispatcher) stopReplaced(old *Record) {
	if old == nil {
		return
	}
	if t := d.task(old.id); t != nil && t.record == old {
		t.cancel(errReplaced)
	}
}

// goOn runs a request that another host accepted, from where its record stands.
func (d *Dispatcher) goOn(r *Request, record *Record, version identifier.Version) {
	r.Reconnectable = true
	t := d.start(context.Background(), r, record, nil, nil)
	t.version = version
	t.adopted = true
	t.detached.Store(true)
	time.AfterFunc(adoptGrace, t.abandon)
	d.adopted.Add(1)
	go func() {
		defer d.adopted.Add(-1)
		// The outcome stays with the record.
		_ = d.finish(t)
	}()
}
