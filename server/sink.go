package server

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"cyclamenhub.org/dispatcher"
	"cyclamenhub.org/refuser"
	"cyclamenhub.org/timer"
)

// deadlineRefreshInterval is the minimum time between two updates of the write
// deadline, so that not every write sets it. The time left for a write can be
// shorter than writeTimeout by this interval.
const deadlineRefreshInterval = writeTimeout / 8

// sink writes an answer to a caller.
type sink struct {
	w             http.ResponseWriter
	clock         timer.Clock
	headerSent    bool
	deadlineSetAt time.Time
}

// Begin sends the status and the header.
func (s *sink) Begin(h dispatcher.Head) error {
	s.extendDeadline()
	s.headerSent = true
	header := s.w.Header()
	for k, v := range h.Header {
		header[k] = v
	}
	s.w.WriteHeader(h.Status)
	return nil
}

// Write sends a part of the body.
func (s *sink) Write(b []byte) error {
	s.extendDeadline()
	_, err := s.w.Write(b)
	return err
}

// Flush sends data that Write buffered.
func (s *sink) Flush() error { return http.NewResponseController(s.w).Flush() }

// extendDeadline sets the write deadline, unless it was set within the last
// deadlineRefreshInterval.
func (s *sink) extendDeadline() {
	now := s.clock.Now()
	if now.Sub(s.deadlineSetAt) < deadlineRefreshInterval {
		return
	}
	s.deadlineSetAt = now
	_ = http.NewResponseController(s.w).SetWriteDeadline(now.Add(writeTimeout))
}

// abort ends an answer whose header has been sent. A stream gets a final event
// with the refusal. For any other answer abort closes the connection, so that
// the caller detects the truncation by the length.
func (s *sink) abort(f *refuser.Refusal) {
	b, err := json.Marshal(f)
	if err != nil || !strings.HasPrefix(s.w.Header().Get("Content-Type"), "text/event-stream") {
		panic(http.ErrAbortHandler)
	}
	_ = s.Write([]byte("event: error\ndata: " + string(b) + "\n\n"))
	_ = s.Flush()
}
