package dispatcher

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEventBytes limits the size of one event of a stream.
const maxEventBytes = 1 << 20

// doneMarker is the payload of the event that ends a complete stream.
var doneMarker = []byte("[DONE]")

var (
	dataField = []byte("data:")
	newline   = []byte("\n")
)

// errEventTooLarge reports an event over maxEventBytes.
var errEventTooLarge = errors.New("an event of the stream is too large")

// eventReader reads the payloads of server-sent events. It treats every data
// line as one event, which is how model engines send them.
type eventReader struct {
	br       *bufio.Reader
	longLine []byte
}

// next returns the next payload, which is valid until the following call. A
// line without a line end is not returned, because it may be truncated.
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
	e.longLine = append(e.longLine[:0], line...)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(e.longLine) > maxEventBytes {
			return nil, errEventTooLarge
		}
		line, err = e.br.ReadSlice('\n')
		e.longLine = append(e.longLine, line...)
	}
	if errors.Is(err, io.EOF) {
		return nil, errNoMarker
	}
	return e.longLine, err
}

// pending reports whether another event can be read without blocking. The
// remaining lines of the last event, such as its blank line, don't count.
func (e *eventReader) pending() bool {
	b, err := e.br.Peek(e.br.Buffered())
	if err != nil {
		return false
	}
	for {
		line, rest, found := bytes.Cut(b, newline)
		if !found {
			return false
		}
		if bytes.HasPrefix(line, dataField) {
			return true
		}
		b = rest
	}
}
