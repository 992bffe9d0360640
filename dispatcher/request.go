package dispatcher

import (
	"net/http"
	"time"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/router"
)

// AttemptHeader carries the id of an attempt to a backend server, which may
// echo it.
const AttemptHeader = "Cyclamen-Attempt-Id"

// KeyHeader carries the caller's name for a non-idempotent action.
const KeyHeader = "Idempotency-Key"

// Priority orders requests that wait for the same servers.
type Priority string

// The priorities.
const (
	Interactive Priority = "interactive"
	Batch       Priority = "batch"
)

// Kind tells how a request is answered. It is one of Stream, Text and Call.
type Kind interface{ isKind() }

// Stream is a generation that the caller reads event by event.
type Stream struct{ Chat bool }

// Text is a generation that the caller reads as one answer. It is asked of the
// backend server as a stream, so that a break costs no more than its rest.
type Text struct{ Chat bool }

// Call is any other call, answered as a whole.
type Call struct {
	// NonIdempotent calls run at most once.
	NonIdempotent bool
}

func (Stream) isKind() {}
func (Text) isKind()   {}
func (Call) isKind()   {}

// Request is a request that passed authentication and validation.
type Request struct {
	ID       identifier.RequestID
	Customer identifier.Customer
	Service  *configurer.Service
	Kind     Kind
	// Route is the method and path as the service's document names them.
	Route identifier.Route
	// Method, Path (with its query) and Header go to the backend server.
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Key is the caller's idempotency key, or empty.
	Key      identifier.IdempotencyKey
	Deadline time.Time
	Priority Priority
	// Prompt is what a generation depends on; it guides the choice of server.
	Prompt []byte
	// MaxTokens bounds the answer of a generation; 0 means not known.
	MaxTokens identifier.Tokens
	// Reconnectable tells that the caller knows the request id, so that the
	// request goes on for a while after its caller's connection broke.
	Reconnectable bool

	blocks []router.Block
}

// nonIdempotent reports whether r may run at most once.
func (r *Request) nonIdempotent() bool {
	c, ok := r.Kind.(Call)
	return ok && c.NonIdempotent
}

// Head is the beginning of an answer.
type Head struct {
	Status int
	Header http.Header
}

// Sink is where an answer goes. After an error the answer goes on without it.
type Sink interface {
	// Begin sends the head.
	Begin(h Head) error
	// Write sends a part of the body.
	Write(b []byte) error
	// Flush sends what Write buffered.
	Flush() error
}
