package dispatcher

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
)

// State is the state of a request.
type State string

// The states of a request.
const (
	Running State = "running"
	Done    State = "done"
	Failed  State = "failed"
	Unknown State = "unknown"
	// Moved means that another host owns the request.
	Moved State = "moved"
)

// Status is the status of a request that is reported to its caller.
type Status struct {
	Request identifier.RequestID `json:"request"`
	State   State                `json:"state"`
	// Events is the number of events of a stream so far.
	Events int `json:"events,omitempty"`
	// Status is the HTTP status of the answer.
	Status int `json:"status,omitempty"`
	// Epoch counts the changes of owner.
	Epoch uint64 `json:"epoch,omitempty"`
	// Refusal says why there is no answer.
	Refusal *refuser.Refusal `json:"refusal,omitempty"`
}

// Answer is a complete answer.
type Answer struct {
	Head
	Body []byte
}

// Record is the state of one accepted request. It is safe for concurrent use.
type Record struct {
	id       identifier.RequestID
	customer identifier.Customer
	stream   bool

	mu       sync.Mutex
	state    State
	progress progress
	answer   *Answer
	refusal  *refuser.Refusal
	changed  chan struct{}
	// epoch increases with every change of owner. The host with the highest
	// epoch owns the request.
	epoch uint64
	// adopted is true if another host accepted the request and offered it to
	// this one.
	adopted bool
	// owner is the host that took over the request, in state Moved.
	owner identifier.Host
	// lastFollowed is the time at which a follower last asked for progress.
	lastFollowed time.Time
}

func newRecord(r *Request) *Record {
	_, stream := r.Kind.(Stream)
	return &Record{id: r.ID, customer: r.Customer, stream: stream, state: Running}
}

// Status returns the status of the request.
func (r *Record) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Status{Request: r.id, State: r.state, Events: r.progress.count(), Epoch: r.epoch, Refusal: r.refusal}
	if r.answer != nil {
		s.Status = r.answer.Status
	} else if r.stream && r.state == Done {
		s.Status = http.StatusOK
	}
	return s
}

// notify wakes the followers. The caller must hold mu.
func (r *Record) notify() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// wait returns a channel that is closed at the next change. The caller must
// hold mu.
func (r *Record) wait() <-chan struct{} {
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

// settle records the final outcome of the request.
func (r *Record) settle(a *Answer, refusal *refuser.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case refusal == nil:
		r.state = Done
	case refusal.Kind() == refuser.Unknown:
		r.state = Unknown
	default:
		r.state = Failed
	}
	r.answer, r.refusal = a, refusal
	r.notify()
}

// size returns the approximate number of bytes that the record holds.
func (r *Record) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 512 + len(r.progress.text) + 4*len(r.progress.ends)
	for _, s := range r.progress.special {
		n += len(s)
	}
	if r.answer != nil {
		n += len(r.answer.Body)
	}
	return n
}

const (
	eventEnd  = "\n\n"
	doneEvent = "data: [DONE]\n\n"
)

// appendEventHead appends the bytes before the payload of event n, counted from
// 1.
func appendEventHead(b []byte, n int) []byte {
	b = append(b, "id: "...)
	b = strconv.AppendInt(b, int64(n), 10)
	return append(b, "\ndata: "...)
}

// writeAndFlush writes b to sink and flushes it.
func writeAndFlush(sink Sink, b []byte) error {
	if len(b) == 0 {
		return nil
	}
	if err := sink.Write(b); err != nil {
		return err
	}
	return sink.Flush()
}
