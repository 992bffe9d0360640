package forwarder

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"mime"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenhub.org/concluder"
	"cyclamenhub.org/connector"
	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/placer"
)

// eventStream is the media type of server-sent events.
const eventStream = "text/event-stream"

// bufferedResponse is a response of a backend server whose body has been read
// completely.
type bufferedResponse struct {
	status int
	header http.Header
	body   chunks
	// run is that of the backend server; it is zero in what a peer has answered.
	run identifier.ServerRun
}

// isStream reports whether a response is a stream of server-sent events.
func (x *exchange) isStream(res *connector.Response) bool {
	if x.route.Kind != describer.Streaming || res.Status != http.StatusOK {
		return false
	}
	t, _, err := mime.ParseMediaType(res.Header.Get("Content-Type"))
	return err == nil && t == eventStream
}

// relayBuffered reads a response that is not a stream and writes it to the
// caller. It keeps a 5xx response in heldResponse, since another backend server
// may still succeed, and since it counts as a failure of the server also where
// the call may not be repeated.
func (x *exchange) relayBuffered(conn *connector.Conn, res *connector.Response, reply describer.Reply, choice *placer.Choice) (placer.Outcome, attemptResult, string) {
	body, taken, err := x.f.bodies.read(res.Body)
	x.heldBytes += taken
	switch {
	case errors.Is(err, errTooManyBodies):
		conn.Close()
		return placer.Cancelled, broken, err.Error()
	case errors.Is(err, errBodyTooLarge):
		conn.Close()
		return placer.Failed, broken, err.Error()
	case err != nil:
		conn.Close()
		return x.classifyReadError(err)
	}
	end := x.endOf(res, choice)
	if end == concluder.Cut {
		conn.Close()
		return x.classifyReadError(errServerEnded)
	}
	x.recordFirstContent(choice)
	x.recordSurvival(res.Status < http.StatusInternalServerError && end == concluder.Whole)
	buffered := &bufferedResponse{status: res.Status, header: endToEndHeader(res.Header), body: body, run: x.instance.Run()}
	x.f.opts.Pool.Release(conn)
	switch {
	case impliesNotRun(res.Status):
		// The status implies that the call did not run, but the backend server
		// has not reported that it ran nothing.
		return placer.Failed, broken, fmt.Sprintf("the backend server answered with status %d and may have run the call", res.Status)
	case res.Status < http.StatusBadRequest && !reply.Sealed:
		return placer.Failed, broken, "a success without the backend server's seal"
	case res.Status >= http.StatusInternalServerError && !x.headerSent:
		x.heldResponse = buffered
		return placer.Failed, failed, fmt.Sprintf("the backend server answered with status %d", res.Status)
	case x.headerSent:
		return placer.Failed, broken, "the stream was not resumed"
	}
	x.writeResponse(buffered)
	return placer.Succeeded, answered, ""
}

// impliesNotRun reports whether a status tells the caller that its call did not
// run and will not run later.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// writeResponse writes a complete response to the caller.
func (x *exchange) writeResponse(b *bufferedResponse) {
	x.status = b.status
	h := x.w.Header()
	for name, values := range b.header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // The backend server sent none; nil keeps net/http from adding one.
	}
	x.nameServer(h, b.run)
	h.Set("Content-Length", fmt.Sprint(b.body.size))
	x.w.WriteHeader(b.status)
	// The write deadline ends a call whose caller does not read. What net/http has not
	// sent by the end of the call is no more than its own buffer.
	rc := http.NewResponseController(x.w)
	_ = rc.SetWriteDeadline(x.deadline.Add(unreadMargin))
	_, _ = b.body.WriteTo(x.w)
	_ = rc.SetWriteDeadline(time.Time{})
}

// unreadMargin is how long after its call's deadline a caller may take to read an answer that
// is held for it.
const unreadMargin = 5 * time.Second

// readBytes is the size of the buffer for reading a stream, in bytes.
const readBytes = 16 << 10

// relayStream relays a stream of server-sent events to the caller, each event
// as soon as it is complete.
func (x *exchange) relayStream(conn *connector.Conn, res *connector.Response, choice *placer.Choice) (placer.Outcome, attemptResult, string) {
	if x.headerSent {
		streamsResumed.Inc()
	}
	s := x.newSplitter()
	progressAt := x.f.opts.Clock.Now()
	defer func() { choice.RecordSteps(s.events-1, x.lastEventAt.Sub(x.contentAt)) }()
	buf := make([]byte, readBytes)
	for {
		n, err := res.Body.Read(buf)
		if n > 0 {
			before := s.events
			result, reason := x.relayEvents(&s, buf[:n], res, choice)
			if result != answered {
				conn.Close()
				return placer.Failed, result, reason
			}
			switch now := x.f.opts.Clock.Now(); {
			case s.events > before:
				progressAt = now
			case x.hasStalled(now.Sub(progressAt), s.events):
				if x.giveUpStalled() {
					conn.Close()
					return placer.Failed, broken, "the stream makes no progress"
				}
				progressAt = now
			}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) {
			err = x.checkStreamEnd(&s, res, choice)
		}
		if err != nil {
			conn.Close()
			return x.classifyReadError(err)
		}
		x.writeStreamHeader(res)
		_ = http.NewResponseController(x.w).SetWriteDeadline(time.Time{})
		x.f.opts.Pool.Release(conn)
		return placer.Succeeded, answered, ""
	}
}

// checkStreamEnd returns why a stream that has ended is not whole, or nil.
func (x *exchange) checkStreamEnd(s *eventSplitter, res *connector.Response, choice *placer.Choice) error {
	if s.events == 0 && !res.Delimited || !s.isEmpty() {
		x.conn.MarkBroken()
	}
	switch {
	case s.events == 0 && !res.Delimited:
		return errNoEvent
	case s.continues:
		return errNothingAdded
	}
	end := x.endOf(res, choice)
	switch {
	case end == concluder.Cut:
		return errServerEnded
	case !s.isEmpty():
		return errCutInEvent
	}
	x.recordSurvival(end == concluder.Whole)
	return nil
}

var (
	// errCutInEvent reports a stream that ended inside an event.
	errCutInEvent = errors.New("the stream ended within an event")
	// errNoEvent reports a stream without length that ended before its first event.
	// A server whose process ends closes its connections too.
	errNoEvent = errors.New("the stream ended without an event")
	// errServerEnded reports an answer without length whose server has ended, so that
	// the answer may have been cut off anywhere.
	errServerEnded = errors.New("the backend server ended with its answer, which has no length")
)

// relayEvents writes the events that b completes to the caller.
func (x *exchange) relayEvents(s *eventSplitter, b []byte, res *connector.Response, choice *placer.Choice) (attemptResult, string) {
	first := s.events == 0
	complete, err := s.add(b)
	if err != nil {
		return broken, err.Error()
	}
	if len(complete) == 0 {
		return answered, ""
	}
	if first {
		x.dropBody()
		x.recordFirstContent(choice)
		x.countUsage(x.f.opts.TimeOfDay.Now())
	}
	x.lastEventAt = x.f.opts.Clock.Now()
	x.f.opts.Reach.Heard(x.service)
	x.writeStreamHeader(res)
	_, err = x.w.Write(complete)
	if err == nil {
		err = http.NewResponseController(x.w).Flush()
	}
	if err != nil {
		return callerLeft, ""
	}
	s.consume(complete)
	x.recordSurvival(false)
	x.recordPosition(s)
	return answered, ""
}

// recordFirstContent reports to the placer that the first content has arrived
// and records how long it took since the start of the call.
func (x *exchange) recordFirstContent(choice *placer.Choice) {
	choice.FirstContent()
	x.contentAt = x.f.opts.Clock.Now()
	x.firstAfter = x.contentAt.Sub(x.start)
	x.observeFirstContent()
}

// writeStreamHeader writes the header of a stream, unless an earlier attempt
// has done so.
func (x *exchange) writeStreamHeader(res *connector.Response) {
	if x.headerSent {
		return
	}
	x.headerSent, x.status = true, res.Status
	h := x.w.Header()
	for name, values := range endToEndHeader(res.Header) {
		h[name] = values
	}
	h.Del("Content-Length")
	x.nameServer(h, x.instance.Run())
	// The write deadline ends a call whose caller has stopped reading.
	_ = http.NewResponseController(x.w).SetWriteDeadline(x.deadline.Add(time.Second))
	x.w.WriteHeader(res.Status)
}

// classifyReadError classifies an error that ended a response before it was
// complete.
func (x *exchange) classifyReadError(err error) (placer.Outcome, attemptResult, string) {
	if x.r.Context().Err() != nil {
		return placer.Cancelled, callerLeft, ""
	}
	if err := x.whyEnded(); err != nil {
		return placer.Cancelled, broken, err.Error()
	}
	if x.ctx.Err() != nil {
		return placer.Failed, broken, "the time is up"
	}
	x.lost = isConnectionLoss(err)
	return placer.Failed, broken, "the answer was cut off: " + err.Error()
}

// hopHeaders are the hop-by-hop headers, which apply to one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEndHeader returns a copy of a response's header without the hop-by-hop
// headers.
func endToEndHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// logAttempt logs why an attempt did not answer the call.
func (x *exchange) logAttempt(result attemptResult, reason string, after time.Duration) {
	if result == answered || result == callerLeft {
		return // The log line of the call covers these.
	}
	attrs := []slog.Attr{
		slog.String("id", string(x.call.ID)), slog.String("server", string(x.server)),
		slog.Duration("after", after), slog.String("end", result.String()), slog.String("why", reason),
	}
	if result == broken {
		attrs = append(attrs, x.brokenAttrs()...)
	}
	if x.conn != nil { // It may have been released, and be in use by another call.
		attrs = append(attrs, slog.String("address", x.instance.Address), slog.Bool("reused", x.isReused))
	}
	x.f.opts.Log.LogAttrs(x.r.Context(), slog.LevelInfo, "attempt failed", attrs...)
}

// brokenAttrs returns the attributes that tell whether a call can have ended its
// backend server: the shared parts of its prompt and which request it is, and for
// how long its content had been arriving.
func (x *exchange) brokenAttrs() []slog.Attr {
	ids := make([]string, len(x.suspects))
	for i, p := range x.suspects {
		ids[i] = string(p.ID)
	}
	attrs := []slog.Attr{slog.String("suspects", strings.Join(ids, ","))}
	if !x.contentAt.IsZero() {
		attrs = append(attrs, slog.Duration("contentFor", x.f.opts.Clock.Now().Sub(x.contentAt)))
	}
	return attrs
}

// logCall logs the result of the call and the inputs that decided it, and
// updates the metrics of calls.
func (x *exchange) logCall() {
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
	if x.revisionAtSend != 0 && x.revisionAtSend != x.table.Revision() {
		attrs = append(attrs, slog.Uint64("revisionAtSend", uint64(x.revisionAtSend)))
	}
	if x.customer != nil {
		attrs = append(attrs, slog.String("customer", string(x.customer.Name)))
	}
	if x.isRelayed {
		attrs = append(attrs, slog.Bool("relayed", true))
	}
	if x.peer != "" {
		attrs = append(attrs, slog.String("peer", string(x.peer)))
	}
	if x.server != "" {
		attrs = append(attrs, slog.String("server", string(x.server)))
	}
	if x.reason != "" {
		attrs = append(attrs, slog.String("why", x.reason))
	}
	if x.noRetry != "" {
		attrs = append(attrs, slog.String("noRetry", string(x.noRetry)))
		metrics.GetOrCreateCounter(fmt.Sprintf("cyclamen_forwarder_retries_denied_total{why=%q}", x.noRetry)).Inc()
	}
	x.f.opts.Log.LogAttrs(x.r.Context(), slog.LevelInfo, "call", attrs...)
}
