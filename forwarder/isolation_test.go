package forwarder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/isolator"
)

// isolated returns a book in which the part "bad" is isolated.
func isolated(probes int, host identifier.Host) isolator.Book {
	return isolator.Book{Sequence: uint64(probes + 1), Isolations: []isolator.Isolation{
		{Key: isolator.Key{Service: "cases", Part: "bad"}, Probes: probes, ProbeHost: host},
	}}
}

// useClosingServer lists one server alone, which stops listening when it answers its
// only request.
func (h *harness) useClosingServer(t *testing.T, answer string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		c, err := ln.Accept()
		_ = ln.Close()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, strings.TrimSuffix(answer, closeAfter))
		}
	}()
	h.useAddresses(ln.Addr().String())
}

// TestIsolatedCallsAreRefused checks which calls are refused once a part is isolated.
// The last part of a prompt is never the one.
func TestIsolatedCallsAreRefused(t *testing.T) {
	for _, tc := range []struct {
		parts  string
		status int
	}{
		{"first bad own", http.StatusBadRequest},
		{"bad own", http.StatusBadRequest},
		{"first other own", http.StatusOK},
		{"first bad", http.StatusOK},
		{"bad", http.StatusOK},
		{"", http.StatusOK},
	} {
		h := newHarness(t, sealedResponse(http.StatusOK, "", "x"))
		h.opts.Isolation.Apply(isolated(0, ""))
		h.parts = tc.parts
		res := h.call(t, http.MethodPost, "/file/1", "key", "x")
		sent := len(h.backends.requests())
		if res.status != tc.status || res.header.Get("Retry-After") != "" || (sent > 0) != (tc.status == http.StatusOK) {
			t.Errorf("prompt %q: status %d, Retry-After %q, %d sends", tc.parts, res.status, res.header.Get("Retry-After"), sent)
		}
	}
}

// TestOneCallPassesAsProbe checks that a host lets one call through when it is allowed
// to, and no other host does.
func TestOneCallPassesAsProbe(t *testing.T) {
	ok := sealedResponse(http.StatusOK, "", "x")
	for _, tc := range []struct {
		host identifier.Host
		want []int
	}{
		{"", []int{http.StatusBadRequest, http.StatusOK, http.StatusBadRequest}},
		{"other", []int{http.StatusBadRequest, http.StatusBadRequest, http.StatusBadRequest}},
	} {
		h := newHarness(t, ok)
		h.parts = "first bad own"
		h.opts.Isolation.Apply(isolated(0, ""))
		got := []int{h.call(t, http.MethodPost, "/file/1", "key", "x").status}
		h.opts.Isolation.Apply(isolated(1, tc.host))
		for range 2 {
			got = append(got, h.call(t, http.MethodPost, "/file/1", "key", "x").status)
		}
		if diff := cmp.Diff(tc.want, got); diff != "" {
			t.Errorf("probe of host %q: statuses differ (-want +got):\n%s", tc.host, diff)
		}
	}
}

// TestWaitingCallEndsWhenIsolated checks a call that waits for its answer when a part
// of its prompt is isolated.
func TestWaitingCallEndsWhenIsolated(t *testing.T) {
	h := newHarness(t, sealedResponse(http.StatusOK, "", "x"))
	h.backends.hold = make(chan struct{})
	t.Cleanup(func() { close(h.backends.hold) })
	h.parts = "first bad own"
	answered := make(chan int)
	go func() { answered <- h.call(t, http.MethodPost, "/look/1", "key", "x").status }()
	for len(h.backends.requests()) == 0 {
		time.Sleep(time.Millisecond)
	}
	h.opts.Isolation.Apply(isolated(0, ""))
	if status := <-answered; status != http.StatusBadGateway {
		t.Errorf("status %d, want 502", status)
	}
	if n := len(h.backends.requests()); n != 1 {
		t.Errorf("%d sends, want 1", n)
	}
}

// TestEvidenceOfCalls checks what a host reports of calls that broke or survived.
func TestEvidenceOfCalls(t *testing.T) {
	cut := streamHead + chunk(event(1)) + closeAfter
	for _, tc := range []struct {
		name, path, answer, parts string
		listens                   bool
		suspects                  map[identifier.PartID]int // of the reported end
		survived                  bool
	}{
		{"server ends while it answers", "/draft/1", cut, "first own", false, map[identifier.PartID]int{"first": 0, "request": 1}, false},
		{"connection breaks and the server listens", "/draft/1", cut, "first own", true, nil, false},
		{"prompt without shared parts", "/draft/1", cut, "own", false, map[identifier.PartID]int{"request": 0}, false},
		{"call without a prompt", "/look/1", closeAfter, "", false, map[identifier.PartID]int{"request": 0}, false},
		{"complete stream", "/draft/1", streamHead + chunk(event(1)) + "0\r\n\r\n", "first own", true, nil, true},
		{"complete answer", "/file/1", sealedResponse(http.StatusOK, "", "x"), "first own", true, nil, true},
		{"complete stream without a length", "/draft/1", undelimitedStream + event(1) + closeAfter, "first own", true, nil, true},
		{"complete answer without a length", "/file/1", undelimitedBody + "x" + closeAfter, "first own", true, nil, true},
		{"failure without a length", "/file/1", strings.Replace(undelimitedBody, "200", "500", 1) + "x" + closeAfter, "first own", true, nil, false},
		{"failure", "/file/1", sealedResponse(http.StatusInternalServerError, "", "x"), "first own", true, nil, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, tc.answer)
			confirmed := make(chan struct{}, 1)
			h.opts.EndConfirmed = func() { confirmed <- struct{}{} }
			if !tc.listens {
				h.useClosingServer(t, tc.answer)
			}
			h.parts = tc.parts
			h.call(t, http.MethodPost, tc.path, "key", "x")
			if tc.suspects != nil {
				<-confirmed
			}
			h.opts.Isolation.SetSuspects([]isolator.Key{{Service: "cases", Part: "first"}})
			r, _ := h.opts.Isolation.Report()
			survived := len(r.Survivals) > 0
			if hasEnded := tc.suspects != nil; hasEnded != (len(r.Ends) == 1) || survived != tc.survived {
				t.Errorf("%d ends, survived %v, want an end %v and %v", len(r.Ends), survived, hasEnded, tc.survived)
			}
			for _, e := range r.Ends {
				if diff := cmp.Diff(tc.suspects, withoutFingerprints(e.Suspects)); diff != "" {
					t.Errorf("suspects differ (-want +got):\n%s", diff)
				}
			}
		})
	}
}

// withoutFingerprints returns suspects with "request" for those that stand for the
// whole request of the customer.
func withoutFingerprints(suspects map[identifier.PartID]int) map[identifier.PartID]int {
	out := make(map[identifier.PartID]int)
	for id, position := range suspects {
		if strings.HasPrefix(string(id), "request:foodbank-") {
			id = "request"
		}
		out[id] = position
	}
	return out
}

// TestFingerprintOfRequests checks which calls count as the same request.
func TestFingerprintOfRequests(t *testing.T) {
	same := call{method: "GET", host: "h", target: "/a?b", body: oneChunk("x")}
	want := same.fingerprint("c")
	for _, tc := range []struct {
		name     string
		call     call
		customer identifier.Customer
		isSame   bool
	}{
		{"repetition", call{method: "GET", host: "h", target: "/a?b", body: oneChunk("x")}, "c", true},
		{"customer", same, "d", false},
		{"method", call{method: "PUT", host: "h", target: "/a?b", body: oneChunk("x")}, "c", false},
		{"query", call{method: "GET", host: "h", target: "/a?c", body: oneChunk("x")}, "c", false},
		{"body", call{method: "GET", host: "h", target: "/a?b", body: oneChunk("y")}, "c", false},
		{"border of path and body", call{method: "GET", host: "h", target: "/a?bx"}, "c", false},
	} {
		if got := tc.call.fingerprint(tc.customer) == want; got != tc.isSame {
			t.Errorf("%s: same request %v, want %v", tc.name, got, tc.isSame)
		}
	}
}
