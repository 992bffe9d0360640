package server_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/dispatcher"
	"cyclamenhub.org/identifier"
)

// TestEventIsFlushedImmediately checks that an event reaches the caller without
// waiting for the next: the engine sends its second event only after the caller
// has read the first.
func TestEventIsFlushedImmediately(t *testing.T) {
	firstRead := make(chan struct{})
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		event := `data: {"id":"x","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":%q},"finish_reason":%s}]}` + "\n\n"
		fmt.Fprintf(w, event, "one ", "null")
		_ = http.NewResponseController(w).Flush()
		select {
		case <-firstRead:
		case <-r.Context().Done():
			return
		}
		fmt.Fprintf(w, event, "two", `"stop"`)
		fmt.Fprint(w, "data: [DONE]\n\n")
	}))
	t.Cleanup(engine.Close)
	p := newTestProxy(t, func(f *configurer.Fleet) {
		for i := range f.Defaults.BackendServers {
			f.Defaults.BackendServers[i].Address = strings.TrimPrefix(engine.URL, "http://")
		}
	})
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, p.url+"/v1/chat/completions",
		strings.NewReader(`{"model":"brief-model","stream":true,"messages":[{"role":"user","content":"hello"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var lines []string
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		if line := sc.Text(); strings.HasPrefix(line, "data: ") {
			if lines = append(lines, line); len(lines) == 1 {
				close(firstRead)
			}
		}
	}
	if len(lines) != 3 || !strings.Contains(lines[0], "one ") || lines[2] != "data: [DONE]" {
		t.Errorf("the caller read %q", lines)
	}
}

// lostOwner is a Finder of a request whose owner is out of reach.
type lostOwner struct{}

func (lostOwner) Find(context.Context, identifier.Customer, identifier.RequestID) (dispatcher.Remote, dispatcher.Status, bool) {
	return lostOwner{}, dispatcher.Status{}, true
}

func (lostOwner) Next(context.Context, int) (dispatcher.Update, error) {
	return dispatcher.Update{}, errors.New("out of reach")
}

// TestLostOwnerIsReported guards against a request to resume a stream that gets neither an
// answer nor a refusal, since the host that runs it is out of reach.
func TestLostOwnerIsReported(t *testing.T) {
	p := newTestProxy(t, nil)
	p.finder = lostOwner{}
	p.start(p.fleet)
	res := p.do(mustRequest(t, http.MethodGet, p.url+"/v1/requests/r1"), "Last-Event-ID", "1")
	if res.StatusCode != http.StatusBadGateway {
		t.Errorf("status %d, want 502", res.StatusCode)
	}
}

// mustRequest returns a request without a body.
func mustRequest(t *testing.T, method, target string) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, target, nil)
	if err != nil {
		t.Fatal(err)
	}
	return r
}
