package dispatcher

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"

	"cyclamenhub.org/connector"
	"cyclamenhub.org/refuser"
)

// streamBufferBytes is the size of the buffer for reading events.
const streamBufferBytes = 16 << 10

var streamBuffers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, streamBufferBytes) }}

// streamFields turn a Text request into a stream that reports its usage at the
// end.
var streamFields = [][]byte{[]byte(`"stream":true`), []byte(`"stream_options":{"include_usage":true}`)}

// errNotResumed reports that a backend server did not continue an answer.
var errNotResumed = errors.New("the backend server did not continue the answer")

// streamHead returns the head that all streams share.
func streamHead() Head {
	return Head{Status: http.StatusOK, Header: http.Header{
		"Content-Type":  {"text/event-stream"},
		"Cache-Control": {"no-store"},
	}}
}

// beginStream sends the head of the stream unless it was already sent.
func (t *task) beginStream() {
	if !t.begun {
		t.begin(streamHead())
	}
}

// stream runs a generation that the caller reads event by event.
func (t *task) stream(Stream) *refuser.Refusal {
	refusal := t.run(func(a *attempt) result { return t.generateOnce(a, t.r.Body, true) })
	if refusal != nil {
		return refusal
	}
	if t.lastAnswer != nil {
		t.deliver(t.lastAnswer)
		return nil
	}
	t.beginStream()
	t.write([]byte(doneEvent))
	t.flush()
	return nil
}

// text runs a generation that the caller reads as one answer.
func (t *task) text(k Text) *refuser.Refusal {
	body := appendFields(t.r.Body, streamFields...)
	refusal := t.run(func(a *attempt) result { return t.generateOnce(a, body, false) })
	if refusal != nil {
		return refusal
	}
	if t.lastAnswer == nil {
		t.record.mu.Lock()
		b := textAnswerBody(&t.record.progress, k.Chat, string(t.r.Service.Name), t.d.opt.Clock.Now().Unix())
		t.record.mu.Unlock()
		t.lastAnswer = jsonAnswer(b)
	}
	t.deliver(t.lastAnswer)
	return nil
}

// jsonAnswer returns an answer with a JSON body.
func jsonAnswer(b []byte) *Answer {
	return &Answer{Body: b, Head: Head{Status: http.StatusOK, Header: http.Header{
		"Content-Type": {"application/json"},
	}}}
}

// generateOnce performs one attempt of a generation. It continues where earlier
// attempts stopped.
func (t *task) generateOnce(a *attempt, body []byte, toCaller bool) result {
	body, resumed := t.resumeBody(body)
	res, failure := a.exchange(body, connector.Limits{FirstByte: a.firstByteTimeout(), BetweenBytes: a.betweenBytesTimeout()})
	if failure != nil {
		return failure
	}
	if res.Status != http.StatusOK {
		return t.readNonStream(res, resumed)
	}
	t.lastAnswer = nil
	t.version = a.server.Version
	s := &scanner{
		p: &t.record.progress, attempt: a.id, resumed: resumed,
		echoed: res.Header.Get(AttemptHeader) != "",
	}
	return t.copyEvents(res.Body, s, toCaller)
}

// resumeBody returns the body to send, and whether the attempt resumes an
// answer. When it does, the body instructs the server to continue after the
// text that was already delivered.
func (t *task) resumeBody(body []byte) ([]byte, bool) {
	p := &t.record.progress
	if p.count() == 0 {
		return body, false
	}
	t.d.counters.resumes.Inc()
	t.d.counters.recomputedBytes.Add(len(p.text))
	if len(p.text) == 0 {
		return body, true
	}
	return appendFields(body, resumeField(p.text)), true
}

// readNonStream reads an answer that is not a stream.
func (t *task) readNonStream(res *connector.Response, resumed bool) result {
	body, err := readBody(res)
	if err != nil {
		return lost{err: err}
	}
	if resumed {
		// The caller already has events, and this answer cannot continue them.
		return lost{err: errNotResumed}
	}
	t.lastAnswer = &Answer{Head: Head{Status: res.Status, Header: ForwardedHeader(res.Header)}, Body: body}
	if res.Status >= http.StatusInternalServerError || res.Status == http.StatusTooManyRequests {
		return errorStatus{res.Status}
	}
	return complete{}
}

// copyEvents records the events of a stream and forwards them to the caller.
func (t *task) copyEvents(r io.Reader, s *scanner, toCaller bool) result {
	br := streamBuffers.Get().(*bufio.Reader)
	br.Reset(r)
	defer streamBuffers.Put(br)
	events := &eventReader{br: br}
	before := s.p.count()
	for {
		data, err := events.next()
		if err == nil && bytes.Equal(data, doneMarker) {
			return endedStream(s, before)
		}
		if err == nil {
			err = t.handleEvent(data, s, toCaller)
		}
		if err != nil {
			return t.brokenStream(err, s, before)
		}
		if s.p.count() == before+1 {
			t.markFirstToken()
		}
		if toCaller && !events.pending() {
			t.flush()
		}
	}
}

// endedStream returns the result of a stream that ended with its terminal marker. If it
// continues a broken answer and adds nothing to it, nothing shows that the answer is
// complete, unless it has its finish reason.
func endedStream(s *scanner, before int) result {
	if s.resumed && s.p.count() == before && s.p.finish == nil {
		return lost{err: errNotResumed}
	}
	return complete{}
}

// brokenStream returns the result of a stream that ended without its terminal
// marker.
func (t *task) brokenStream(err error, s *scanner, before int) result {
	t.flush()
	if s.p.finish != nil {
		// The text is complete; only the marker is missing.
		return complete{}
	}
	if s.p.opaque && s.p.count() > 0 {
		return unresumable{err}
	}
	return lost{err: err, advanced: s.p.count() > before}
}

// handleEvent records one event and forwards it to the caller.
func (t *task) handleEvent(data []byte, s *scanner, toCaller bool) error {
	record := t.record
	record.mu.Lock()
	payload, err := s.accept(data)
	n := s.p.count()
	record.notify()
	record.mu.Unlock()
	if err != nil || len(payload) == 0 {
		return err
	}
	t.d.counters.events.Inc()
	if !toCaller {
		return nil
	}
	t.beginStream()
	t.line = appendEvent(t.line[:0], n, payload)
	t.write(t.line)
	return nil
}
