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
	// searched is how much of buf is known to hold no end of an event.
	searched int
	// lastID is the id of the last complete event that has one, and lacksID is set if
	// an event with data came after it.
	lastID  string
	lacksID bool
	// continues is set until the first event with data of a stream that must go on
	// after the event with the id after.
	continues bool
	after     string
	events    int
	// hasData is set once an event with data is complete.
	hasData bool
	// idleBytes counts the bytes since the last event with data.
	idleBytes int
}

// add appends b to the stream and returns the events that it completes. The
// result is valid until the next call of add or consume. It fails if more
// than maxEventBytes are buffered without a complete event, if maxIdleBytes come
// without data, or if the stream does not continue another one as it must.
func (s *eventSplitter) add(b []byte) ([]byte, error) {
	s.buf = append(s.buf, b...)
	end := lastEventEnd(s.buf, max(s.searched-maxMarkBytes+1, 0))
	if end == 0 {
		s.searched = len(s.buf)
		if len(s.buf) > maxEventBytes {
			return nil, errEventTooLarge
		}
		return nil, nil
	}
	if s.continues {
		dropped, err := s.dropBeforeData(s.buf[:end])
		if err != nil {
			return nil, err
		}
		end -= dropped
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
	if len(complete) == 0 {
		return
	}
	s.buf, s.searched = append(s.buf[:0], s.buf[len(complete):]...), 0
}

// isEmpty reports whether the buffer holds no part of an event.
func (s *eventSplitter) isEmpty() bool { return len(bytes.TrimSpace(s.buf)) == 0 }

// scanEvents counts the events and the bytes without data, and records the last id.
func (s *eventSplitter) scanEvents(complete []byte) {
	for len(complete) > 0 {
		var event []byte
		event, complete = cutEvent(complete)
		s.idleBytes += len(event)
		if len(bytes.TrimSpace(event)) == 0 {
			continue
		}
		s.events++
		f := fieldsOf(event)
		if f.hasData {
			s.idleBytes, s.hasData = 0, true
		}
		switch {
		case f.id != "":
			s.lastID, s.lacksID = f.id, false
		case f.hasData:
			s.lacksID = true
		}
	}
}

// maxMarkBytes is the length of the longest empty line that ends an event, with the end of the
// line before it.
const maxMarkBytes = len("\n\r\n")

// lastEventEnd returns the length of the complete events at the start of b, 0 if there is none.
// No event ends with a mark that begins before from.
func lastEventEnd(b []byte, from int) int {
	for end := len(b); ; {
		i := bytes.LastIndexByte(b[from:end], '\n')
		if i < 0 {
			return 0
		}
		if n := markLength(b[from+i:]); n > 0 {
			return from + i + n
		}
		end = from + i
	}
}

// cutEvent returns the first event of b and the rest. Without a complete event the first
// one is b.
func cutEvent(b []byte) (event, rest []byte) {
	for from := 0; ; {
		i := bytes.IndexByte(b[from:], '\n')
		if i < 0 {
			return b, nil
		}
		if n := markLength(b[from+i:]); n > 0 {
			return b[:from+i+n], b[from+i+n:]
		}
		from += i + 1
	}
}

// markLength returns the length of the empty line that ends an event at the start of b, with the
// end of the line before it, which b begins with. It returns 0 if there is none.
func markLength(b []byte) int {
	for _, mark := range eventEnds {
		if bytes.HasPrefix(b, mark) {
			return len(mark)
		}
	}
	return 0
}

// eventEnds are the forms of the empty line that ends an event, after the end of the
// line before it.
var eventEnds = [][]byte{[]byte("\n\n"), []byte("\n\r\n")}

// eventFields are the fields of an event that matter here.
type eventFields struct {
	id      string
	hasData bool
}

// fieldsOf returns the fields of an event.
func fieldsOf(event []byte) eventFields {
	var f eventFields
	for line := range bytes.Lines(event) {
		name, value, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		switch string(name) {
		case "id":
			f.id = string(bytes.TrimSpace(value))
		case "data":
			f.hasData = true
		}
	}
	return f
}
