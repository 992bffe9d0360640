package connector

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// largeBody is the size from which a body is sent while the answer is awaited:
// a server may answer, or refuse, before it has read a long body.
const largeBody = 8 << 10

// Message is a request as it goes over the wire. The target stands as its
// sender wrote it.
type Message struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
}

// head returns the request line and the header.
func (m *Message) head() []byte {
	b := make([]byte, 0, 1024)
	b = append(append(b, m.Method...), ' ')
	b = append(append(b, m.Target...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, m.Host...), "\r\n"...)
	for name, values := range m.Header {
		for _, v := range values {
			b = append(append(b, name...), ": "...)
			b = append(append(b, headerText(v)...), "\r\n"...)
		}
	}
	if len(m.Body) > 0 || m.Method == http.MethodPost || m.Method == http.MethodPut || m.Method == http.MethodPatch {
		b = strconv.AppendInt(append(b, "Content-Length: "...), int64(len(m.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// headerText keeps line ends out of a header.
func headerText(v string) string {
	if !strings.ContainsAny(v, "\r\n") {
		return v
	}
	return strings.NewReplacer("\r", " ", "\n", " ").Replace(v)
}

// Send sends m and returns the answer once its header was read. A long body is
// sent meanwhile; a connection on which it was not read to its end is not used
// again. Its errors are of type *Error.
func (c *Conn) Send(ctx context.Context, m *Message, limits Limits) (*Response, error) {
	c.begin(ctx, limits)
	if err := c.write(m); err != nil {
		return nil, &Error{Stage: Sending, Sent: c.sent, Reused: c.reused, Err: err}
	}
	res, err := c.receive(&http.Request{Method: m.Method})
	if err != nil {
		return nil, &Error{Stage: FirstByte, Sent: true, Reused: c.reused, Err: err}
	}
	c.limit = limits.Silence
	return res, nil
}

// write sends m, or all but its long body, which follows meanwhile.
func (c *Conn) write(m *Message) error {
	if err := c.ctx.Err(); err != nil {
		return err
	}
	_ = c.nc.SetWriteDeadline(c.limits.Deadline)
	w := connWriter{c}
	head := m.head()
	c.writing = nil
	if len(m.Body) < largeBody {
		_, err := w.Write(append(head, m.Body...))
		return err
	}
	if _, err := w.Write(append(head, m.Body[:largeBody/2]...)); err != nil {
		return err
	}
	done := make(chan error, 1)
	c.writing = done
	rest := m.Body[largeBody/2:]
	go func() {
		_, err := c.nc.Write(rest)
		done <- err
	}()
	return nil
}

// hasWritten reports whether a long body was read to its end by the server,
// after a short wait.
func (c *Conn) hasWritten() bool {
	if c.writing == nil {
		return true
	}
	t := time.NewTimer(drainLimit)
	defer t.Stop()
	select {
	case err := <-c.writing:
		c.writing = nil
		return err == nil
	case <-t.C:
		return false
	}
}

// Next reads one more answer on the connection, after one that belonged to
// another request was read to its end.
func (c *Conn) Next(method string) (*Response, error) {
	c.finished = false
	c.limit = c.limits.FirstByte
	res, err := c.receive(&http.Request{Method: method})
	if err != nil {
		return nil, &Error{Stage: FirstByte, Sent: true, Reused: c.reused, Err: err}
	}
	c.limit = c.limits.Silence
	return res, nil
}
