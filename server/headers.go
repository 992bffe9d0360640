package server

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/dispatcher"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
)

// The headers of a request and its answer.
const (
	// RequestHeader names the request; the caller may choose the id.
	RequestHeader = "Cyclamen-Request-Id"
	// DeadlineHeader is a duration, as in "20s", or a time in RFC 3339.
	DeadlineHeader = "Cyclamen-Deadline"
	// PriorityHeader is "interactive" or "batch".
	PriorityHeader = "Cyclamen-Priority"
	// LastEventHeader is the id of the last event that the caller has.
	LastEventHeader = "Last-Event-ID"
)

const (
	// MaxDeadline bounds the deadline that a caller may ask for.
	MaxDeadline = 24 * time.Hour
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 255
)

// malformed returns the refusal of an input that the caller must correct.
func malformed(message, remedy string) *refuser.Refusal {
	return refuser.NotRun(refuser.Malformed, message, remedy)
}

// newRequest reads the headers that all requests share.
func (s *Server) newRequest(r *http.Request, c *configurer.Customer, service *configurer.Service) (*dispatcher.Request, *refuser.Refusal) {
	q := &dispatcher.Request{Customer: c.Name, Service: service, Method: r.Method, Priority: dispatcher.Interactive}
	var refusal *refuser.Refusal
	if q.ID, q.Reconnectable, refusal = requestID(r.Header); refusal != nil {
		return nil, refusal
	}
	if q.Deadline, refusal = s.deadline(r.Header, service); refusal != nil {
		return nil, refusal
	}
	if q.Key, refusal = idempotencyKey(r.Header); refusal != nil {
		return nil, refusal
	}
	switch p := r.Header.Get(PriorityHeader); p {
	case "", string(dispatcher.Interactive):
	case string(dispatcher.Batch):
		q.Priority = dispatcher.Batch
	default:
		return nil, malformed("the priority is unknown", `write "interactive" or "batch" in `+PriorityHeader)
	}
	return q, nil
}

// requestID returns the caller's request id or a new one, and whether it is the
// caller's.
func requestID(h http.Header) (identifier.RequestID, bool, *refuser.Refusal) {
	id := h.Get(RequestHeader)
	if id == "" {
		return identifier.NewRequestID(), false, nil
	}
	if identifier.Host(id).Check() != nil {
		return "", false, malformed("the request id is malformed",
			fmt.Sprintf("use 1 to %d letters, digits, '-', '_' or '.' in %s", identifier.MaxNameBytes, RequestHeader))
	}
	return identifier.RequestID(id), true, nil
}

// deadline returns when the request's answer is due.
func (s *Server) deadline(h http.Header, service *configurer.Service) (time.Time, *refuser.Refusal) {
	now := s.opt.Clock.Now()
	text := h.Get(DeadlineHeader)
	if text == "" {
		return now.Add(service.Deadline.Std()), nil
	}
	left, err := time.ParseDuration(text)
	if err != nil {
		at, timeErr := time.Parse(time.RFC3339, text)
		if timeErr != nil {
			return time.Time{}, malformed("the deadline is malformed", `write a duration, as in "20s", or a time in RFC 3339 in `+DeadlineHeader)
		}
		left = at.Sub(now)
	}
	if left <= 0 {
		return time.Time{}, refuser.NotRun(refuser.DeadlinePassed, "the deadline has passed", "send the request with a later deadline")
	}
	return now.Add(min(left, MaxDeadline)), nil
}

// idempotencyKey returns the caller's key, or an empty one.
func idempotencyKey(h http.Header) (identifier.IdempotencyKey, *refuser.Refusal) {
	key := strings.Trim(h.Get(dispatcher.KeyHeader), `"`)
	if len(key) > maxKeyBytes {
		return "", malformed("the idempotency key is too long", fmt.Sprintf("use at most %d bytes", maxKeyBytes))
	}
	for _, c := range []byte(key) {
		if c < ' ' || c > '~' {
			return "", malformed("the idempotency key holds unprintable bytes", "use printable ASCII")
		}
	}
	return identifier.IdempotencyKey(key), nil
}

// lastEvent returns the number of the last event that the caller has, and
// whether it asks to pick a stream up again.
func lastEvent(h http.Header) (int, bool, *refuser.Refusal) {
	text := h.Get(LastEventHeader)
	if text == "" {
		return 0, false, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return 0, false, malformed("the last event id is malformed", "send the id of the last event that you have, or 0")
	}
	return n, true, nil
}
