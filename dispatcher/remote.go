package dispatcher

import (
	"context"
	"errors"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
)

const (
	// maxUpdateEvents and maxUpdateBytes limit the size of one Update.
	maxUpdateEvents = 1024
	maxUpdateBytes  = 1 << 20
)

// Update is the progress of a request since a given event.
type Update struct {
	// Payloads are the payloads of the next events of a stream.
	Payloads [][]byte
	State    State
	// Owner is the host that took over the request, in state Moved.
	Owner identifier.Host
	// Answer is the complete answer of a finished request that is not a stream.
	Answer *Answer
	// Refusal says why a finished request has no answer.
	Refusal *refuser.Refusal
}

// Remote gives access to a request at its owner, which is this host or another
// one.
type Remote interface {
	// Next returns the progress after event n. It blocks until there is any.
	Next(ctx context.Context, n int) (Update, error)
}

// local is a Remote for a request of this host.
type local struct {
	record *Record
	now    func() time.Time
}

// Next returns the progress after event n.
func (l local) Next(ctx context.Context, n int) (Update, error) {
	for {
		u, changed := l.record.update(n, l.now())
		if u.State != Running || len(u.Payloads) > 0 {
			return u, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return u, ctx.Err()
		}
	}
}

// update returns the progress after event n, and a channel that is closed at
// the next change.
func (r *Record) update(n int, now time.Time) (Update, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastFollowed = now
	u := Update{State: r.state, Owner: r.owner, Answer: r.answer, Refusal: r.refusal}
	size := 0
	for ; n < r.progress.count() && len(u.Payloads) < maxUpdateEvents && size < maxUpdateBytes; n++ {
		b := r.progress.appendPayload(nil, n)
		size += len(b)
		u.Payloads = append(u.Payloads, b)
	}
	if n < r.progress.count() {
		// The final state is reported with the last events.
		u.State = Running
	}
	return u, r.wait()
}

// Find returns a customer's request as a Remote, and its status.
func (d *Dispatcher) Find(customer identifier.Customer, id identifier.RequestID) (Remote, Status, bool) {
	record, ok := d.records.find(customer, id)
	if !ok {
		return nil, Status{}, false
	}
	return local{record: record, now: d.opt.Clock.Now}, record.Status(), true
}

// Follow sends the events of a stream after event n to sink until the stream
// ends. It returns the refusal that ended the stream, if any, and an error if
// the caller or the owner can no longer be reached. It begins the answer once the
// owner has responded without a refusal.
func Follow(ctx context.Context, r Remote, n int, sink Sink) (*refuser.Refusal, error) {
	var buf []byte
	for begun := false; ; begun = true {
		u, err := r.Next(ctx, n)
		switch {
		case err != nil:
			return nil, err
		case begun:
		case u.Refusal != nil && len(u.Payloads) == 0:
			return u.Refusal, nil
		default:
			if err := sink.Begin(streamHead()); err != nil {
				return nil, err
			}
		}
		buf = buf[:0]
		for _, p := range u.Payloads {
			n++
			buf = appendEvent(buf, n, p)
		}
		if u.State == Done {
			buf = append(buf, doneEvent...)
		}
		if err := writeAndFlush(sink, buf); err != nil {
			return nil, err
		}
		if u.State != Running {
			return u.Refusal, nil
		}
	}
}

// errNoAnswer reports that a request has no complete answer to send.
var errNoAnswer = errors.New("the request has no complete answer: follow its stream or look up its status")

// SendAnswer waits for the complete answer of a request and sends it to sink.
func SendAnswer(ctx context.Context, r Remote, sink Sink) (*refuser.Refusal, error) {
	for n := 0; ; {
		u, err := r.Next(ctx, n)
		switch {
		case err != nil:
			return nil, err
		case u.State == Running:
			n += len(u.Payloads)
		case u.Refusal != nil:
			return u.Refusal, nil
		case u.Answer == nil:
			return nil, errNoAnswer
		default:
			return nil, writeAnswer(sink, u.Answer)
		}
	}
}

// writeAnswer sends a complete answer to sink.
func writeAnswer(sink Sink, a *Answer) error {
	if err := sink.Begin(a.headWithLength()); err != nil {
		return err
	}
	return sink.Write(a.Body)
}

// appendEvent appends event n, counted from 1.
func appendEvent(b []byte, n int, payload []byte) []byte {
	b = appendEventHead(b, n)
	b = append(b, payload...)
	return append(b, eventEnd...)
}
