package forwarder

import (
	"errors"
	"strconv"
)

var (
	// errNotContinued reports a stream that does not go on after the last event that the
	// caller has received.
	errNotContinued = errors.New("the stream does not continue the one that broke off")
	// errNothingAdded reports a stream that ended without an event where another one
	// must go on.
	errNothingAdded = errors.New("the stream adds no event to the one that broke off")
)

// streamPosition is how far the caller has received a stream.
type streamPosition struct {
	// begun is set once the caller has received an event with data, and lacksID if the
	// last such event has no id.
	begun, lacksID bool
}

// newSplitter returns the splitter of an attempt's stream. If the caller has received
// events already, the stream must go on after the last of them.
func (x *exchange) newSplitter() eventSplitter {
	return eventSplitter{continues: x.position.begun, after: x.lastEvent}
}

// recordPosition records that the caller has received the events that s has completed.
func (x *exchange) recordPosition(s *eventSplitter) {
	if s.lastID != "" {
		x.lastEvent = s.lastID
	}
	x.position.begun = x.position.begun || s.hasData
	x.position.lacksID = s.lacksID
}

// isUnresumable reports whether the caller has received an event that no other stream can
// be asked to go on after, since it has no id.
func (x *exchange) isUnresumable() bool { return x.position.begun && x.position.lacksID }

// dropBeforeData removes what precedes the first event with data from the buffer, of
// which complete is the start, and returns its length. It fails if that event does not
// come after the one that the stream must go on after.
//
// An event that is left out cannot be found out, since ids increase by any step.
func (s *eventSplitter) dropBeforeData(complete []byte) (int, error) {
	dropped := 0
	for rest := complete; len(rest) > 0; {
		var event []byte
		event, rest = cutEvent(rest)
		f := fieldsOf(event)
		if !f.hasData {
			dropped += len(event)
			continue
		}
		if !follows(f.id, s.after) {
			return 0, errNotContinued
		}
		s.continues = false
		break
	}
	s.idleBytes += dropped
	s.consume(complete[:dropped])
	return dropped, nil
}

// follows reports whether an event with an id may come after the one with the id last.
// Ids that are numbers increase; others differ.
func follows(id, last string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	m, lastErr := strconv.ParseUint(last, 10, 64)
	if err != nil || lastErr != nil {
		return id != "" && id != last
	}
	return n > m
}
