package forwarder

import (
	"bytes"
	"errors"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

var errEventTooLarge = errors.New("an event of the stream is too large")

// cutter cuts a stream of server-sent events into whole events.
type cutter struct {
	held []byte
	// lastID is the id of the last whole event that bears one.
	lastID string
	events int
}

// add takes bytes in and returns the whole events that they complete, which are
// valid until the next call.
func (c *cutter) add(b []byte) ([]byte, error) {
	c.held = append(c.held, b...)
	end := lastEventEnd(c.held)
	if end == 0 {
		if len(c.held) > maxEventBytes {
			return nil, errEventTooLarge
		}
		return nil, nil
	}
	whole := c.held[:end]
	c.note(whole)
	return whole, nil
}

// consume drops what add has returned.
func (c *cutter) consume(whole []byte) {
	c.held = append(c.held[:0], c.held[len(whole):]...)
}

// isEmpty reports whether no part of an event is held.
func (c *cutter) isEmpty() bool { return len(bytes.TrimSpace(c.held)) == 0 }

// note remembers the id of the last event.
func (c *cutter) note(whole []byte) {
	for _, event := range bytes.SplitAfter(bytes.ReplaceAll(whole, []byte("\r\n"), []byte("\n")), []byte("\n\n")) {
		if len(bytes.TrimSpace(event)) == 0 {
			continue
		}
		c.events++
		for _, line := range bytes.Split(event, []byte("\n")) {
			if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
				c.lastID = string(bytes.TrimSpace(id))
			}
		}
	}
}

// lastEventEnd returns the length of the whole events that b begins with.
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
