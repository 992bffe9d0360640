package dispatcher

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"cyclamenhub.org/identifier"
)

var (
	errCrossed    = errors.New("an event belongs to another answer")
	errEngineSays = errors.New("the model engine reports an error")
	errNotAnEvent = errors.New("an event cannot be read")
	errNoMarker   = errors.New("the stream ended without its terminal marker")
)

// scanner takes the events of one attempt into the progress of its request.
type scanner struct {
	p       *progress
	attempt identifier.AttemptID
	// echoed tells that the backend server put the attempt id into its answer;
	// its event ids then hold it too.
	echoed bool
	// resumed tells that the request has delivered events of earlier attempts.
	resumed bool
	id      string
	// head is that of this attempt's ordinary events.
	head []byte
	// same tells that head equals that of the progress.
	same bool
	buf  []byte
}

// accept takes one event in and returns the payload for the caller, which is
// valid until the next call; an empty one is not to be sent.
func (s *scanner) accept(data []byte) ([]byte, error) {
	if len(s.head) > 0 && bytes.HasPrefix(data, s.head) {
		rest := data[len(s.head):]
		if end := stringEnd(rest); end >= 0 && bytes.Equal(rest[end:], s.p.tail) {
			return s.ordinary(data, rest[:end]), nil
		}
	}
	return s.decode(data)
}

// ordinary takes in an event whose head and tail are known.
func (s *scanner) ordinary(data, fragment []byte) []byte {
	s.p.add(fragment)
	if s.same {
		return data
	}
	s.buf = s.p.appendOrdinary(s.buf[:0], fragment)
	return s.buf
}

// decode takes in any event.
func (s *scanner) decode(data []byte) ([]byte, error) {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, fmt.Errorf("%w: %w", errNotAnEvent, err)
	}
	if !isNull(c.Error) {
		return nil, errEngineSays
	}
	if err := s.checkID(c.ID); err != nil {
		return nil, err
	}
	text, plain := c.text()
	s.p.opaque = s.p.opaque || !plain
	finish := c.finish()
	if !isNull(c.Usage) {
		s.p.usage = bytes.Clone(c.Usage)
	}
	if s.resumed && plain && text == "" && finish == nil && isNull(c.Usage) {
		return nil, nil
	}
	if finish != nil {
		s.p.finish = bytes.Clone(finish)
	}
	return s.take(data, text), nil
}

// checkID refuses an event of another answer.
func (s *scanner) checkID(id string) error {
	if s.id == "" {
		if s.echoed && !strings.Contains(id, string(s.attempt)) {
			return errCrossed
		}
		s.id = id
		if s.p.id == "" {
			s.p.id = id
		}
	}
	if id != s.id {
		return errCrossed
	}
	return nil
}

// take appends the event and learns the form of ordinary ones.
func (s *scanner) take(data []byte, text string) []byte {
	head, fragment, tail, ok := cutText(data)
	if ok && s.p.finish == nil && len(s.p.head) == 0 {
		s.p.head, s.p.tail = bytes.Clone(head), bytes.Clone(tail)
	}
	if ok && bytes.Equal(tail, s.p.tail) {
		s.head = bytes.Clone(head)
		s.same = bytes.Equal(s.head, s.p.head)
		return s.ordinary(data, fragment)
	}
	if !ok {
		fragment = quotedText(text)
	}
	payload := s.withID(data)
	s.p.addSpecial(fragment, payload)
	return payload
}

// withID puts the id that the caller knows into an event of a later attempt.
func (s *scanner) withID(data []byte) []byte {
	if s.id == s.p.id {
		return data
	}
	return bytes.Replace(data, []byte(`"id":"`+s.id+`"`), []byte(`"id":"`+s.p.id+`"`), 1)
}
