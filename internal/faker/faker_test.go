package faker_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/internal/faker"
)

// post sends body to h and returns the body of the response.
func post(t *testing.T, h http.Handler, path, body string) string {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	return w.Body.String()
}

func TestEngineContinuesDeliveredText(t *testing.T) {
	e := faker.NewEngine(faker.EngineConfig{Name: "w1", Version: "v1"})
	complete := post(t, e, "/v1/completions", `{"model":"m","prompt":"hello","max_tokens":8,"stream":true}`)
	if n := strings.Count(complete, "data: "); n != 9 {
		t.Fatalf("got %d events in %s", n, complete)
	}
	rest := post(t, e, "/v1/completions", `{"model":"m","prompt":"hello","max_tokens":8,"stream":true,"resume":{"text":`+
		quote(t, faker.Text("hello", 3))+`}}`)
	want := complete[nthEvent(complete, 3):]
	if diff := cmp.Diff(want, rest); diff != "" {
		t.Errorf("rest differs (-want +got):\n%s", diff)
	}
	if got := e.Stats().Resumed; got != 1 {
		t.Errorf("resumed %d times, want 1", got)
	}
}

// nthEvent returns the offset in s of event n, counted from 0.
func nthEvent(s string, n int) int {
	offset := 0
	for range n {
		offset += strings.Index(s[offset:], "\n\n") + 2
	}
	return offset
}

func quote(t *testing.T, s string) string {
	t.Helper()
	r := strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)
	return `"` + r.Replace(s) + `"`
}

func TestPlainCountsExecutions(t *testing.T) {
	p := faker.NewPlain(1)
	srv := httptest.NewServer(p)
	defer srv.Close()
	p.Inject(faker.Fault{Kind: faker.DropAnswer, Count: 1})
	for range 2 {
		res, err := http.Post(srv.URL+"/filings", "text/plain", bytes.NewReader([]byte("a")))
		if err == nil {
			_, _ = io.Copy(io.Discard, res.Body)
			res.Body.Close()
		}
	}
	want := map[string]int{faker.ExecutionKey("", "POST", "/filings", []byte("a")): 2}
	if diff := cmp.Diff(want, p.Executions()); diff != "" {
		t.Errorf("executions differ (-want +got):\n%s", diff)
	}
	if p.InjectedCount(faker.DropAnswer) != 1 {
		t.Error("the response was not dropped")
	}
}
