package forwarder

import (
	"bytes"
	"errors"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// maxIdleBytes bounds comments, empty lines and other events without data
	// between two events with data. It is far more than servers send to keep a
	// connection open.
	maxIdleBytes = 64 << 10
)

var (
	errEventTooLarge = errors.New("an event of the stream is too large")
	errNoData        = errors.New("the stream goes on without data")
)

// eventSplitter splits a stream of server-sent events into complete events.
type eventSplitter struct {
	buf []byte
	// lastID is the id of the last complete event that has one.
	lastID string
	events int
	// idleBytes counts the bytes since the last event with data.
	idleBytes int
}

// add appends b to the stream and returns the events that it completes. The
// result is valid until the next call of add or consume. It fails if more
// than maxEventBytes are buffered without a complete event, or maxIdleBytes come
// without data.
func (s *eventSplitter) add(b []byte) ([]byte, error) {
	s.buf = append(s.buf, b...)
	end := lastEventEnd(s.buf)
	if end == 0 {
		if len(s.buf) > maxEventBytes {
			return nil, errEventTooLarge
		}
		return nil, nil
	}
	complete := s.buf[:end]
	s.scanEvents(complete)
	if s.idleBytes > maxIdleBytes {
		return nil, errNoData
	}
	return complete, nil
}

// consume removes the events that add has returned from the buffer.
func (s *eventSplitter) consume(complete []byte) {
	s.buf = append(s.buf[:0], s.buf[len(complete):]...)
}

// isEmpty reports whether the buffer holds no part of an event.
func (s *eventSplitter) isEmpty() bool { return len(bytes.TrimSpace(s.buf)) == 0 }

// scanEvents counts the events and the bytes without data, and records the last id.
func (s *eventSplitter) scanEvents(complete []byte) {
	for _, event := range bytes.SplitAfter(bytes.ReplaceAll(complete, []byte("\r\n"), []byte("\n")), []byte("\n\n")) {
		s.idleBytes += len(event)
		if len(bytes.TrimSpace(event)) == 0 {
			continue
		}
		s.events++
		for _, line := range bytes.Split(event, []byte("\n")) {
			if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
				s.lastID = string(bytes.TrimSpace(id))
			}
			if bytes.HasPrefix(line, []byte("data")) {
				s.idleBytes = 0
			}
		}
	}
}

// lastEventEnd returns the length of the complete events at the start of b.
func lastEventEnd(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\n\r\n")); i >= 0 {
		end = max(end, i+3)
	}
	return end
}
