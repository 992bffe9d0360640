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

// KeyHeader carries the idempotency key that the caller chose for a
// non-idempotent action.
const KeyHeader = "Idempotency-Key"

// Priority is the order in which requests that wait for the same servers are
// sent.
type Priority string

// The priorities.
const (
	Interactive Priority = "interactive"
	Batch       Priority = "batch"
)

// Kind says how a request is answered. It is one of Stream, Text and Call.
type Kind interface{ isKind() }

// Stream is a generation that the caller reads event by event.
type Stream struct{ Chat bool }

// Text is a generation that the caller reads as one answer. The backend server
// is asked for a stream, so that after a failure only the rest has to be
// generated again.
type Text struct{ Chat bool }

// Call is any other call, with a single complete answer.
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
	// Route is the method and path of the request, without the query. It is
	// compared with the non-idempotent routes of the service.
	Route identifier.Route
	// Method, Path (with its query) and Header are sent to the backend server.
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Key is the caller's idempotency key, or empty.
	Key      identifier.IdempotencyKey
	Deadline time.Time
	Priority Priority
	// Prompt is the input of a generation. It guides the choice of server, by
	// the prefix that a server may have cached and by its length.
	Prompt []byte
	// MaxTokens limits the answer of a generation; 0 means unknown.
	MaxTokens identifier.Tokens
	// Reconnectable is true if the caller knows the request id. The request
	// then continues for Options.ReconnectGrace after the connection of its
	// caller broke.
	Reconnectable bool

	blocks []router.Block
}

// nonIdempotent reports whether r may run at most once.
func (r *Request) nonIdempotent() bool {
	c, ok := r.Kind.(Call)
	return ok && c.NonIdempotent
}

// Head is the status and header of an answer.
type Head struct {
	Status int
	Header http.Header
}

// Sink receives an answer. After an error the request may continue without its
// sink.
type Sink interface {
	// Begin sends the head.
	Begin(h Head) error
	// Write sends a part of the body.
	Write(b []byte) error
	// Flush sends what Write buffered.
	Flush() error
}
