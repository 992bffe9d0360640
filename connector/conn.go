package connector

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cyclamenhub.org/timer"
)

const (
	// readBufferBytes and writeBufferBytes size the buffers of a connection.
	readBufferBytes  = 8 << 10
	writeBufferBytes = 4 << 10
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 64 << 10
	// drainLimit is how long Release waits for the end of a body.
	drainLimit = 50 * time.Millisecond
	// deadlineSlack is the part of a read limit, as 1/deadlineSlack, within
	// which an armed deadline is left as it is.
	deadlineSlack = 8
)

// Limits bound one exchange.
type Limits struct {
	// Deadline ends the exchange.
	Deadline time.Time
	// FirstByte is the longest wait for the first byte of the answer.
	FirstByte time.Duration
	// Silence is the longest wait between bytes after the first.
	Silence time.Duration
	// Sending is called right before the first byte may leave. Where it returns
	// an error nothing is sent.
	Sending func() error
}

// Conn is a connection to a backend server. One goroutine uses it at a time.
type Conn struct {
	nc      net.Conn
	address string
	clock   timer.Clock
	br      *bufio.Reader
	bw      *bufio.Writer
	reused  bool

	// lastByte is when the last byte was received, or when it was opened.
	lastByte time.Time

	ctx      context.Context
	limits   Limits
	limit    time.Duration
	armed    time.Time
	header   int
	sent     bool
	res      *Response
	closing  bool
	finished bool
	stop     func() bool
	// writing tells how the sending of a long body ended; nil without one.
	writing chan error
	// idleLimit is how long the server keeps an idle connection, as far as it
	// says so.
	idleLimit time.Duration
}

func newConn(nc net.Conn, address string, clock timer.Clock) *Conn {
	c := &Conn{nc: nc, address: address, clock: clock, lastByte: clock.Now()}
	c.br = bufio.NewReaderSize(connReader{c}, readBufferBytes)
	c.bw = bufio.NewWriterSize(connWriter{c}, writeBufferBytes)
	return c
}

// Reused reports whether the connection served an earlier exchange.
func (c *Conn) Reused() bool { return c.reused }

// Close closes the connection, which cancels its exchange.
func (c *Conn) Close() {
	c.unwatch()
	_ = c.nc.Close()
}

// Response is an answer whose header was read.
type Response struct {
	Status int
	Header http.Header
	// Length is the declared length of the body, or -1 where the body tells its
	// own end.
	Length int64
	// Bounded reports whether the end of the body can be told from a break.
	Bounded bool
	Body    io.Reader
}

// newResponse returns the part of res that callers use.
func newResponse(c *Conn, res *http.Response) *Response {
	bounded := res.ContentLength >= 0 || len(res.TransferEncoding) > 0 || res.Body == http.NoBody
	return &Response{
		Status: res.StatusCode, Header: res.Header, Length: res.ContentLength,
		Bounded: bounded, Body: &body{c: c, r: res.Body},
	}
}

// Exchange sends req and returns the answer once its header was read. Its
// errors are of type *Error. The connection is closed by the caller after an
// error, and released after the body was read.
func (c *Conn) Exchange(ctx context.Context, req *http.Request, limits Limits) (*Response, error) {
	c.begin(ctx, limits)
	if err := c.send(req); err != nil {
		return nil, &Error{Stage: Sending, Sent: c.sent, Reused: c.reused, Err: err}
	}
	res, err := c.receive(req)
	if err != nil {
		return nil, &Error{Stage: FirstByte, Sent: true, Reused: c.reused, Err: err}
	}
	c.limit = limits.Silence
	return res, nil
}

// begin resets what belongs to one exchange.
func (c *Conn) begin(ctx context.Context, limits Limits) {
	c.ctx, c.limits, c.limit = ctx, limits, limits.FirstByte
	c.armed, c.sent, c.res, c.finished = time.Time{}, false, nil, false
	c.stop = context.AfterFunc(ctx, func() { _ = c.nc.SetDeadline(time.Unix(1, 0)) })
}

func (c *Conn) unwatch() {
	if c.stop != nil {
		c.stop()
		c.stop = nil
	}
}

func (c *Conn) send(req *http.Request) error {
	if err := c.ctx.Err(); err != nil {
		return err
	}
	deadline := c.limits.Deadline
	if c.limits.FirstByte > 0 {
		deadline = earlier(deadline, c.clock.Now().Add(c.limits.FirstByte))
	}
	_ = c.nc.SetWriteDeadline(deadline)
	if err := req.Write(c.bw); err != nil {
		return err
	}
	return c.bw.Flush()
}

// receive reads headers up to the one of the final answer.
func (c *Conn) receive(req *http.Request) (*Response, error) {
	for {
		c.header = maxHeaderBytes
		res, err := http.ReadResponse(c.br, req) //nolint:bodyclose // The connection is released or closed as a whole.
		c.header = 0
		if err != nil {
			return nil, err
		}
		if res.StatusCode >= http.StatusOK {
			c.res, c.closing = newResponse(c, res), res.Close
			c.idleLimit = idleLimitOf(res.Header)
			return c.res, nil
		}
	}
}

// idleMargin is how much earlier than the server a connection counts as
// expired: a request must not meet the server's close.
const idleMargin = time.Second

// idleLimitOf returns how long a connection may be idle by what the server says
// (Keep-Alive: timeout=N), or 0 where it says nothing.
func idleLimitOf(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		n, err := strconv.Atoi(value)
		if err != nil || n < 0 {
			return 0
		}
		d := time.Duration(n) * time.Second
		return max(d-idleMargin, d/2)
	}
	return 0
}

// isExpired reports whether an idle connection is too old to be used.
func (c *Conn) isExpired(now time.Time, most time.Duration) bool {
	if c.idleLimit > 0 {
		most = min(most, c.idleLimit)
	}
	return now.Sub(c.lastByte) > most
}

// reusable reads what is left of the body and reports whether the connection
// may serve another exchange.
func (c *Conn) reusable() bool {
	if c.res == nil || c.closing {
		return false
	}
	if !c.finished {
		c.limit, c.armed = drainLimit, time.Time{}
		_, _ = io.CopyN(io.Discard, c.res.Body, 1)
	}
	if !c.finished || c.br.Buffered() > 0 || !c.hasWritten() {
		return false
	}
	c.unwatch()
	if c.ctx.Err() != nil {
		return false
	}
	_ = c.nc.SetDeadline(time.Time{})
	c.ctx, c.res = nil, nil
	return true
}

// quiet reports whether an idle connection is open and has nothing to read.
func (c *Conn) quiet() bool {
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// arm sets the read deadline, unless the one that is set will still do.
func (c *Conn) arm() error {
	now := c.clock.Now()
	if c.limit > 0 {
		want := earlier(c.limits.Deadline, now.Add(c.limit))
		if want.Sub(c.armed) > c.limit/deadlineSlack || c.armed.Sub(want) > 0 {
			c.armed = want
			_ = c.nc.SetReadDeadline(want)
		}
	} else if !c.armed.Equal(c.limits.Deadline) || c.armed.IsZero() {
		c.armed = c.limits.Deadline
		_ = c.nc.SetReadDeadline(c.armed)
	}
	// A cancellation before this point may have been overridden above.
	return c.ctx.Err()
}

// earlier returns the earlier of two times; a zero a means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// connReader reads from a connection under its limits.
type connReader struct{ c *Conn }

// Read reads what is there.
func (r connReader) Read(p []byte) (int, error) {
	c := r.c
	if err := c.arm(); err != nil {
		return 0, err
	}
	if c.header == 1 {
		return 0, ErrHeaderTooLarge
	}
	n, err := c.nc.Read(p)
	if n > 0 {
		c.lastByte = c.clock.Now()
	}
	if c.header > 0 {
		c.header = max(c.header-n, 1)
	}
	return n, err
}

// connWriter notes the first write of an exchange.
type connWriter struct{ c *Conn }

// Write sends p.
func (w connWriter) Write(p []byte) (int, error) {
	c := w.c
	if !c.sent {
		if c.limits.Sending != nil {
			if err := c.limits.Sending(); err != nil {
				return 0, err
			}
		}
		c.sent = true
	}
	return c.nc.Write(p)
}

// body is the body of an answer; it notes its end.
type body struct {
	c *Conn
	r io.Reader
}

// Read reads a part of the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if err == io.EOF {
		b.c.finished = true
	}
	return n, err
}
