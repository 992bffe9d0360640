package administrator

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
)

// withFleet returns a backend with the test fleet document at revision 1, and its
// handler.
func withFleet(t *testing.T) (*MemoryBackend, http.Handler) {
	t.Helper()
	b := &MemoryBackend{}
	h := newTestHandler(b)
	if f := send(t, h, http.MethodPut, "/config", ConfigurationChange{ChangeID: "c-1", Document: fleetDocument(t)}, new(ChangeResult)); f != nil {
		t.Fatal(f)
	}
	return b, h
}

// callNight returns a request to add a valid exception.
func callNight(id identifier.ChangeID, base identifier.Revision) ExceptionAddition {
	return ExceptionAddition{ChangeID: id, Base: base, Exception: configurer.Exception{
		Name: "call-night", Path: "customers/foodbank/requestsPerSecond", Value: json.RawMessage("60"),
		Reason: "The call closes at midnight.", Ends: "2026-12-02T00:00:00Z",
	}}
}

func TestExceptionsAreAddedListedAndRemovedOnce(t *testing.T) {
	_, h := withFleet(t)
	for _, tt := range []struct {
		path string
		body any
		want ChangeResult
	}{
		{"/exceptions", callNight("c-2", 1), ChangeResult{ChangeID: "c-2", Revision: 2}},
		{"/exceptions", callNight("c-2", 1), ChangeResult{ChangeID: "c-2", Revision: 2, Resent: true}},
		{"/exceptions/call-night/remove", ExceptionRemoval{ChangeID: "c-3", Base: 2}, ChangeResult{ChangeID: "c-3", Revision: 3}},
		{"/exceptions/call-night/remove", ExceptionRemoval{ChangeID: "c-3", Base: 2}, ChangeResult{ChangeID: "c-3", Revision: 3, Resent: true}},
		{"/exceptions", callNight("c-4", 3), ChangeResult{ChangeID: "c-4", Revision: 4}},
	} {
		var got ChangeResult
		if f := send(t, h, http.MethodPost, tt.path, tt.body, &got); f != nil {
			t.Fatal(f)
		}
		if diff := cmp.Diff(tt.want, got); diff != "" {
			t.Errorf("%s: %s", tt.path, diff)
		}
	}
	var list Exceptions
	if f := send(t, h, http.MethodGet, "/exceptions", nil, &list); f != nil {
		t.Fatal(f)
	}
	want := Exceptions{Revision: 4, Exceptions: []ExceptionStatus{{Exception: callNight("", 0).Exception, Active: true}}}
	if diff := cmp.Diff(want, list); diff != "" {
		t.Error(diff)
	}
}

func TestChangesAreRefusedAndAudited(t *testing.T) {
	noReason, negative, unknown := callNight("c-2", 1), callNight("c-2", 1), callNight("c-2", 1)
	noReason.Exception.Reason = ""
	negative.Exception.Value = json.RawMessage("-1")
	unknown.Exception.Path = "customers/foodbnk/requestsPerSecond"
	for _, tt := range []struct {
		name, method, path string
		body               any
		kind               refuser.Kind
		want               string
	}{
		{"no reason", http.MethodPost, "/exceptions", noReason, refuser.Malformed, "exceptions[0].reason: is missing"},
		{"wrong value", http.MethodPost, "/exceptions", negative, refuser.Malformed, "makes customers/foodbank/requestsPerSecond wrong"},
		{"unknown path", http.MethodPost, "/exceptions", unknown, refuser.Malformed, `"foodbnk" is not in defaults.customers`},
		{"stale base", http.MethodPost, "/exceptions", callNight("c-2", 0), refuser.Conflict, "the present one is 1"},
		{"future base", http.MethodPost, "/exceptions", callNight("c-2", 2), refuser.Conflict, "revision 2 does not exist"},
		{"unknown exception", http.MethodPost, "/exceptions/gone/remove", ExceptionRemoval{ChangeID: "c-2", Base: 1}, refuser.Malformed, `no exception "gone"`},
		{"reused id", http.MethodPost, "/exceptions", callNight("c-1", 1), refuser.KeyReused, `change id "c-1" was used`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b, h := withFleet(t)
			f := send(t, h, tt.method, tt.path, tt.body, nil)
			if f == nil || f.Kind() != tt.kind || !strings.Contains(f.Error(), tt.want) {
				t.Errorf("refusal %v, want kind %q and %q", f, tt.kind, tt.want)
			}
			v := viewOf(t, b)
			if v.Revision != 1 || len(v.Refused) != 1 || v.Refused[0].Operator != "els" {
				t.Errorf("revision %d with refused records %v, want revision 1 and one record of els", v.Revision, v.Refused)
			}
		})
	}
}

func TestAuditIsListedNewestFirst(t *testing.T) {
	_, h := withFleet(t)
	if f := send(t, h, http.MethodPost, "/exceptions", callNight("c-2", 0), nil); f == nil {
		t.Fatal("a stale change was accepted")
	}
	if f := send(t, h, http.MethodPost, "/exceptions", callNight("c-3", 1), nil); f != nil {
		t.Fatal(f)
	}
	numbers := func(path string) (numbers []uint64, older bool) {
		var a Audit
		if f := send(t, h, http.MethodGet, path, nil, &a); f != nil {
			t.Fatal(f)
		}
		for _, r := range a.Records {
			numbers = append(numbers, r.Number)
		}
		return numbers, a.Older
	}
	for _, tt := range []struct {
		path  string
		want  []uint64
		older bool
	}{
		{"/audit", []uint64{3, 2, 1}, false},
		{"/audit?limit=2", []uint64{3, 2}, true},
		{"/audit?before=3&limit=5", []uint64{2, 1}, false},
		{"/config/history", []uint64{3, 1}, false},
	} {
		got, older := numbers(tt.path)
		if diff := cmp.Diff(tt.want, got); diff != "" || older != tt.older {
			t.Errorf("%s: older %v, want %v %s", tt.path, older, tt.older, diff)
		}
	}
	if f := send(t, h, http.MethodGet, "/audit?limit=many", nil, new(Audit)); f == nil || f.Kind() != refuser.Malformed {
		t.Errorf("limit=many: %v, want a refusal", f)
	}
}
