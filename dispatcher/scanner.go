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
	errCrossed        = errors.New("the answer belongs to another attempt")
	errEngineFailed   = errors.New("the model engine reported an error")
	errMalformedEvent = errors.New("malformed event")
	errNoMarker       = errors.New("the stream ended without its terminal marker")
)

// scanner adds the events of one attempt to the progress of its request.
type scanner struct {
	p       *progress
	attempt identifier.AttemptID
	// echoed is true if the backend server included the attempt id in its
	// answer; the ids of its events then contain it too.
	echoed bool
	// resumed is true if earlier attempts of the request delivered events.
	resumed bool
	id      string
	// head is the head of this attempt's ordinary events.
	head []byte
	// sameHead is true if head equals the head in progress.
	sameHead bool
	buf      []byte
}

// accept adds one event and returns the payload for the caller, which is valid
// until the next call. An empty payload is not sent.
func (s *scanner) accept(data []byte) ([]byte, error) {
	if len(s.head) > 0 && bytes.HasPrefix(data, s.head) {
		rest := data[len(s.head):]
		if end := stringEnd(rest); end >= 0 && bytes.Equal(rest[end:], s.p.tail) {
			return s.acceptOrdinary(data, rest[:end]), nil
		}
	}
	return s.decode(data)
}

// acceptOrdinary adds an event whose head and tail are known.
func (s *scanner) acceptOrdinary(data, fragment []byte) []byte {
	s.p.add(fragment)
	if s.sameHead {
		return data
	}
	s.buf = s.p.appendOrdinary(s.buf[:0], fragment)
	return s.buf
}

// decode adds an event of any form.
func (s *scanner) decode(data []byte) ([]byte, error) {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedEvent, err)
	}
	if !isNull(c.Error) {
		return nil, errEngineFailed
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
	return s.acceptDecoded(data, text), nil
}

// checkID returns errCrossed for an event that belongs to another answer.
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

// acceptDecoded adds a decoded event. It records the head and tail of the first
// ordinary event, so that later ones need not be decoded.
func (s *scanner) acceptDecoded(data []byte, text string) []byte {
	head, fragment, tail, ok := splitText(data)
	if ok && s.p.finish == nil && len(s.p.head) == 0 {
		s.p.head, s.p.tail = bytes.Clone(head), bytes.Clone(tail)
	}
	if ok && bytes.Equal(tail, s.p.tail) {
		s.head = bytes.Clone(head)
		s.sameHead = bytes.Equal(s.head, s.p.head)
		return s.acceptOrdinary(data, fragment)
	}
	if !ok {
		fragment = quotedText(text)
	}
	payload := s.withID(data)
	s.p.addSpecial(fragment, payload)
	return payload
}

// withID replaces the id in an event of a later attempt with the answer id that
// the caller knows.
func (s *scanner) withID(data []byte) []byte {
	if s.id == s.p.id {
		return data
	}
	return bytes.Replace(data, []byte(`"id":"`+s.id+`"`), []byte(`"id":"`+s.p.id+`"`), 1)
}
