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

// moveTo notes that another host owns the request.
func (c *Record) moveTo(owner identifier.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.owner = Moved, owner
	c.epoch++
	c.notify()
}

// yields reports whether a new owner of that epoch may take the request over.
func (c *Record) yields(epoch uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state != Running && epoch > c.epoch
}

// takeBack notes that this host owns the request again.
func (c *Record) takeBack() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.owner = Running, ""
	c.epoch++
	c.notify()
}

// Adopt goes on with a request of another host. Where it returns nil, this host
// owns the request.
func (d *Dispatcher) Adopt(h *Handover) *refuser.Refusal {
	r := h.Request
	if err := h.Progress.Check(); err != nil {
		return refuser.NotRun(refuser.Malformed, err.Error(), "hand the request to a host of the same version")
	}
	if r.nonIdempotent() && h.Final == nil {
		return refuser.NotRun(refuser.Forbidden, "a non-idempotent request stays with its owner", "hand over its outcome")
	}
	if int(d.adopted.Load()) >= d.Table().Limits().QueuedRequests {
		return refuser.NotRun(refuser.Overloaded, "this host has taken as many requests over as it may hold", "hand the request to another host")
	}
	record, refusal := d.records.adopt(h)
	if refusal != nil {
		return refusal
	}
	if h.Final != nil {
		record.settle(nil, h.Final)
		d.records.close(record, true)
		return nil
	}
	r.Reconnectable = true
	t := d.start(context.Background(), &r, record, nil, nil)
	t.version = h.Version
	t.adopted = true
	t.detached.Store(true)
	time.AfterFunc(adoptGrace, t.abandon)
	d.adopted.Add(1)
	go func() {
		defer d.adopted.Add(-1)
		// The outcome stays with the record.
		_ = d.finish(t)
	}()
	return nil
}
