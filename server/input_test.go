package server_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/dispatcher"
	"cyclamenhub.org/internal/faker"
	"cyclamenhub.org/refuser"
	"cyclamenhub.org/server"
)

// refusalOf decodes the refusal in an answer.
func refusalOf(t *testing.T, res *http.Response) *refuser.Refusal {
	t.Helper()
	f := new(refuser.Refusal)
	if err := json.NewDecoder(res.Body).Decode(f); err != nil {
		t.Fatalf("status %d: %v", res.StatusCode, err)
	}
	return f
}

// TestBadInputIsRefused checks that invalid requests are refused as not run,
// with the expected status and kind, and that none reaches a backend server.
func TestBadInputIsRefused(t *testing.T) {
	p := newTestProxy(t, nil)
	chat := chatBody("x", 3, false)
	tests := []struct {
		name, target, body string
		header             []string
		status             int
		kind               refuser.Kind
	}{
		{"unknown key", "/v1/chat/completions", chat, []string{"Authorization", "Bearer nobody"}, 401, refuser.Unauthenticated},
		{"no bearer", "/v1/chat/completions", chat, []string{"Authorization", testKey}, 401, refuser.Unauthenticated},
		{"no JSON", "/v1/chat/completions", "{", nil, 400, refuser.Malformed},
		{"deep JSON", "/v1/chat/completions", strings.Repeat("[", 20_000), nil, 400, refuser.Malformed},
		{"no model", "/v1/chat/completions", `{"messages":[]}`, nil, 400, refuser.Malformed},
		{"no messages", "/v1/chat/completions", `{"model":"brief-model"}`, nil, 400, refuser.Malformed},
		{"reserved field", "/v1/completions", `{"model":"brief-model","prompt":"x","resume":{}}`, nil, 400, refuser.Malformed},
		{"negative tokens", "/v1/completions", `{"model":"brief-model","prompt":"x","max_tokens":-9000000000000000000,"max_completion_tokens":-9000000000000000000}`, nil, 400, refuser.Malformed},
		{"tokens whose sum overflows", "/v1/completions", `{"model":"brief-model","prompt":"x","max_tokens":9223372036854775807}`, nil, 400, refuser.Malformed},
		{"tokens beyond any integer", "/v1/completions", `{"model":"brief-model","prompt":"x","max_completion_tokens":1e400}`, nil, 400, refuser.Malformed},
		{"unknown model", "/v1/completions", `{"model":"x","prompt":"x"}`, nil, 404, refuser.NotFound},
		{"unknown service", "/services/x/y", "", nil, 404, refuser.NotFound},
		{"unknown path", "/x", "", nil, 404, refuser.NotFound},
		{"two slashes", "/services/dossier//filings", "", nil, 400, refuser.Malformed},
		{"too large", "/services/dossier/filings", strings.Repeat("x", 1<<16+1), nil, 413, refuser.TooLarge},
		{"bad deadline", "/v1/completions", `{"model":"brief-model","prompt":"x"}`, []string{server.DeadlineHeader, "soon"}, 400, refuser.Malformed},
		{"past deadline", "/v1/completions", `{"model":"brief-model","prompt":"x"}`, []string{server.DeadlineHeader, "-1s"}, 504, refuser.DeadlinePassed},
		{"bad priority", "/v1/completions", `{"model":"brief-model","prompt":"x"}`, []string{server.PriorityHeader, "now"}, 400, refuser.Malformed},
		{"bad request id", "/v1/completions", `{"model":"brief-model","prompt":"x"}`, []string{server.RequestHeader, "a b"}, 400, refuser.Malformed},
		{"long key", "/services/dossier/filings", "", []string{dispatcher.KeyHeader, strings.Repeat("k", 300)}, 400, refuser.Malformed},
		{"bad event id", "/v1/completions", `{"model":"brief-model","prompt":"x"}`, []string{server.LastEventHeader, "-4"}, 400, refuser.Malformed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			res := p.post(tt.target, tt.body, tt.header...)
			f := refusalOf(t, res)
			if res.StatusCode != tt.status || f.Kind() != tt.kind || !f.IsNotRun() {
				t.Errorf("status %d, refusal %v, not run %v", res.StatusCode, f, f.IsNotRun())
			}
		})
	}
	if n := p.engines[0].Stats().Calls + p.engines[1].Stats().Calls; n != 0 || len(p.plain.Executions()) != 0 {
		t.Errorf("%d calls reached the engines, %v the plain service", n, p.plain.Executions())
	}
}

// TestChunkedBodyIsBounded checks that the server stops reading a body without
// declared length at the limit and answers with a refusal.
func TestChunkedBodyIsBounded(t *testing.T) {
	p := newTestProxy(t, nil)
	c, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /services/dossier/filings HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nTransfer-Encoding: chunked\r\n\r\n", testKey)
	go func() {
		// The server stops reading, so that a write fails.
		for range 1 << 10 {
			if _, err := fmt.Fprintf(c, "1000\r\n%s\r\n", strings.Repeat("x", 0x1000)); err != nil {
				return
			}
		}
	}()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if f := refusalOf(t, res); res.StatusCode != http.StatusRequestEntityTooLarge || f.Kind() != refuser.TooLarge {
		t.Errorf("status %d, refusal %v", res.StatusCode, f)
	}
}

// TestKeyMakesCallNonIdempotent checks that a call with an idempotency key runs
// at most once, even on a route that is not listed as non-idempotent.
func TestKeyMakesCallNonIdempotent(t *testing.T) {
	p := newTestProxy(t, nil)
	p.plain.Inject(faker.Fault{Kind: faker.DropAnswer, Count: 1})
	for i, want := range []refuser.Kind{refuser.Unknown, refuser.Unknown} {
		f := refusalOf(t, p.post("/services/dossier/invoices", "{}", dispatcher.KeyHeader, "i-1"))
		if f.Kind() != want || f.IsNotRun() {
			t.Errorf("call %d: %v, not run %v", i, f, f.IsNotRun())
		}
	}
	if diff := cmp.Diff(map[string]int{"i-1": 1}, p.plain.Executions()); diff != "" {
		t.Errorf("executions differ (-want +got):\n%s", diff)
	}
}

// TestReusedKeyIsRefused checks that an idempotency key cannot be reused with a
// different body.
func TestReusedKeyIsRefused(t *testing.T) {
	p := newTestProxy(t, nil)
	p.post("/services/dossier/filings", `{"a":1}`, dispatcher.KeyHeader, "f-1")
	res := p.post("/services/dossier/filings", `{"a":2}`, dispatcher.KeyHeader, "f-1")
	if f := refusalOf(t, res); f.Kind() != refuser.KeyReused || res.StatusCode != http.StatusUnprocessableEntity {
		t.Errorf("status %d, refusal %v", res.StatusCode, f)
	}
	if n := len(p.plain.Executions()); n != 1 {
		t.Errorf("%d executions", n)
	}
}

// TestRequestStatusAndResume checks that a customer can query the status of its
// finished request and resume its stream, and that an unknown id is not found.
func TestRequestStatusAndResume(t *testing.T) {
	p := newTestProxy(t, nil)
	first := p.post("/v1/completions", `{"model":"brief-model","prompt":"x","max_tokens":5,"stream":true}`, server.RequestHeader, "mine")
	stream, err := io.ReadAll(first.Body)
	if err != nil {
		t.Fatal(err)
	}
	var s dispatcher.Status
	if err := json.NewDecoder(p.get("/v1/requests/mine").Body).Decode(&s); err != nil {
		t.Fatal(err)
	}
	want := dispatcher.Status{Request: "mine", State: dispatcher.Done, Events: 5, Status: 200}
	if diff := cmp.Diff(want, s); diff != "" {
		t.Errorf("status differs (-want +got):\n%s", diff)
	}
	rest, err := io.ReadAll(p.get("/v1/requests/mine", server.LastEventHeader, "3").Body)
	if err != nil {
		t.Fatal(err)
	}
	if _, want, _ := strings.Cut(string(stream), "id: 3\n"); !strings.HasSuffix(want, string(rest)) || strings.Count(string(rest), "id: ") != 2 {
		t.Errorf("got %q of %q", rest, stream)
	}
	if res := p.get("/v1/requests/other"); res.StatusCode != http.StatusNotFound {
		t.Errorf("status %d of an unknown request", res.StatusCode)
	}
}

// get sends a GET request.
func (p *testProxy) get(target string, header ...string) *http.Response {
	p.t.Helper()
	req, err := http.NewRequest(http.MethodGet, p.url+target, nil)
	if err != nil {
		p.t.Fatal(err)
	}
	return p.do(req, header...)
}
