package forwarder

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenhub.org/budgeter"
)

const (
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

// readBody reads the body of the call.
func (x *exchange) readBody() (chunks, *refusal) {
	if x.r.Body == http.NoBody {
		x.isRead = true
		return chunks{}, nil
	}
	x.claim = x.f.requests.Open(http.NewResponseController(x.w).SetReadDeadline)
	pause, end := x.bodyPause(), x.bodyEnd()
	b := budgeter.Body{
		Claim: x.claim, Source: x.r.Body, Length: x.r.ContentLength, Max: x.maxBodyBytes(),
		Deadline: func() time.Time { return x.nextDeadline(pause, end) },
	}
	var content chunks
	if err := b.Read(content.add); err != nil {
		return chunks{}, x.refusalOfBody(err)
	}
	x.isRead = true
	return content, nil
}

// nextDeadline returns the deadline of the next read of a body which may stand still for
// pause and must be complete at end, unless that is zero.
func (x *exchange) nextDeadline(pause time.Duration, end time.Time) time.Time {
	if !end.IsZero() {
		pause = min(pause, end.Sub(x.f.opts.Clock.Now()))
	}
	return time.Now().Add(pause)
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
	route, ok := x.route, true
	if route == nil { // It was not looked for, since the table may be out of date.
		route, ok = x.findRoute()
	}
	if !ok {
		return time.Time{}
	}
	return x.start.Add(x.timeoutOn(route))
}

// refusalOfBody returns the refusal of a call whose body was not read to its end.
func (x *exchange) refusalOfBody(err error) *refusal {
	switch {
	case errors.Is(err, budgeter.ErrTooLarge):
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
