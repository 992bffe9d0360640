package dispatcher_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/dispatcher"
)

// scriptedServer answers the nth request with the nth response, and closes its
// connection. Later requests get the last response.
type scriptedServer struct {
	responses []string
	requests  atomic.Int64
}

// dial opens a connection to the server.
func (s *scriptedServer) dial(context.Context, string) (net.Conn, error) {
	client, server := net.Pipe()
	go func() {
		defer func() { _ = server.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(server))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		n := int(s.requests.Add(1)) - 1
		_, _ = io.WriteString(server, s.responses[min(n, len(s.responses)-1)])
	}()
	return client, nil
}

// textEvent returns an event with a text, which is the last one if finish is a reason.
func textEvent(text, finish string) string {
	return fmt.Sprintf(`data: {"id":"x","choices":[{"index":0,"text":%q,"finish_reason":%s}]}`+"\n\n", text, finish)
}

// TestBrokenStreamTakesNothingForeign guards against a begun stream in which the caller
// finds the answer of the next backend server, or an end that is none.
func TestBrokenStreamTakesNothingForeign(t *testing.T) {
	const (
		head  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
		plain = "HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s"
		done  = "data: [DONE]\n\n"
	)
	first := head + textEvent("one ", "null") + "data: {\"id"
	text := textEvent("two", `"stop"`) + done // An error may look like the rest.
	status := func(n int) string { return fmt.Sprintf(plain, n, len(text), text) }
	for _, tc := range []struct {
		name, second, text string
		done               bool
	}{
		{"500", status(500), "one ", false},
		{"503", status(503), "one ", false},
		{"429", status(429), "one ", false},
		{"421", status(421), "one ", false},
		{"404", status(404), "one ", false},
		{"206", status(206), "one ", false},
		{"a success that is no stream", fmt.Sprintf(plain, 200, 2, "{}"), "one ", false},
		{"a head that breaks off", head[:20], "one ", false},
		{"a stream without event", head, "one ", false},
		{"a marker without event", head + done, "one ", false},
		{"an engine's error", head + "data: {\"error\":{\"message\":\"failed\"}}\n\n" + done, "one ", false},
		{"a text that is no event", head + "HTTP/1.1 500 X\r\n\r\nerror\n\n" + done, "one ", false},
		{"a finish reason alone", head + textEvent("", `"stop"`) + done, "one ", true},
		{"the rest", head + text, "one two", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newFixture(t)
				defer p.close()
				s := &scriptedServer{responses: []string{first, tc.second}}
				p.useDial(s.dial)
				a := new(answer)
				refusal := p.d.Do(t.Context(), p.stream("scene", 30), a)
				got, isDone := a.text(t)
				if diff := cmp.Diff(tc.text, got); diff != "" || isDone != tc.done || (refusal == nil) != tc.done {
					t.Errorf("refusal %v, done %v, text differs (-want +got):\n%s", refusal, isDone, diff)
				}
			})
		})
	}
}

// TestTextWithoutFinishReasonIsJSON guards against an answer that is not JSON: the engine
// ends its stream with the marker and gave no finish reason.
func TestTextWithoutFinishReasonIsJSON(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFixture(t)
		defer p.close()
		head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
		s := &scriptedServer{responses: []string{head + textEvent("one", "null") + "data: [DONE]\n\n"}}
		p.useDial(s.dial)
		a := new(answer)
		refusal := p.d.Do(t.Context(), p.request("model", dispatcher.Text{}, http.MethodPost, "/v1/completions", `{"prompt":"scene"}`), a)
		if refusal != nil || !json.Valid(a.body.Bytes()) {
			t.Errorf("refusal %v, body %s", refusal, a.body.String())
		}
	})
}
