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

// streamBufferBytes sizes the buffer that events are read through.
const streamBufferBytes = 16 << 10

var streamBuffers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, streamBufferBytes) }}

// askForStream turns a Text request into a stream with its usage at the end.
var askForStream = [][]byte{[]byte(`"stream":true`), []byte(`"stream_options":{"include_usage":true}`)}

// errNotResumed reports a backend server that would not continue an answer.
var errNotResumed = errors.New("the backend server did not continue the answer")

// streamHead is the head of every stream.
func streamHead() Head {
	return Head{Status: http.StatusOK, Header: http.Header{
		"Content-Type":  {"text/event-stream"},
		"Cache-Control": {"no-store"},
	}}
}

// beginStream sends the head of a stream, once.
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
	if t.held != nil {
		t.deliver(t.held)
		return nil
	}
	t.beginStream()
	t.write([]byte(doneEvent))
	t.flush()
	return nil
}

// text runs a generation that the caller reads as one answer.
func (t *task) text(k Text) *refuser.Refusal {
	body := spliceFields(t.r.Body, askForStream...)
	refusal := t.run(func(a *attempt) result { return t.generateOnce(a, body, false) })
	if refusal != nil {
		return refusal
	}
	if t.held == nil {
		t.record.mu.Lock()
		b := wholeText(&t.record.progress, k.Chat, string(t.r.Service.Name), t.d.opt.Clock.Now().Unix())
		t.record.mu.Unlock()
		t.held = jsonAnswer(b)
	}
	t.deliver(t.held)
	return nil
}

// jsonAnswer returns an answer of JSON.
func jsonAnswer(b []byte) *Answer {
	return &Answer{Body: b, Head: Head{Status: http.StatusOK, Header: http.Header{
		"Content-Type": {"application/json"},
	}}}
}

// generateOnce performs one attempt of a generation, from where the earlier
// ones left off.
func (t *task) generateOnce(a *attempt, body []byte, toCaller bool) result {
	body, resumed := t.resumeBody(body)
	res, failure := a.exchange(body, connector.Limits{FirstByte: a.firstByte(), Silence: a.betweenBytes()})
	if failure != nil {
		return failure
	}
	if res.Status != http.StatusOK {
		return t.rejected(res, resumed)
	}
	t.held = nil
	t.version = a.server.Version
	s := &scanner{
		p: &t.record.progress, attempt: a.id, resumed: resumed,
		echoed: res.Header.Get(AttemptHeader) != "",
	}
	return t.copyEvents(res.Body, s, toCaller)
}

// resumeBody returns what to send, so that the answer goes on after the text
// that was delivered already.
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
	return spliceFields(body, resumeField(p.text)), true
}

// rejected takes in an answer that is no stream.
func (t *task) rejected(res *connector.Response, resumed bool) result {
	body, err := readWhole(res)
	if err != nil {
		return lost{err: err}
	}
	if resumed {
		// It cannot follow on what the caller has.
		return lost{err: errNotResumed}
	}
	t.held = &Answer{Head: Head{Status: res.Status, Header: ForwardedHeader(res.Header)}, Body: body}
	if res.Status >= http.StatusInternalServerError || res.Status == http.StatusTooManyRequests {
		return answered{res.Status}
	}
	return whole{}
}

// copyEvents takes the events of a stream in and sends them to the caller.
func (t *task) copyEvents(r io.Reader, s *scanner, toCaller bool) result {
	br := streamBuffers.Get().(*bufio.Reader)
	br.Reset(r)
	defer streamBuffers.Put(br)
	events := &eventReader{br: br}
	before := s.p.count()
	for {
		data, err := events.next()
		if err == nil && bytes.Equal(data, doneMarker) {
			return whole{}
		}
		if err == nil {
			err = t.takeEvent(data, s, toCaller)
		}
		if err != nil {
			return t.brokenStream(err, s, before)
		}
		if s.p.count() == before+1 {
			t.noteFirstToken()
		}
		if toCaller && !events.pending() {
			t.flush()
		}
	}
}

// brokenStream returns the result of a stream without its terminal marker.
func (t *task) brokenStream(err error, s *scanner, before int) result {
	t.flush()
	if s.p.finish != nil {
		// The text is complete; only the marker is missing.
		return whole{}
	}
	if s.p.opaque && s.p.count() > 0 {
		return cutOff{err}
	}
	return lost{err: err, advanced: s.p.count() > before}
}

// takeEvent takes one event in and sends it to the caller.
func (t *task) takeEvent(data []byte, s *scanner, toCaller bool) error {
	c := t.record
	c.mu.Lock()
	payload, err := s.accept(data)
	n := s.p.count()
	c.notify()
	c.mu.Unlock()
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
