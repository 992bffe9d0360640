package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
)

// adoptGrace is how long an adopted request goes on without a follower.
const adoptGrace = time.Minute

// errMoving breaks an attempt off so that the request goes on elsewhere.
var errMoving = errors.New("the attempt is broken off to go on elsewhere")

// Progress is what a stream has delivered, in the form that travels.
type Progress struct {
	// ID is the id of the answer that the caller sees.
	ID string
	// Head and Tail stand before and after the text of an ordinary event.
	Head, Tail []byte
	// Text is the inside of a JSON string.
	Text []byte
	// Ends holds the length of Text after each event.
	Ends []uint32
	// Special holds the events that are not Head, text and Tail, by number.
	Special map[int][]byte
	// Finish is the finish reason, in quotes, once it came.
	Finish []byte
	Usage  []byte
	// Opaque tells that the answer cannot be continued from its text.
	Opaque bool
}

// Check reports whether p is consistent.
func (p *Progress) Check() error {
	last := uint32(0)
	for _, e := range p.Ends {
		if e < last || int(e) > len(p.Text) {
			return errors.New("the progress of a stream is inconsistent: send a request whose event ends rise up to its text's length")
		}
		last = e
	}
	for n := range p.Special {
		if n < 0 || n >= len(p.Ends) {
			return errors.New("the progress of a stream names an event it does not have: send events within its count")
		}
	}
	return nil
}

// export returns p in the form that travels.
func (p *progress) export() Progress {
	return Progress{
		ID: p.id, Head: bytes.Clone(p.head), Tail: bytes.Clone(p.tail), Text: bytes.Clone(p.text),
		Ends: slices.Clone(p.ends), Special: maps.Clone(p.special), Finish: bytes.Clone(p.finish),
		Usage: bytes.Clone(p.usage), Opaque: p.opaque,
	}
}

// newProgress returns the progress that x stands for.
func newProgress(x Progress) progress {
	return progress{
		id: x.ID, head: x.Head, tail: x.Tail, text: x.Text, ends: x.Ends, special: x.Special,
		finish: x.Finish, usage: x.Usage, opaque: x.Opaque,
	}
}

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

// Freeze stops the work on a request and returns what another host needs to go
// on with it. The caller then ends the freeze by Handed or Thaw. A request that
// ended meanwhile, or that may run at most once, cannot be frozen.
func (d *Dispatcher) Freeze(ctx context.Context, id identifier.RequestID) (*Handover, bool) {
	t := d.task(id)
	if t == nil || t.ledger.nonIdempotent || !t.askToPark() {
		return nil, false
	}
	select {
	case h := <-t.parked:
		return h, true
	case <-t.over:
		return nil, false
	case <-ctx.Done():
		// It parks later and goes on at once.
		t.verdict <- nil
		return nil, false
	}
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

// Thaw lets a frozen request go on here.
func (d *Dispatcher) Thaw(id identifier.RequestID) {
	if t := d.task(id); t != nil {
		t.verdict <- nil
	}
}

// Handed tells that owner has acknowledged a frozen request. This host lets go
// of it and relays what the owner sends to the caller, for as long as it can.
func (d *Dispatcher) Handed(id identifier.RequestID, owner identifier.Host, r Remote) {
	if t := d.task(id); t != nil {
		t.record.moveTo(owner)
		t.verdict <- r
	}
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

// askToPark asks the running goroutine to park, once at a time.
func (t *task) askToPark() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.parking || t.handed {
		return false
	}
	t.parking = true
	if t.stopAttempt != nil {
		t.stopAttempt(errMoving)
	}
	if t.stopPause != nil {
		t.stopPause()
	}
	return true
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
	t.parked <- t.export()
	r := <-t.verdict
	t.mu.Lock()
	defer t.mu.Unlock()
	select {
	case <-t.parked:
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
			return t.ended(), true
		}
		if err != nil || u.State == Moved {
			t.record.takeBack()
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
