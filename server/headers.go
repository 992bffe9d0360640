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

// Headers of requests and answers.
const (
	// RequestHeader carries the request id, which the caller may choose.
	RequestHeader = "Cyclamen-Request-Id"
	// DeadlineHeader carries a duration, such as "20s", or a time in RFC 3339.
	DeadlineHeader = "Cyclamen-Deadline"
	// PriorityHeader carries "interactive" or "batch".
	PriorityHeader = "Cyclamen-Priority"
	// LastEventHeader carries the id of the last event that the caller
	// received.
	LastEventHeader = "Last-Event-ID"
)

const (
	// MaxDeadline is the longest deadline that a caller can set; longer ones
	// are shortened to it.
	MaxDeadline = 24 * time.Hour
	// maxKeyBytes is the maximum length of an idempotency key.
	maxKeyBytes = 255
)

// malformed returns the refusal for input that the caller must correct.
func malformed(message, remedy string) *refuser.Refusal {
	return refuser.NotRun(refuser.Malformed, message, remedy)
}

// newRequest parses the headers that all kinds of request share.
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

// requestID returns the request id and whether the caller chose it; without the
// header it generates a new id.
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

// deadline returns the request's deadline: the caller's, limited to
// MaxDeadline, or the service's default.
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

// idempotencyKey returns the caller's idempotency key, or an empty key if there
// is none.
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

// parseLastEvent returns the number of the last event that the caller received,
// and whether the caller requests to resume a stream.
func parseLastEvent(h http.Header) (int, bool, *refuser.Refusal) {
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
