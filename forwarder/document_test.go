package forwarder

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"testing"
	"time"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/matcher"
)

// tableWith returns the routing table of the harness with the given keys of
// the first customer, and with one more route.
func tableWith(t *testing.T, h *harness, added string, keys ...string) *matcher.Table {
	t.Helper()
	old := h.Table().Document()
	d := &describer.Document{Services: old.Services, Routes: append([]describer.Route(nil), old.Routes...)}
	d.Customers = append(d.Customers, old.Customers...)
	d.Customers[0].Keys = keys
	r := old.Routes[0]
	r.Name, r.Prefix = identifier.Route(added), "/"+added+"/"
	d.Routes = append(d.Routes, r)
	if err := d.Check(); err != nil {
		t.Fatal(err)
	}
	return matcher.NewTable(2, d)
}

// callDuring makes a call and runs during while the host has begun to read the
// call's body and has not received it.
func (h *harness) callDuring(t *testing.T, path, key string, during func()) int {
	t.Helper()
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{Got100Continue: during})
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, h.url+path, bytes.NewReader([]byte("x")))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(testID, "id-1")
	r.Header.Set(testKey, key)
	r.Header.Set("Expect", "100-continue")
	res, err := (&http.Transport{ExpectContinueTimeout: time.Minute}).RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// TestReturningHostUsesItsNewDocument checks a host that gets its lease and a
// newer document while it reads a call. The lease is not valid for the older
// document.
func TestReturningHostUsesItsNewDocument(t *testing.T) {
	for _, tc := range []struct {
		name, path, key string
		status, sent    int
	}{
		{"withdrawn key", "/file/1", "key", http.StatusUnauthorized, 0},
		{"added key", "/file/1", "new", http.StatusOK, 1},
		{"added route", "/added/1", "new", http.StatusOK, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, sealedResponse(http.StatusOK, "", "x"))
			newer := tableWith(t, h, "added", "new")
			h.isCurrent = false
			status := h.callDuring(t, tc.path, tc.key, func() {
				h.SetTable(newer)
				h.isCurrent = true
			})
			if sent := len(h.backends.requests()); status != tc.status || sent != tc.sent {
				t.Errorf("status %d after %d sends, want %d after %d", status, sent, tc.status, tc.sent)
			}
		})
	}
}

// TestKeyWithdrawnBeforeSendIsRefused checks a call whose key is withdrawn
// after its admission, while it waits for a permit.
func TestKeyWithdrawnBeforeSendIsRefused(t *testing.T) {
	limited := sealedResponse(http.StatusOK, testLimit+": 0.5\r\n", "x")
	h := newHarness(t, limited, limited)
	newer := tableWith(t, h, "added", "new")
	h.usePermits()
	h.useServers(1)
	h.call(t, http.MethodPost, "/file/1", "key", "x")
	grant, asked := h.opts.RequestPermits, 0
	h.opts.RequestPermits = func(ctx context.Context) {
		asked++
		h.SetTable(newer)
		grant(ctx)
	}
	res := h.call(t, http.MethodPost, "/file/1", "key", "x")
	if sent := len(h.backends.requests()) - 1; asked != 1 || res.status != http.StatusUnauthorized || sent != 0 {
		t.Errorf("status %d after %d requests for permits and %d sends, want 401 after one and none", res.status, asked, sent)
	}
}
