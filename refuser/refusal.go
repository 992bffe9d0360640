package refuser

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Kind is the machine-readable reason of a refusal.
type Kind string

// The kinds of refusal.
const (
	Malformed       Kind = "malformed"
	Unauthenticated Kind = "unauthenticated"
	Forbidden       Kind = "forbidden"
	NotFound        Kind = "notFound"
	TooLarge        Kind = "tooLarge"
	RateLimited     Kind = "rateLimited"
	Overloaded      Kind = "overloaded"
	DeadlineTooNear Kind = "deadlineTooNear"
	NoBackendServer Kind = "noBackendServer"
	NoMajority      Kind = "noMajority"
	Conflict        Kind = "conflict"
	KeyReused       Kind = "keyReused"
	Running         Kind = "running"
	Unknown         Kind = "unknown"
	Failed          Kind = "failed"
	DeadlinePassed  Kind = "deadlinePassed"
	Stopping        Kind = "stopping"
	Internal        Kind = "internal"
)

// Refusal is an error that names its remedy.
type Refusal struct {
	kind       Kind
	message    string
	remedy     string
	notRun     bool
	retryAfter time.Duration
}

// NotRun returns a refusal of a request of which nothing was sent to any
// backend server. Only code that runs before the first attempt may call it.
func NotRun(kind Kind, message, remedy string) *Refusal {
	return &Refusal{kind: kind, message: message, remedy: remedy, notRun: true}
}

// MayHaveRun returns a refusal of a request that a backend server may have
// seen.
func MayHaveRun(kind Kind, message, remedy string) *Refusal {
	return &Refusal{kind: kind, message: message, remedy: remedy}
}

// After returns a copy of f that tells the caller to come back after d.
func (f *Refusal) After(d time.Duration) *Refusal {
	c := *f
	c.retryAfter = d
	return &c
}

// Kind returns the machine-readable reason.
func (f *Refusal) Kind() Kind { return f.kind }

// IsNotRun reports whether the request surely did not run.
func (f *Refusal) IsNotRun() bool { return f.notRun }

// RetryAfter returns when to come back, or 0 where coming back does not help.
func (f *Refusal) RetryAfter() time.Duration { return f.retryAfter }

// Error returns the message and the remedy.
func (f *Refusal) Error() string { return fmt.Sprintf("%s: %s", f.message, f.remedy) }

// Status returns the HTTP status that goes with the kind.
func (f *Refusal) Status() int {
	switch f.kind {
	case Malformed:
		return http.StatusBadRequest
	case Unauthenticated:
		return http.StatusUnauthorized
	case Forbidden:
		return http.StatusForbidden
	case NotFound:
		return http.StatusNotFound
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	case RateLimited:
		return http.StatusTooManyRequests
	case Conflict, Running:
		return http.StatusConflict
	case KeyReused:
		return http.StatusUnprocessableEntity
	case Overloaded, DeadlineTooNear, NoBackendServer, NoMajority, Stopping:
		return http.StatusServiceUnavailable
	case DeadlinePassed:
		return http.StatusGatewayTimeout
	case Unknown, Failed:
		return http.StatusBadGateway
	case Internal:
		return http.StatusInternalServerError
	default:
		return http.StatusInternalServerError
	}
}

// wireRefusal is the JSON form of a Refusal.
type wireRefusal struct {
	Kind         Kind   `json:"kind"`
	Message      string `json:"message"`
	Remedy       string `json:"remedy"`
	NotRun       bool   `json:"notRun"`
	RetryAfterMS int64  `json:"retryAfterMs,omitempty"`
}

// MarshalJSON writes the refusal in the form that callers read.
func (f *Refusal) MarshalJSON() ([]byte, error) {
	return json.Marshal(wireRefusal{
		Kind: f.kind, Message: f.message, Remedy: f.remedy,
		NotRun: f.notRun, RetryAfterMS: f.retryAfter.Milliseconds(),
	})
}

// UnmarshalJSON reads the form that MarshalJSON writes.
func (f *Refusal) UnmarshalJSON(b []byte) error {
	var w wireRefusal
	if err := json.Unmarshal(b, &w); err != nil {
		return fmt.Errorf("refusal: %w", err)
	}
	*f = Refusal{
		kind: w.Kind, message: w.Message, remedy: w.Remedy, notRun: w.NotRun,
		retryAfter: time.Duration(w.RetryAfterMS) * time.Millisecond,
	}
	return nil
}

// From returns the refusal in err's chain, or an Internal one that wraps its
// text.
func From(err error) *Refusal {
	var f *Refusal
	if errors.As(err, &f) {
		return f
	}
	return MayHaveRun(Internal, err.Error(), "report this with the request id")
}
