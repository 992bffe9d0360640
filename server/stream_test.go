package server_test

import (
	"bufio"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"cyclamenhub.org/configurer"
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
