package forwarder

import (
	"errors"
	"io"
	"net/http"
	"os"
	"runtime"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenhub.org/budgeter"
)

const (
	// maxRequestChunkBytes bounds the parts in which the body of a request is held. A body
	// that stands still holds at most one part of which nothing has arrived.
	maxRequestChunkBytes = 256 << 10
	// discardTime is how long the rest of a body that is refused is read and thrown away,
	// so that a caller that reads no answer before it has sent everything gets one.
	discardTime = 2 * time.Second
	// defaultBodyPause bounds the time between two parts of a body if the document has no
	// limit for idle connections.
	defaultBodyPause = 30 * time.Second
)

// newRequestBudget returns the budget for the bodies of requests of a host.
func newRequestBudget(opts *Options) *budgeter.Budget {
	shares := budgeter.Divide(opts.MemoryBytes)
	return budgeter.New(budgeter.Options{Max: shares.Requests, Large: shares.LargeRequests, Clock: opts.Clock})
}

// ShowBudgets adds what the host holds of bodies to a set of metrics.
func (f *Forwarder) ShowBudgets(set *metrics.Set) {
	show := func(name string, value func() int64) {
		set.GetOrCreateGauge(name, func() float64 { return float64(value()) })
	}
	show(`cyclamen_forwarder_held_bytes{part="requests"}`, func() int64 { return f.requests.Counts().Held })
	show(`cyclamen_forwarder_held_bytes{part="largeRequests"}`, func() int64 { return f.requests.Counts().Large })
	show(`cyclamen_forwarder_held_bytes{part="answers"}`, f.bodies.held.Load)
	show(`cyclamen_forwarder_arriving_bodies`, func() int64 { return int64(f.requests.Counts().Arriving) })
}

// requestBody is a body of a request while it is read.
type requestBody struct {
	x       *exchange
	claim   *budgeter.Claim
	max     int64
	content chunks
	// pause bounds the time between two reads, and end is when the body must be complete,
	// or zero.
	pause time.Duration
	end   time.Time
}

// readBody reads the body of the call.
func (x *exchange) readBody() (chunks, *refusal) {
	if x.r.Body == http.NoBody {
		x.isRead = true
		return chunks{}, nil
	}
	x.claim = x.f.requests.Open(http.NewResponseController(x.w).SetReadDeadline)
	b := &requestBody{x: x, claim: x.claim, max: x.maxBodyBytes(), pause: x.bodyPause(), end: x.bodyEnd()}
	err := b.read()
	if ended := x.claim.Settle(); ended != nil {
		err = ended // Its reads fail as they do when the time is up.
	}
	if err == nil {
		x.isRead = true
		return b.content, nil
	}
	x.claim.Release()
	return chunks{}, x.refusalOfBody(err)
}

// maxBodyBytes returns the size of the largest body that the document allows.
func (x *exchange) maxBodyBytes() int64 {
	if x.table != nil && x.table.Document().Limits.BodyBytes > 0 {
		return int64(x.table.Document().Limits.BodyBytes)
	}
	return defaultMaxBodyBytes
}

// bodyPause returns how long the body may stand still.
func (x *exchange) bodyPause() time.Duration {
	if d := x.table.Document().Limits.IdleTimeout; d > 0 {
		return d
	}
	return defaultBodyPause
}

// bodyEnd returns when the body must be complete, since the call could not be answered after
// that, or the zero time if its route is not known.
func (x *exchange) bodyEnd() time.Time {
	route, ok := x.findRoute()
	if !ok {
		return time.Time{}
	}
	return x.start.Add(x.timeoutOn(route))
}

// refusalOfBody returns the refusal of a call whose body was not read to its end.
func (x *exchange) refusalOfBody(err error) *refusal {
	switch {
	case errors.Is(err, errRequestTooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: err.Error()}
	case errors.Is(err, budgeter.ErrFull):
		bodiesRefused.Inc()
		return refuseNotRun(err.Error())
	case errors.Is(err, budgeter.ErrEnded):
		bodiesEnded.Inc()
		return refuseNotRun(err.Error())
	case errors.Is(err, os.ErrDeadlineExceeded):
		bodiesTooSlow.Inc()
		return &refusal{status: http.StatusRequestTimeout, reason: "the body came too slowly; send it at once"}
	default:
		return &refusal{status: http.StatusBadRequest, reason: "the body was not read: " + err.Error()}
	}
}

// dropBody gives back the memory of a body that no further attempt needs.
func (x *exchange) dropBody() {
	if x.claim == nil || x.route.MayRepeat() {
		return
	}
	x.claim.Release()
	x.call.body = chunks{}
}

var errRequestTooLarge = errors.New("the body is too large")

// read reads the body into parts, each taken from the budget before it is allocated.
func (b *requestBody) read() error {
	for {
		size := b.nextPart()
		isLarge := b.content.size >= budgeter.SmallBytes
		if err := b.claim.Take(size, isLarge); err != nil {
			return err
		}
		part := make([]byte, size)
		n, err := b.fill(part)
		if n > 0 {
			b.content.add(part[:n])
		}
		switch {
		case b.content.size > b.max:
			return errRequestTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// nextPart returns the size of the next part: no more than the body still has, if that is
// known, and no more than has arrived already beyond the first part.
func (b *requestBody) nextPart() int64 {
	length := b.x.r.ContentLength
	if length < 0 || length > b.max {
		return min(max(b.content.size, minChunkBytes), maxRequestChunkBytes, b.max+1-b.content.size)
	}
	// A byte more than is left would be a second read that only finds the end.
	left := max(length-b.content.size, 1)
	return min(left, max(b.content.size, budgeter.SmallBytes), maxRequestChunkBytes)
}

// nextDeadline returns the deadline of the next read.
func (b *requestBody) nextDeadline() time.Time {
	wait := b.pause
	if !b.end.IsZero() {
		wait = min(wait, b.end.Sub(b.x.f.opts.Clock.Now()))
	}
	return time.Now().Add(wait)
}

// fill reads until the part is full.
func (b *requestBody) fill(part []byte) (n int, err error) {
	for n < len(part) && err == nil {
		if err = b.claim.Await(b.nextDeadline()); err != nil {
			return n, err
		}
		var m int
		m, err = b.x.r.Body.Read(part[n:])
		n += m
		if b.content.size >= budgeter.SmallBytes {
			runtime.Gosched() // Bodies in tiny chunks take long to decode.
		}
	}
	return n, err
}

// refuseAndClose writes a refusal of a call whose body was not read to its end. The connection
// is closed after it, since it would have to be read up to the next request.
func (x *exchange) refuseAndClose(r *refusal) {
	rc := http.NewResponseController(x.w)
	_ = rc.EnableFullDuplex() // The answer does not wait for the body.
	x.w.Header().Set("Connection", "close")
	x.writeRefusal(r)
	_ = rc.Flush()
	if x.r.Header.Get("Expect") == "" { // Else the caller sends no body after a refusal.
		x.discard(x.maxBodyBytes())
	}
}

// discardSmall reads a small body and throws it away, so that the connection may be used again,
// and reports whether that succeeded.
func (x *exchange) discardSmall() bool {
	n := x.r.ContentLength
	if n < 0 || n > budgeter.SmallBytes || x.claim != nil || x.r.Header.Get("Expect") != "" {
		return false
	}
	return x.discard(n)
}

// discard reads up to n bytes of the body and throws them away, for a bounded time. It reports
// whether all have come.
func (x *exchange) discard(n int64) bool {
	rc := http.NewResponseController(x.w)
	_ = rc.SetReadDeadline(time.Now().Add(discardTime))
	_, err := io.CopyN(io.Discard, x.r.Body, n)
	if err != nil {
		return false
	}
	_ = rc.SetReadDeadline(time.Time{})
	return true
}

var (
	bodiesRefused = metrics.NewCounter(`cyclamen_forwarder_bodies_refused_total{why="full"}`)
	bodiesEnded   = metrics.NewCounter(`cyclamen_forwarder_bodies_refused_total{why="stoodStill"}`)
	bodiesTooSlow = metrics.NewCounter(`cyclamen_forwarder_bodies_refused_total{why="tooSlow"}`)
)
