package dispatcher

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// doneMarker is the payload that ends a whole stream.
var doneMarker = []byte("[DONE]")

var (
	dataField = []byte("data:")
	newline   = []byte("\n")
)

// errEventTooLarge reports an event beyond maxEventBytes.
var errEventTooLarge = errors.New("an event of the stream is too large")

// eventReader reads the payloads of server-sent events. Every data line is one
// event, as model engines send them.
type eventReader struct {
	br   *bufio.Reader
	long []byte
}

// next returns the next payload, which is valid until the following call. A
// line without its end is not returned, since it may be cut.
func (e *eventReader) next() ([]byte, error) {
	for {
		line, err := e.line()
		if err != nil {
			return nil, err
		}
		if data, ok := bytes.CutPrefix(line, dataField); ok {
			return bytes.TrimSpace(data), nil
		}
	}
}

// line returns the next complete line.
func (e *eventReader) line() ([]byte, error) {
	line, err := e.br.ReadSlice('\n')
	if err == nil {
		return line, nil
	}
	e.long = append(e.long[:0], line...)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(e.long) > maxEventBytes {
			return nil, errEventTooLarge
		}
		line, err = e.br.ReadSlice('\n')
		e.long = append(e.long, line...)
	}
	if errors.Is(err, io.EOF) {
		return nil, errNoMarker
	}
	return e.long, err
}

// pending reports whether a further event can be read without waiting. What is
// left of the last event, as its blank line, is none.
func (e *eventReader) pending() bool {
	b, err := e.br.Peek(e.br.Buffered())
	if err != nil {
		return false
	}
	for {
		line, rest, whole := bytes.Cut(b, newline)
		if !whole {
			return false
		}
		if bytes.HasPrefix(line, dataField) {
			return true
		}
		b = rest
	}
}
