package connector

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
)

// minStatus and maxStatus bound the status codes of HTTP (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// isStatusCode reports whether a number is a status code that answers a request. 101 answers
// only those that ask for another protocol, which none of ours does.
func isStatusCode(n int) bool {
	return n >= minStatus && n <= maxStatus && n != http.StatusSwitchingProtocols
}

// awaitHead waits for the next head and checks each of its lines as it comes. Nothing of it is
// read yet. net/http accepts more than a proxy may: it takes a field whose name holds a blank
// for another one, and so misses a length, and joins a line that begins with a blank to
// the one before.
func (c *Conn) awaitHead() error {
	lines, begin, searched := 0, 0, 0
	for {
		b, err := c.br.Peek(c.br.Buffered())
		if err != nil {
			return err
		}
		for {
			n := bytes.IndexByte(b[searched:], '\n')
			if n < 0 {
				break
			}
			line := bytes.TrimSuffix(b[begin:searched+n], []byte("\r"))
			searched += n + 1
			begin = searched
			if lines > 0 && len(line) == 0 {
				return nil
			}
			if !isHeadLine(line, lines == 0) {
				return ErrMalformed
			}
			lines++
		}
		searched = len(b)
		if err := c.bufferMore(b); err != nil {
			return err
		}
	}
}

// bufferMore waits for bytes beyond b, those that are buffered.
func (c *Conn) bufferMore(b []byte) error {
	if len(b) == c.br.Size() {
		c.enlargeBuffer(b)
	}
	_, err := c.br.Peek(len(b) + 1)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// enlargeBuffer makes room for the largest head behind b, the bytes that are buffered.
func (c *Conn) enlargeBuffer(b []byte) {
	c.hasLargeBuffer = true
	unread := io.MultiReader(bytes.NewReader(bytes.Clone(b)), connReader{c})
	c.br = bufio.NewReaderSize(unread, len(b)+maxHeaderBytes)
}

// shrinkBuffer replaces a buffer that was enlarged, and is empty, by one of the usual size.
func (c *Conn) shrinkBuffer() {
	if c.hasLargeBuffer {
		c.hasLargeBuffer = false
		c.br = bufio.NewReaderSize(connReader{c}, readBufferBytes)
	}
}

// isHeadLine reports whether a line of a head, without its end, may be the first one or one of
// the others.
func isHeadLine(line []byte, first bool) bool {
	if first {
		return bytes.HasPrefix(line, []byte("HTTP/1."))
	}
	name, _, found := bytes.Cut(line, []byte(":"))
	return found && isToken(name)
}

// isToken reports whether a name of a field consists of the characters that it may (RFC 9110,
// section 5.6.2).
func isToken(name []byte) bool {
	for _, b := range name {
		if !isTokenByte(b) {
			return false
		}
	}
	return len(name) > 0
}

// isTokenByte reports whether the name of a field may contain a byte.
func isTokenByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', isDigit(b):
		return true
	default:
		return strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
	}
}
