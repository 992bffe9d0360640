package connector

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/timer"
)

const (
	// readBufferBytes and writeBufferBytes are the buffer sizes of a
	// connection.
	readBufferBytes  = 8 << 10
	writeBufferBytes = 4 << 10
	// maxHeaderBytes is the largest accepted size of a response header, with those of
	// the interim responses before it.
	maxHeaderBytes = 64 << 10
	// drainTimeout is how long Release waits for the end of a response body,
	// and for the end of sending a large request body.
	drainTimeout = 50 * time.Millisecond
	// maxDrainBytes is the largest rest of a body that Release reads to its end.
	maxDrainBytes = 4 << 10
	// maxCarried is how many requests with ids a connection carries, since it remembers
	// them.
	maxCarried = 512
	// stillTime is how long nothing must have arrived for what arrives then to be old: one
	// side may have stood still, and the bytes and the end have waited.
	stillTime = time.Second
	// The read deadline is set again only if it moves earlier, or later by more
	// than the read limit divided by deadlineSlackDivisor.
	deadlineSlackDivisor = 8
)

// Limits are the time limits of one exchange, and a hook before sending.
type Limits struct {
	// Deadline is when the exchange ends at the latest.
	Deadline time.Time
	// FirstByte is the longest wait for the first byte of the response; 0 means
	// no limit other than Deadline.
	FirstByte time.Duration
	// BetweenBytes is the longest wait between bytes after the header; 0 means
	// no limit other than Deadline.
	BetweenBytes time.Duration
	// GiveUp is called when FirstByte or BetweenBytes has passed, and reports whether
	// the exchange ends; if not, the wait goes on for as long again. nil means that
	// it ends.
	GiveUp func() bool
	// BeforeSend is called immediately before the first byte is sent. If it
	// returns an error, nothing is sent.
	BeforeSend func() error
}

// Conn is a connection to a backend server. It must be used by one goroutine at
// a time.
type Conn struct {
	nc      net.Conn
	address string
	clock   timer.Clock
	// openedAt is when the connection was opened, and onClose is called when this side
	// closes it.
	openedAt time.Time
	onClose  func(*Conn)
	br       *bufio.Reader
	bw       *bufio.Writer
	reused   bool
	// bearsIDs is set once a response has borne the id of its request.
	bearsIDs bool
	// carried holds the hashes of the ids of the requests that were sent.
	carried []idHash
	// carriedHead is set once a HEAD request was sent.
	carriedHead bool

	// lastByte is when the last byte was received, or when the connection was
	// opened if there was none.
	lastByte time.Time
	// quietSince is when the last byte was received, or the exchange began. stoodStillAt is when
	// something last arrived after at least stillTime, or zero.
	quietSince, stoodStillAt time.Time

	ctx                context.Context
	limits             Limits
	readLimit          time.Duration
	readDeadline       time.Time
	headerBytesLeft    int
	sent               bool
	res                *Response
	closeAfterResponse bool
	bodyEnded          bool
	stopWatch          func() bool
	// bodyWritten receives the result of sending a large request body; it is
	// nil if there is none.
	bodyWritten chan error
	// hasLargeBuffer is set once br holds more than readBufferBytes.
	hasLargeBuffer bool
	// failure is the error with which the connection broke, noticed by any use of it.
	failure failure
	// end is how the server has ended the connection, seen by any use of it.
	end endRecord
	// idleTimeout is how long the connection may be idle according to the
	// server's Keep-Alive header; 0 if the server does not say.
	idleTimeout time.Duration
}

func newConn(nc net.Conn, address string, clock timer.Clock) *Conn {
	now := clock.Now()
	c := &Conn{nc: nc, address: address, clock: clock, openedAt: now, lastByte: now, onClose: func(*Conn) {}}
	c.br = bufio.NewReaderSize(connReader{c}, readBufferBytes)
	c.bw = bufio.NewWriterSize(connWriter{c}, writeBufferBytes)
	return c
}

// Reused reports whether the connection was used for an earlier exchange.
func (c *Conn) Reused() bool { return c.reused }

// RecordID records that the current response bears the id of its request. The connector
// does not know the header of ids.
func (c *Conn) RecordID() { c.bearsIDs = true }

// BearsIDs reports whether an earlier response on the connection bore the id of its
// request, so that one without an id belongs to no request.
func (c *Conn) BearsIDs() bool { return c.bearsIDs }

// idHash is the hash of the id of a request.
type idHash uint64

// hashOf returns the hash of an id.
func hashOf(id identifier.AttemptID) idHash { return idHash(xxhash.Sum64String(string(id))) }

// hasCarried reports whether a request with that id was sent on the connection before. A
// server may write its answer to that one once more, and the copy could not be told from
// the answer to the request on its way again.
func (c *Conn) hasCarried(id idHash) bool { return slices.Contains(c.carried, id) }

// carry records that a request with an id is sent, "" if it has none. It returns an error
// if the connection has carried that id.
func (c *Conn) carry(id identifier.AttemptID) error {
	if id == "" {
		return nil
	}
	h := hashOf(id)
	if c.hasCarried(h) {
		return ErrCarried
	}
	c.carried = append(c.carried, h)
	return nil
}

// Address returns the address of the backend server.
func (c *Conn) Address() string { return c.address }

// DisableReuse makes Release close the connection after the current response.
func (c *Conn) DisableReuse() { c.closeAfterResponse = true }

// Close closes the connection and so aborts its exchange.
func (c *Conn) Close() {
	c.stopWatching()
	_ = c.nc.Close()
	c.onClose(c)
}

// Response is an HTTP response whose header has been read.
type Response struct {
	Status int
	Header http.Header
	// Length is the declared length of the body in bytes, or -1 if it is not
	// declared.
	Length int64
	// Delimited reports whether the body is delimited, by a length or by
	// chunked encoding. Otherwise its end cannot be distinguished from a broken
	// connection.
	Delimited bool
	Body      io.Reader
}

// newResponse returns the part of res that callers use.
func newResponse(c *Conn, res *http.Response) *Response {
	delimited := res.ContentLength >= 0 || len(res.TransferEncoding) > 0 || res.Body == http.NoBody
	return &Response{
		Status: res.StatusCode, Header: res.Header, Length: res.ContentLength,
		Delimited: delimited, Body: &body{c: c, r: res.Body},
	}
}

// Exchange sends req and returns the response once its header has been read.
// Its errors are of type *Error. The caller must close the connection after an
// error, and release it to the pool after reading the body. Unlike Send it does not know
// the id of req: the caller gives each request of its own an id of its own.
func (c *Conn) Exchange(ctx context.Context, req *http.Request, limits Limits) (*Response, error) {
	c.beginExchange(ctx, limits)
	if err := c.send(req); err != nil {
		return nil, &Error{Stage: Sending, Sent: c.sent, Reused: c.reused, Err: err}
	}
	res, err := c.receive(req)
	if err != nil {
		return nil, &Error{Stage: FirstByte, Sent: true, Reused: c.reused, Err: err}
	}
	c.readLimit = limits.BetweenBytes
	return res, nil
}

// beginExchange resets the state that belongs to one exchange and watches ctx
// for cancellation.
func (c *Conn) beginExchange(ctx context.Context, limits Limits) {
	c.ctx, c.limits, c.readLimit = ctx, limits, limits.FirstByte
	c.readDeadline, c.sent, c.res, c.bodyEnded = time.Time{}, false, nil, false
	c.quietSince, c.stoodStillAt = c.clock.Now(), time.Time{}
	c.end.begin(c.quietSince)
	c.stopWatch = context.AfterFunc(ctx, func() { _ = c.nc.SetDeadline(time.Unix(1, 0)) })
}

func (c *Conn) stopWatching() {
	if c.stopWatch != nil {
		c.stopWatch()
		c.stopWatch = nil
	}
}

func (c *Conn) send(req *http.Request) error {
	if err := c.ctx.Err(); err != nil {
		return err
	}
	deadline := c.limits.Deadline
	if c.limits.FirstByte > 0 {
		deadline = earlierDeadline(deadline, c.clock.Now().Add(c.limits.FirstByte))
	}
	_ = c.nc.SetWriteDeadline(deadline)
	if err := req.Write(c.bw); err != nil {
		return err
	}
	return c.bw.Flush()
}

// receive reads response headers up to that of the final response and skips
// interim (1xx) responses. All of them together are bounded like one header.
func (c *Conn) receive(req *http.Request) (*Response, error) {
	c.headerBytesLeft = maxHeaderBytes
	defer func() { c.headerBytesLeft = 0 }()
	for {
		if err := c.awaitHead(); err != nil {
			return nil, err
		}
		res, err := http.ReadResponse(c.br, req) //nolint:bodyclose // The connection is released or closed as a whole.
		if err != nil {
			return nil, err
		}
		if isJoined(res) {
			return nil, ErrJoined
		}
		if !isStatusCode(res.StatusCode) {
			return nil, ErrStatus
		}
		if res.StatusCode >= http.StatusOK {
			c.res, c.closeAfterResponse = newResponse(c, res), res.Close
			c.idleTimeout = keepAliveTimeout(res.Header)
			return c.res, nil
		}
	}
}

// idleMargin is subtracted from the server's idle time-out, so that no request
// is sent while the server closes the connection.
const idleMargin = time.Second

// keepAliveTimeout returns how long a connection may be idle according to the
// server (Keep-Alive: timeout=N), or 0 if the server does not say.
func keepAliveTimeout(h http.Header) time.Duration {
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

// isExpired reports whether the connection has been idle for longer than
// maxIdle, or than the server's own idle time-out.
func (c *Conn) isExpired(now time.Time, maxIdle time.Duration) bool {
	if c.idleTimeout > 0 {
		maxIdle = min(maxIdle, c.idleTimeout)
	}
	return now.Sub(c.lastByte) > maxIdle
}

// prepareReuse drains the rest of the body and reports whether the connection
// can be used for another exchange.
func (c *Conn) prepareReuse() bool {
	if c.res == nil || c.closeAfterResponse || len(c.carried) >= maxCarried {
		return false
	}
	if !c.bodyEnded {
		c.readLimit, c.readDeadline, c.limits.GiveUp = drainTimeout, time.Time{}, nil
		c.limits.Deadline = c.clock.Now().Add(drainTimeout)
		_, _ = io.CopyN(io.Discard, c.res.Body, maxDrainBytes+1)
	}
	if !c.bodyEnded || c.br.Buffered() > 0 || !c.awaitBodyWritten() {
		return false
	}
	c.stopWatching()
	if c.ctx.Err() != nil {
		return false
	}
	_ = c.nc.SetDeadline(time.Time{})
	c.shrinkBuffer()
	c.ctx, c.res = nil, nil
	c.end.finish()
	return true
}

// setReadDeadline sets the read deadline unless the current one is close
// enough. It returns the error of the exchange's context.
func (c *Conn) setReadDeadline() error {
	now := c.clock.Now()
	if c.readLimit > 0 {
		want := earlierDeadline(c.limits.Deadline, now.Add(c.readLimit))
		if want.Sub(c.readDeadline) > c.readLimit/deadlineSlackDivisor || c.readDeadline.Sub(want) > 0 {
			c.readDeadline = want
			_ = c.nc.SetReadDeadline(want)
		}
	} else if !c.readDeadline.Equal(c.limits.Deadline) || c.readDeadline.IsZero() {
		c.readDeadline = c.limits.Deadline
		_ = c.nc.SetReadDeadline(c.readDeadline)
	}
	// If the context was cancelled before this point, the deadline set above
	// may have replaced the one that aborts reads.
	return c.ctx.Err()
}

// LimitBetweenBytes changes Limits.BetweenBytes for the rest of the exchange.
func (c *Conn) LimitBetweenBytes(d time.Duration) {
	c.readLimit, c.limits.BetweenBytes, c.readDeadline = d, d, time.Time{}
}

// earlierDeadline returns the earlier of two times; a zero a means no deadline.
func earlierDeadline(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// connReader reads from a connection within the exchange's limits.
type connReader struct{ c *Conn }

// Read implements io.Reader. It fails if the response header is too large.
func (r connReader) Read(p []byte) (int, error) {
	c := r.c
	if c.headerBytesLeft == 1 {
		return 0, ErrHeaderTooLarge
	}
	c.beginWait()
	n, err := r.read(p)
	for n == 0 && c.isOverdue(err) && !c.limits.GiveUp() {
		c.readDeadline = time.Time{} // It has passed, however near the next one is.
		n, err = r.read(p)
	}
	c.recordArrival(n)
	if n == 0 && isEnd(err) {
		c.end.read(c.clock.Now())
	}
	if c.headerBytesLeft > 0 {
		c.headerBytesLeft = max(c.headerBytesLeft-n, 1)
	}
	return n, err
}

// recordArrival records the result of a read, 0 if the connection has ended.
func (c *Conn) recordArrival(bytes int) {
	now := c.clock.Now()
	if now.Sub(c.quietSince) >= stillTime {
		c.stoodStillAt = now
	}
	if bytes > 0 {
		c.lastByte, c.quietSince = now, now
		c.end.awake(now)
	}
}

// MayBeOld reports whether what arrived just now may have waited for long, as it does while this
// process is stopped: it came after a time without any byte.
func (c *Conn) MayBeOld() bool {
	return !c.stoodStillAt.IsZero() && c.clock.Now().Sub(c.stoodStillAt) < stillTime
}

// read reads once, until the read limit has passed. An end that follows a failure of the
// connection is that failure.
func (r connReader) read(p []byte) (int, error) {
	if err := r.c.setReadDeadline(); err != nil {
		return 0, err
	}
	n, err := r.c.nc.Read(p)
	if n == 0 && errors.Is(err, io.EOF) {
		r.c.stopWritingBody()
		err = cmp.Or(r.c.failure.get(), err)
	}
	return n, err
}

// isOverdue reports whether a read failed because the read limit has passed, and the
// exchange may go on nevertheless.
func (c *Conn) isOverdue(err error) bool {
	if c.limits.GiveUp == nil || c.readLimit <= 0 || !errors.Is(err, os.ErrDeadlineExceeded) || c.ctx.Err() != nil {
		return false
	}
	return c.limits.Deadline.IsZero() || c.clock.Now().Before(c.limits.Deadline)
}

// connWriter writes to a connection and records the first write of an exchange.
type connWriter struct{ c *Conn }

// Write implements io.Writer. It calls Limits.BeforeSend before the first write.
func (w connWriter) Write(p []byte) (int, error) {
	c := w.c
	if !c.sent {
		if c.limits.BeforeSend != nil {
			if err := c.limits.BeforeSend(); err != nil {
				return 0, err
			}
		}
		c.sent = true
	}
	n, err := c.nc.Write(p)
	c.failure.record(err)
	return n, err
}

// body is a response body that records when it was read to its end.
type body struct {
	c *Conn
	r io.Reader
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if err == io.EOF {
		b.c.bodyEnded = true
	}
	return n, err
}
