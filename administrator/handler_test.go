package administrator

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/reducer"
	"cyclamenhub.org/refuser"
	"cyclamenhub.org/timer"
)

var testStart = time.Date(2026, 12, 1, 20, 0, 0, 0, time.UTC)

// viewOf returns the state of b.
func viewOf(t *testing.T, b *MemoryBackend) reducer.View {
	t.Helper()
	v, err := b.View(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// newTestHandler returns a handler that authenticates operators els and janis.
func newTestHandler(b Backend) http.Handler {
	tokens := []configurer.OperatorToken{
		{Operator: "els", TokenHash: configurer.HashKey("els-token")},
		{Operator: "janis", TokenHash: configurer.HashKey("janis-token")},
	}
	return New(b, tokens, timer.NewManual(testStart), slog.New(slog.DiscardHandler))
}

// send sends a request with body as operator els. It decodes a success response
// into response, unless that is nil, and returns the refusal otherwise.
func send(t *testing.T, h http.Handler, method, path string, body, response any) *refuser.Refusal {
	t.Helper()
	b, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	r := httptest.NewRequest(method, "/v1"+path, strings.NewReader(string(b)))
	r.Header.Set("Authorization", "Bearer els-token")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	if w.Code == http.StatusOK && response == nil {
		return nil
	}
	if w.Code == http.StatusOK {
		if err := json.Unmarshal(w.Body.Bytes(), response); err != nil {
			t.Fatal(err)
		}
		return nil
	}
	var f refuser.Refusal
	if err := json.Unmarshal(w.Body.Bytes(), &f); err != nil {
		t.Fatalf("%d %s: %v", w.Code, w.Body, err)
	}
	return &f
}

// fleetDocument returns a valid fleet document.
func fleetDocument(t *testing.T) json.RawMessage {
	t.Helper()
	b, err := os.ReadFile("testdata/fleet.json")
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestUnknownTokensAreRefused(t *testing.T) {
	h := newTestHandler(&MemoryBackend{})
	for _, header := range []string{"", "Bearer ", "Bearer wrong", "els-token", "Basic els-token"} {
		r := httptest.NewRequest(http.MethodGet, "/v1/config", nil)
		r.Header.Set("Authorization", header)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		if w.Code != http.StatusUnauthorized {
			t.Errorf("Authorization %q: status %d, want %d", header, w.Code, http.StatusUnauthorized)
		}
	}
}

func TestConfigIsChangedOncePerBase(t *testing.T) {
	b := &MemoryBackend{Hosts: []HostRevision{{Host: "b1", Revision: 1}, {Host: "a1", Revision: 0}}}
	h := newTestHandler(b)
	change := ConfigurationChange{ChangeID: "c-1", Reason: "first", Document: fleetDocument(t)}
	for _, want := range []ChangeResult{{ChangeID: "c-1", Revision: 1}, {ChangeID: "c-1", Revision: 1, Resent: true}} {
		var got ChangeResult
		if f := send(t, h, http.MethodPut, "/config", change, &got); f != nil {
			t.Fatal(f)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	}
	change.ChangeID = "c-2"
	if f := send(t, h, http.MethodPut, "/config", change, nil); f == nil || f.Kind() != refuser.Conflict {
		t.Errorf("second change against revision 0: %v, want a conflict", f)
	}
	var status ConfigurationStatus
	if f := send(t, h, http.MethodGet, "/config/status", nil, &status); f != nil {
		t.Fatal(f)
	}
	want := ConfigurationStatus{Revision: 1, Hosts: []HostRevision{{Host: "a1", Revision: 0}, {Host: "b1", Revision: 1}}}
	if diff := cmp.Diff(want, status); diff != "" {
		t.Error(diff)
	}
}

func TestFaultyDocumentIsRefusedAndAudited(t *testing.T) {
	b := &MemoryBackend{}
	f := send(t, newTestHandler(b), http.MethodPut, "/config", ConfigurationChange{ChangeID: "c-1", Document: json.RawMessage(`{"defaults":{}}`)}, nil)
	if f == nil || f.Kind() != refuser.Malformed || !strings.Contains(f.Error(), "defaults.limits.bodyBytes") {
		t.Errorf("refusal %v does not name defaults.limits.bodyBytes", f)
	}
	v := viewOf(t, b)
	if v.Revision != 0 || len(v.Refused) != 1 || v.Refused[0].Operator != "els" {
		t.Errorf("revision %d, refused records %v; want revision 0 and one record of els", v.Revision, v.Refused)
	}
}
