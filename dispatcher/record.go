package dispatcher

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
)

// State is what is known of a request.
type State string

// The states of a request.
const (
	Running State = "running"
	Done    State = "done"
	Failed  State = "failed"
	Unknown State = "unknown"
	// Moved tells that another host owns the request.
	Moved State = "moved"
)

// Status is what a caller may ask about a request.
type Status struct {
	Request identifier.RequestID `json:"request"`
	State   State                `json:"state"`
	// Events is the number of events of a stream so far.
	Events int `json:"events,omitempty"`
	// Status is the HTTP status of the answer.
	Status int `json:"status,omitempty"`
	// Epoch counts the changes of owner.
	Epoch uint64 `json:"epoch,omitempty"`
	// Refusal tells why there is no answer.
	Refusal *refuser.Refusal `json:"refusal,omitempty"`
}

// Answer is a whole answer.
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
	// epoch rises with every change of owner; the highest epoch's is the owner.
	epoch uint64
	// copied tells that another host accepted the request and offered it.
	copied bool
	// owner is the host that took the request over, in state Moved.
	owner identifier.Host
	// seen is when a follower last asked for progress.
	seen time.Time
}

func newRecord(r *Request) *Record {
	_, stream := r.Kind.(Stream)
	return &Record{id: r.ID, customer: r.Customer, stream: stream, state: Running}
}

// Status returns what is known of the request.
func (c *Record) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Status{Request: c.id, State: c.state, Events: c.progress.count(), Epoch: c.epoch, Refusal: c.refusal}
	if c.answer != nil {
		s.Status = c.answer.Status
	} else if c.stream && c.state == Done {
		s.Status = http.StatusOK
	}
	return s
}

// notify wakes the followers. The caller holds mu.
func (c *Record) notify() {
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// wait returns a channel that is closed at the next change. The caller holds
// mu.
func (c *Record) wait() <-chan struct{} {
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}

// settle notes the one final outcome.
func (c *Record) settle(a *Answer, refusal *refuser.Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case refusal == nil:
		c.state = Done
	case refusal.Kind() == refuser.Unknown:
		c.state = Unknown
	default:
		c.state = Failed
	}
	c.answer, c.refusal = a, refusal
	c.notify()
}

// size approximates the bytes that the record holds.
func (c *Record) size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 512 + len(c.progress.text) + 4*len(c.progress.ends)
	for _, s := range c.progress.special {
		n += len(s)
	}
	if c.answer != nil {
		n += len(c.answer.Body)
	}
	return n
}

const (
	eventEnd  = "\n\n"
	doneEvent = "data: [DONE]\n\n"
)

// appendEventHead appends what stands before the payload of event n, counted
// from 1.
func appendEventHead(b []byte, n int) []byte {
	b = append(b, "id: "...)
	b = strconv.AppendInt(b, int64(n), 10)
	return append(b, "\ndata: "...)
}

// sendAll writes and flushes b.
func sendAll(sink Sink, b []byte) error {
	if len(b) == 0 {
		return nil
	}
	if err := sink.Write(b); err != nil {
		return err
	}
	return sink.Flush()
}
