package connector

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"cyclamenhub.org/identifier"
)

// largeBodyBytes is the body size from which the body is sent concurrently with
// waiting for the response: a server may respond, or refuse the request, before
// it has read a large body.
const largeBodyBytes = 8 << 10

// Message is a request as it is sent over the connection. The request target is
// sent as the client wrote it.
type Message struct {
	// ID is what answers to the request bear, or empty if they bear no id. The header of
	// requests with an id contains it.
	ID                   identifier.AttemptID
	Method, Target, Host string
	Header               http.Header
	// Body is the body in parts. It must not change until the exchange has ended.
	Body [][]byte
}

// bodyBytes returns the size of the body.
func (m *Message) bodyBytes() int {
	n := 0
	for _, part := range m.Body {
		n += len(part)
	}
	return n
}

// encodeHead returns the request line and the header.
func (m *Message) encodeHead() []byte {
	b := make([]byte, 0, 1024)
	b = append(append(b, m.Method...), ' ')
	b = append(append(b, m.Target...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, m.Host...), "\r\n"...)
	for name, values := range m.Header {
		for _, v := range values {
			b = append(append(b, name...), ": "...)
			b = append(append(b, sanitizeHeaderValue(v)...), "\r\n"...)
		}
	}
	size := m.bodyBytes()
	if size > 0 || m.Method == http.MethodPost || m.Method == http.MethodPut || m.Method == http.MethodPatch {
		b = strconv.AppendInt(append(b, "Content-Length: "...), int64(size), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// sanitizeHeaderValue replaces line breaks in a header value by spaces.
func sanitizeHeaderValue(v string) string {
	if !strings.ContainsAny(v, "\r\n") {
		return v
	}
	return strings.NewReplacer("\r", " ", "\n", " ").Replace(v)
}

// Send sends m and returns the response once its header has been read. A large
// body is sent concurrently; the connection is not reused unless the complete
// body was sent. Its errors are of type *Error; ErrCarried means that the connection
// is not for this request.
func (c *Conn) Send(ctx context.Context, m *Message, limits Limits) (*Response, error) {
	c.beginExchange(ctx, limits)
	c.carriedHead = c.carriedHead || m.Method == http.MethodHead
	if err := c.carry(m.ID); err != nil {
		return nil, &Error{Stage: Sending, Reused: c.reused, Err: err}
	}
	if err := c.write(m); err != nil {
		return nil, &Error{Stage: Sending, Sent: c.sent, Reused: c.reused, Err: err}
	}
	res, err := c.receive(&http.Request{Method: m.Method})
	if err != nil {
		return nil, &Error{Stage: FirstByte, Sent: true, Reused: c.reused, Err: err}
	}
	c.readLimit = limits.BetweenBytes
	return res, nil
}

// write sends m. For a large body it sends the first part and starts a
// goroutine that sends the rest.
func (c *Conn) write(m *Message) error {
	if err := c.ctx.Err(); err != nil {
		return err
	}
	_ = c.nc.SetWriteDeadline(c.limits.Deadline)
	w := connWriter{c}
	head := m.encodeHead()
	c.bodyWritten = nil
	if m.bodyBytes() < largeBodyBytes {
		_, err := w.Write(slices.Concat(append([][]byte{head}, m.Body...)...))
		return err
	}
	rest := net.Buffers(slices.Clone(m.Body)) // Its methods change it, and the body may be sent again.
	first := rest[0][:min(len(rest[0]), largeBodyBytes/2)]
	rest[0] = rest[0][len(first):]
	if _, err := w.Write(append(head, first...)); err != nil {
		return err
	}
	done := make(chan error, 1)
	c.bodyWritten = done
	go func() {
		_, err := rest.WriteTo(c.nc)
		c.failure.record(err)
		done <- err
	}()
	return nil
}

// stopWritingBody ends the sending of a large request body, if it is not over, and waits for
// its result. It is called at the end of the connection, after which nothing more is read.
func (c *Conn) stopWritingBody() {
	if c.bodyWritten == nil {
		return
	}
	_ = c.nc.SetWriteDeadline(time.Unix(1, 0))
	err := <-c.bodyWritten
	c.bodyWritten <- err // For awaitBodyWritten.
}

// awaitBodyWritten reports whether a large request body was sent completely. It
// waits up to drainTimeout.
func (c *Conn) awaitBodyWritten() bool {
	if c.bodyWritten == nil {
		return true
	}
	t := time.NewTimer(drainTimeout)
	defer t.Stop()
	select {
	case err := <-c.bodyWritten:
		c.bodyWritten = nil
		return err == nil
	case <-t.C:
		return false
	}
}

// MaySkip reports whether a response to another request can be skipped: whether it has a
// body depends on the method of that request, which is not known where one was HEAD.
func (c *Conn) MaySkip() bool { return !c.carriedHead }

// Next reads another response on the connection, after the previous response
// turned out to belong to another request and was read to its end. Its errors
// are of type *Error.
func (c *Conn) Next(method string) (*Response, error) {
	c.bodyEnded = false
	c.readLimit = c.limits.FirstByte
	res, err := c.receive(&http.Request{Method: method})
	if err != nil {
		return nil, &Error{Stage: FirstByte, Sent: true, Reused: c.reused, Err: err}
	}
	c.readLimit = c.limits.BetweenBytes
	return res, nil
}
