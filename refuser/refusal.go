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

// Refusal is an error with a machine-readable kind and a remedy.
type Refusal struct {
	kind       Kind
	message    string
	remedy     string
	notRun     bool
	retryAfter time.Duration
}

// NotRun returns a refusal of a request that was not sent, even in part, to any
// backend server. Only code that runs before the first attempt may call it.
func NotRun(kind Kind, message, remedy string) *Refusal {
	return &Refusal{kind: kind, message: message, remedy: remedy, notRun: true}
}

// MayHaveRun returns a refusal of a request that a backend server may have run.
func MayHaveRun(kind Kind, message, remedy string) *Refusal {
	return &Refusal{kind: kind, message: message, remedy: remedy}
}

// After returns a copy of r that tells the caller to retry after d.
func (r *Refusal) After(d time.Duration) *Refusal {
	c := *r
	c.retryAfter = d
	return &c
}

// Kind returns the machine-readable reason of the refusal.
func (r *Refusal) Kind() Kind { return r.kind }

// IsNotRun reports whether the request is known not to have run.
func (r *Refusal) IsNotRun() bool { return r.notRun }

// RetryAfter returns the delay before a retry, or 0 if a retry does not help.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Error returns the message followed by the remedy.
func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s", r.message, r.remedy) }

// Status returns the HTTP status code for the kind.
func (r *Refusal) Status() int {
	switch r.kind {
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

// MarshalJSON returns the JSON form that callers receive.
func (r *Refusal) MarshalJSON() ([]byte, error) {
	return json.Marshal(wireRefusal{
		Kind: r.kind, Message: r.message, Remedy: r.remedy,
		NotRun: r.notRun, RetryAfterMS: r.retryAfter.Milliseconds(),
	})
}

// UnmarshalJSON decodes the JSON form that MarshalJSON returns.
func (r *Refusal) UnmarshalJSON(b []byte) error {
	var w wireRefusal
	if err := json.Unmarshal(b, &w); err != nil {
		return fmt.Errorf("refusal: %w", err)
	}
	*r = Refusal{
		kind: w.Kind, message: w.Message, remedy: w.Remedy, notRun: w.NotRun,
		retryAfter: time.Duration(w.RetryAfterMS) * time.Millisecond,
	}
	return nil
}

// From returns the first refusal in err's chain. If there is none, it returns an
// Internal refusal with the text of err.
func From(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return MayHaveRun(Internal, err.Error(), "report this with the request id")
}
