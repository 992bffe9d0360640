package forwarder

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestRetriesByKind simulates failures of backend servers and checks what the
// caller receives and how often the call is sent, for each kind of call.
func TestRetriesByKind(t *testing.T) {
	ok := sealedResponse(200, "", "done")
	bad := sealedResponse(500, "", "bad")
	cut := "HTTP/1.1 200 OK\r\n" + testSeal + ": s\r\nContent-Length: 100\r\n\r\nhalf" + closeAfter
	unsealed := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
	for _, tc := range []struct {
		name      string
		path      string
		responses []string
		status    int
		body      string
		sends     int
	}{
		{"a response is forwarded unchanged", "/file/1", []string{ok}, 200, "done", 1},
		{"a failure is forwarded unchanged", "/file/1", []string{bad}, 500, "bad", 1},
		{"a full server is skipped", "/file/1", []string{notRunResponse, ok}, 200, "done", 2},
		{"three full servers lead to a refusal", "/file/1", []string{notRunResponse, notRunResponse, notRunResponse}, 503, "", 3},
		{"a filing whose response is lost is not sent again", "/file/1", []string{closeAfter, ok}, 502, "", 1},
		{"a filing whose response is cut off is not sent again", "/file/1", []string{cut, ok}, 502, "", 1},
		{"a success without a seal is rejected", "/file/1", []string{unsealed}, 502, "", 1},
		{"503 without a not-run report becomes 502", "/file/1", []string{sealedResponse(503, "", "busy")}, 502, "", 1},
		{"a look-up is sent again after a failure", "/look/1", []string{bad, ok}, 200, "done", 2},
		{"a look-up is sent again after a response that is cut off", "/look/1", []string{cut, ok}, 200, "done", 2},
		{"the last failure of a look-up is forwarded", "/look/1", []string{bad, bad, ok}, 500, "bad", 2},
		{"an earlier failure is returned if no response follows", "/look/1", []string{bad, closeAfter, ok}, 500, "bad", 2},
		{"a response to another call is skipped", "/file/1", []string{sealedResponse(200, testID+": other\r\n", "theirs") + sealedResponse(200, testID+": id-1\r\n", "mine")}, 200, "mine", 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, tc.responses...)
			res := h.call(t, http.MethodPost, tc.path, "key", "body")
			if res.status != tc.status || tc.body != "" && res.body != tc.body || !res.complete {
				t.Errorf("the caller got %+v, want status %d with %q", res, tc.status, tc.body)
			}
			if n := len(h.backends.requests()); n != tc.sends {
				t.Errorf("the call was sent %d times, want %d", n, tc.sends)
			}
			if hasRetryAfter := res.header.Get("Retry-After") != ""; hasRetryAfter != (tc.status == 503) {
				t.Errorf("Retry-After present: %v", hasRetryAfter)
			}
		})
	}
}

// TestStreams checks streams that end, break off and are resumed.
func TestStreams(t *testing.T) {
	complete := streamHead + chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n"
	cut := streamHead + chunk(event(1)) + chunk("id: 2\nda") + closeAfter
	rest := streamHead + chunk(event(2)) + chunk(event(3)) + "0\r\n\r\n"
	restCut := streamHead + chunk(event(2)) + chunk("id: 3\nda") + closeAfter
	for _, tc := range []struct {
		name      string
		path      string
		responses []string
		body      string
		complete  bool
		after     []string // the event named in each attempt
	}{
		{"events are forwarded", "/draft/1", []string{complete}, event(1) + event(2), true, []string{""}},
		{"a broken draft does not look complete", "/draft/1", []string{cut, rest}, event(1), false, []string{""}},
		{"a broken edit resumes after the last event", "/edit/1", []string{cut, rest}, event(1) + event(2) + event(3), true, []string{"", "1"}},
		{"an edit that breaks twice does not look complete", "/edit/1", []string{cut, restCut}, event(1) + event(2), false, []string{"", "1"}},
		{"an edit that begins again does not look complete", "/edit/1", []string{cut, cut}, event(1), false, []string{"", "1"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, tc.responses...)
			res := h.call(t, http.MethodPost, tc.path, "key", "prompt")
			if res.status != 200 || res.body != tc.body || res.complete != tc.complete {
				t.Errorf("the caller got %+v, want %q, complete %v", res, tc.body, tc.complete)
			}
			var after []string
			for _, r := range h.backends.requests() {
				after = append(after, r.header.Get(testEvent))
			}
			if diff := cmp.Diff(tc.after, after); diff != "" {
				t.Errorf("attempts differ (-want +got):\n%s", diff)
			}
		})
	}
}

// TestUsage checks that a call counts once if it may have begun to run, however
// often it is sent. The failure appears when all backend servers answer a part
// of the calls with errors, so that a tenth of the calls are sent twice.
func TestUsage(t *testing.T) {
	ok, failed := sealedResponse(http.StatusOK, "", "x"), sealedResponse(http.StatusInternalServerError, "", "x")
	stream := streamHead + chunk(event(1)) + chunk(event(2))
	for _, tc := range []struct {
		name, path string
		responses  []string
		want       int64
	}{
		{"answered", "/file/1", []string{ok}, 1},
		{"an error", "/file/1", []string{failed}, 1},
		{"refused", "/file/1", []string{notRunResponse, notRunResponse, notRunResponse, notRunResponse}, 0},
		{"refused and sent again", "/look/1", []string{notRunResponse, ok}, 1},
		{"sent again after an error", "/look/1", []string{failed, ok}, 1},
		{"two errors", "/look/1", []string{failed, failed}, 1},
		{"no response", "/file/1", []string{closeAfter}, 1},
		{"no response, sent again", "/look/1", []string{closeAfter, ok}, 1},
		{"a stream without an event", "/draft/1", []string{closeAfter}, 0},
		{"a stream", "/draft/1", []string{stream + chunk("")}, 1},
		{"a stream that is resumed", "/edit/1", []string{stream + closeAfter, stream + chunk("")}, 1},
		{"a stream after an error", "/edit/1", []string{failed, stream + chunk("")}, 1},
	} {
		h := newHarness(t, tc.responses...)
		h.call(t, http.MethodPost, tc.path, "key", "x")
		var got int64
		for _, counts := range h.meter.Counts(time.Now()) {
			got += counts["foodbank"]
		}
		if got != tc.want {
			t.Errorf("%s: %d calls are counted, want %d", tc.name, got, tc.want)
		}
	}
}

// TestUsageOfLeavingCaller checks that a call counts if its caller gives up
// while a backend server is working on it, as happens with callers that leave
// after half of their time-out.
func TestUsageOfLeavingCaller(t *testing.T) {
	release := make(chan struct{})
	h := newHarness(t, sealedResponse(http.StatusOK, "", "x"))
	h.backends.hold = release
	ctx, leave := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, h.url+"/file/1", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(testID, "id-1")
	r.Header.Set(testKey, "key")
	go func() {
		for len(h.backends.requests()) == 0 {
			time.Sleep(time.Millisecond)
		}
		leave()
	}()
	if _, err := http.DefaultTransport.RoundTrip(r); err == nil {
		t.Error("the call got a response")
	}
	counted := func() int64 {
		var n int64
		for _, counts := range h.meter.Counts(time.Now()) {
			n += counts["foodbank"]
		}
		return n
	}
	for range 5000 {
		if counted() == 1 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if n := counted(); n != 1 {
		t.Errorf("%d calls are counted, want 1", n)
	}
	close(release)
}

func TestCallsPassUnchanged(t *testing.T) {
	h := newHarness(t, sealedResponse(201, "X-Own: yes\r\nKeep-Alive: timeout=5\r\n", "done"))
	const target = "/file//a%2Fb?x=1&y=%20"
	body := strings.Repeat("0123456789", 5000)
	res := h.call(t, http.MethodPut, target, "key", body)
	if res.status != 201 || res.header.Get("X-Own") != "yes" || res.header.Get("Keep-Alive") != "" {
		t.Errorf("the caller got %d with %v", res.status, res.header)
	}
	got := h.backends.requests()
	if len(got) != 1 || got[0].method != http.MethodPut || got[0].target != target || got[0].body != body {
		t.Errorf("the backend server got another call: %d requests", len(got))
	}
}

// TestEarlyResponse has a backend server respond before it has read a long body,
// and continue reading afterwards. The next call on the connection must not be
// mixed up with the rest of that body.
func TestEarlyResponse(t *testing.T) {
	h := newHarness(t, earlyResponse+sealedResponse(413, "", "too long"), sealedResponse(200, "", "done"))
	body := strings.Repeat("x", 4<<20-1)
	if res := h.call(t, http.MethodPost, "/file/1", "key", body); res.status != 413 {
		t.Fatalf("the caller got %d, want the early response", res.status)
	}
	if res := h.call(t, http.MethodPost, "/file/2", "key", "short"); res.status != 200 {
		t.Fatalf("the next caller got %d", res.status)
	}
	for _, r := range h.backends.requests() {
		if r.target == "/file/2" && r.body != "short" {
			t.Errorf("the second call arrived with a body of %d bytes", len(r.body))
		}
	}
}

// TestRefusals checks which calls are refused before anything is sent.
func TestRefusals(t *testing.T) {
	for _, tc := range []struct {
		name, path, key string
		stale           bool
		status          int
	}{
		{"unknown route", "/none/1", "key", false, 404},
		{"unknown key", "/file/1", "wrong", false, 401},
		{"no key", "/file/1", "", false, 401},
		{"a host that may have missed a withdrawal", "/file/1", "key", true, 503},
		{"an unknown route at such a host", "/none/1", "key", true, 503},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			h.isCurrent = !tc.stale
			if res := h.call(t, http.MethodPost, tc.path, tc.key, ""); res.status != tc.status {
				t.Errorf("the caller got %d, want %d", res.status, tc.status)
			}
			if n := len(h.backends.requests()); n != 0 {
				t.Errorf("%d calls were sent", n)
			}
		})
	}
}

func TestAnonymousCallsPassOnStaleHost(t *testing.T) {
	h := newHarness(t, sealedResponse(200, "", "done"))
	h.isCurrent = false
	if res := h.call(t, http.MethodGet, "/open/1", "", ""); res.status != 200 {
		t.Errorf("the caller got %d", res.status)
	}
}

func TestRateLimitExceeded(t *testing.T) {
	h := newHarness(t, sealedResponse(200, "", "done"))
	h.opts.Limiter.SetGrants(grantOf("choir", 1))
	var statuses []int
	for range 2 {
		statuses = append(statuses, h.call(t, http.MethodPost, "/file/1", "low", "").status)
	}
	if diff := cmp.Diff([]int{200, 429}, statuses); diff != "" {
		t.Errorf("statuses differ (-want +got):\n%s", diff)
	}
}

// TestCallsAwaitCurrentDocument checks that a host that has just started holds
// calls until Current is first true, and refuses them immediately once
// startupWait is over.
func TestCallsAwaitCurrentDocument(t *testing.T) {
	h := newHarness(t, sealedResponse(http.StatusOK, "", "x"))
	current := make(chan struct{})
	h.opts.BecameCurrent = current
	h.started = time.Now().Add(time.Hour) // The wait does not expire during the test.
	answered := make(chan response, 1)
	go func() { answered <- h.call(t, http.MethodPost, "/file/1", "key", "x") }()
	select {
	case current <- struct{}{}:
		if res := <-answered; res.status != http.StatusOK {
			t.Errorf("a call held until Current is true gets %d", res.status)
		}
	case res := <-answered:
		t.Errorf("a call is answered with %d before Current is true", res.status)
	}

	h.isCurrent = false
	h.opts.BecameCurrent = make(chan struct{})
	h.started = time.Now().Add(-startupWait)
	if res := h.call(t, http.MethodPost, "/file/1", "key", "x"); res.status != http.StatusServiceUnavailable {
		t.Errorf("a call to a host that is still not current after startupWait gets %d", res.status)
	}
}
