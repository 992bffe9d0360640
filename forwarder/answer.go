package forwarder

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"mime"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenhub.org/connector"
	"cyclamenhub.org/describer"
	"cyclamenhub.org/placer"
)

// eventStream is the media type of a stream of events.
const eventStream = "text/event-stream"

// answer is a whole answer of a backend server.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// isStream reports whether an answer is a stream of events.
func (x *exchange) isStream(res *connector.Response) bool {
	if x.route.Kind != describer.Streaming || res.Status != http.StatusOK {
		return false
	}
	t, _, err := mime.ParseMediaType(res.Header.Get("Content-Type"))
	return err == nil && t == eventStream
}

// whole reads an answer that is not a stream and delivers it, or holds it where
// another backend server may do better.
func (x *exchange) whole(conn *connector.Conn, res *connector.Response, reply describer.Reply, choice *placer.Choice) (placer.Outcome, ending, string) {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	switch {
	case err != nil:
		conn.Close()
		return x.cutOff(err)
	case len(body) > maxAnswerBytes:
		conn.Close()
		return placer.Failed, broken, "the answer is too large"
	}
	x.noteFirst(choice)
	a := &answer{status: res.Status, header: passedOn(res.Header), body: body}
	x.f.opts.Pool.Release(conn)
	switch {
	case promisesNotRun(res.Status):
		// The backend server has not said that it ran nothing.
		return placer.Failed, broken, fmt.Sprintf("the backend server answered with status %d and may have run the call", res.Status)
	case res.Status < http.StatusBadRequest && !reply.Sealed:
		return placer.Failed, broken, "a success without the backend server's seal"
	case res.Status >= http.StatusInternalServerError && !x.begun:
		x.held = a
		if x.route.MayRepeat() {
			return placer.Failed, failed, fmt.Sprintf("the backend server answered with status %d", res.Status)
		}
	case x.begun:
		return placer.Failed, broken, "the stream was not resumed"
	}
	x.deliver(a)
	return placer.Succeeded, answered, ""
}

// promisesNotRun reports whether a status tells the caller that its call did not
// run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// deliver passes a whole answer on.
func (x *exchange) deliver(a *answer) {
	x.status = a.status
	h := x.w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // The backend server named none.
	}
	h.Set("Content-Length", fmt.Sprint(len(a.body)))
	x.w.WriteHeader(a.status)
	_, _ = x.w.Write(a.body)
}

// readBytes is how much of a stream is read at once.
const readBytes = 16 << 10

// stream passes a stream of events on, each as it comes.
func (x *exchange) stream(conn *connector.Conn, res *connector.Response, choice *placer.Choice) (placer.Outcome, ending, string) {
	if x.begun {
		resumed.Inc()
	}
	var c cutter
	buf := make([]byte, readBytes)
	for {
		n, err := res.Body.Read(buf)
		if n > 0 {
			if end, why := x.passOn(&c, buf[:n], res, choice); end != answered {
				conn.Close()
				return placer.Failed, end, why
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && c.isEmpty():
			x.begin(res)
			_ = http.NewResponseController(x.w).SetWriteDeadline(time.Time{})
			x.f.opts.Pool.Release(conn)
			return placer.Succeeded, answered, ""
		case errors.Is(err, io.EOF):
			conn.Close()
			return placer.Failed, broken, "the stream ended within an event"
		default:
			conn.Close()
			return x.cutOff(err)
		}
	}
}

// passOn delivers the whole events that b completes.
func (x *exchange) passOn(c *cutter, b []byte, res *connector.Response, choice *placer.Choice) (ending, string) {
	first := c.events == 0
	whole, err := c.add(b)
	if err != nil {
		return broken, err.Error()
	}
	if len(whole) == 0 {
		return answered, ""
	}
	if first {
		x.noteFirst(choice)
		x.count(x.f.opts.TimeOfDay.Now())
	}
	x.begin(res)
	_, err = x.w.Write(whole)
	if err == nil {
		err = http.NewResponseController(x.w).Flush()
	}
	if err != nil {
		return left, ""
	}
	c.consume(whole)
	if c.lastID != "" {
		x.lastEvent = c.lastID
	}
	return answered, ""
}

// noteFirst tells that the first content has come.
func (x *exchange) noteFirst(choice *placer.Choice) {
	choice.First()
	x.firstAfter = x.f.opts.Clock.Now().Sub(x.start)
}

// begin delivers the header of a stream once.
func (x *exchange) begin(res *connector.Response) {
	if x.begun {
		return
	}
	x.begun, x.status = true, res.Status
	h := x.w.Header()
	for name, values := range passedOn(res.Header) {
		h[name] = values
	}
	h.Del("Content-Length")
	// A caller that stops reading must not hold the call beyond its time.
	_ = http.NewResponseController(x.w).SetWriteDeadline(x.deadline.Add(time.Second))
	x.w.WriteHeader(res.Status)
}

// cutOff classifies an answer that ended before it was whole.
func (x *exchange) cutOff(err error) (placer.Outcome, ending, string) {
	if x.r.Context().Err() != nil {
		return placer.Cancelled, left, ""
	}
	if x.ctx.Err() != nil {
		return placer.Failed, broken, "the time is up"
	}
	return placer.Failed, broken, "the answer was cut off: " + err.Error()
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// passedOn returns the part of an answer's header that concerns the caller.
func passedOn(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// logAttempt writes why an attempt did not answer the call.
func (x *exchange) logAttempt(end ending, why string, after time.Duration) {
	if end == answered || end == left {
		return // The line of the call says it.
	}
	x.f.opts.Log.LogAttrs(x.r.Context(), slog.LevelInfo, "attempt failed", slog.String("id", string(x.call.ID)),
		slog.String("server", string(x.server)), slog.Duration("after", after), slog.String("end", end.String()), slog.String("why", why))
}

// log writes what became of the call and which inputs decided it.
func (x *exchange) log() {
	took := x.f.opts.Clock.Now().Sub(x.start)
	callSeconds.Update(took.Seconds())
	metrics.GetOrCreateCounter(fmt.Sprintf("cyclamen_forwarder_calls_total{status=\"%d\"}", x.status)).Inc()
	attrs := []slog.Attr{slog.Int("status", x.status), slog.Duration("took", took), slog.Int("sends", x.sends), slog.Int("runs", x.runs)}
	if x.call != nil {
		attrs = append(attrs, slog.String("id", string(x.call.ID)))
	}
	if x.route != nil {
		attrs = append(attrs, slog.String("route", string(x.route.Name)), slog.Uint64("revision", uint64(x.table.Revision())))
	}
	if x.customer != nil {
		attrs = append(attrs, slog.String("customer", string(x.customer.Name)))
	}
	if x.server != "" {
		attrs = append(attrs, slog.String("server", string(x.server)))
	}
	if x.why != "" {
		attrs = append(attrs, slog.String("why", x.why))
	}
	x.f.opts.Log.LogAttrs(x.r.Context(), slog.LevelInfo, "call", attrs...)
}
