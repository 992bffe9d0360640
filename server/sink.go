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

// deadlineSlack is how far a write deadline may lag behind.
const deadlineSlack = writeTimeout / 8

// sink sends an answer to a caller.
type sink struct {
	w     http.ResponseWriter
	clock timer.Clock
	begun bool
	armed time.Time
}

// Begin sends the head.
func (s *sink) Begin(h dispatcher.Head) error {
	s.arm()
	s.begun = true
	header := s.w.Header()
	for k, v := range h.Header {
		header[k] = v
	}
	s.w.WriteHeader(h.Status)
	return nil
}

// Write sends a part of the body.
func (s *sink) Write(b []byte) error {
	s.arm()
	_, err := s.w.Write(b)
	return err
}

// Flush sends what Write buffered.
func (s *sink) Flush() error { return http.NewResponseController(s.w).Flush() }

// arm sets the write deadline, unless the one that is set will still do.
func (s *sink) arm() {
	now := s.clock.Now()
	if now.Sub(s.armed) < deadlineSlack {
		return
	}
	s.armed = now
	_ = http.NewResponseController(s.w).SetWriteDeadline(now.Add(writeTimeout))
}

// fail ends an answer that has begun. A stream gets a last event with the
// refusal; any other answer is cut, so that its length tells the caller.
func (s *sink) fail(f *refuser.Refusal) {
	b, err := json.Marshal(f)
	if err != nil || !strings.HasPrefix(s.w.Header().Get("Content-Type"), "text/event-stream") {
		panic(http.ErrAbortHandler)
	}
	_ = s.Write([]byte("event: error\ndata: " + string(b) + "\n\n"))
	_ = s.Flush()
}
