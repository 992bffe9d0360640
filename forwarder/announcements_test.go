package forwarder

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/permitter"
)

// TestLimitChangesAreLogged checks that there is a line for each change of an
// announced limit, and one in all for limits that cannot be read.
func TestLimitChangesAreLogged(t *testing.T) {
	var responses []string
	for _, limit := range []string{"", "1.5", "1.5", "x", "x", "2", ""} {
		header := ""
		if limit != "" {
			header = testLimit + ": " + limit + "\r\n"
		}
		responses = append(responses, sealedResponse(http.StatusOK, header, "done"))
	}
	h := newHarness(t, responses...)
	clock := h.usePermits()
	h.useServers(1)
	var log bytes.Buffer
	h.opts.Log = slog.New(slog.NewTextHandler(&log, nil))
	for range responses {
		h.call(t, http.MethodGet, "/look/1", "key", "")
		clock.Advance(time.Second)
	}
	var got []string
	for line := range strings.Lines(log.String()) {
		if m := regexp.MustCompile(`msg="((?:request limit|announcement) of a backend server .*)" id=id-1 server=b0(.*)\n`).FindStringSubmatch(line); m != nil {
			got = append(got, m[1]+m[2])
		}
	}
	want := []string{
		"request limit of a backend server changed before=none perSecond=1.5",
		"announcement of a backend server cannot be read, what is known stands announcement=limit",
		"request limit of a backend server changed before=1.5 perSecond=2",
		"request limit of a backend server changed before=2 perSecond=none",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("lines differ (-want +got):\n%s", diff)
	}
}

// TestCallIsRefusedAtOnceWithoutPermits checks a call that only servers with
// used-up limits can take: it asks for a permit once, and is refused at once and
// not sent, with the time after which it may come back.
func TestCallIsRefusedAtOnceWithoutPermits(t *testing.T) {
	const wait = 3 * time.Second
	h := newHarness(t, sealedResponse(http.StatusOK, testLimit+": 0.5\r\n", "done"))
	clock := h.usePermits()
	h.useServers(1)
	h.call(t, http.MethodGet, "/look/1", "key", "")
	asked := 0
	h.opts.RequestPermits = func(context.Context) {
		asked++
		g := permitter.Grant{ID: 1, Servers: make(map[identifier.ServerRun]permitter.ServerGrant)}
		for s, sr := range h.opts.Placer.PermitReport().Servers {
			g.Servers[s] = permitter.ServerGrant{Notice: *sr.Notice, Wait: wait}
		}
		h.opts.Placer.SetFleet(permitter.Fleet{Hosts: 1, SyncPeriod: time.Second})
		h.opts.Placer.ApplyPermits(g)
	}
	for range 3 {
		res := h.call(t, http.MethodPost, "/file/1", "key", "")
		after, err := time.ParseDuration(res.header.Get("Retry-After"))
		if res.status != http.StatusServiceUnavailable || err != nil || after < wait || after > wait+retryAfterJitter {
			t.Errorf("status %d, Retry-After %v (error %v), want 503 and %v or a little more", res.status, after, err, wait)
		}
	}
	if asked != 1 {
		t.Errorf("the leader was asked %d times, want once in a sync period", asked)
	}
	if n := len(h.backends.requests()); n != 1 {
		t.Errorf("the server got %d requests, want 1", n)
	}
	clock.Advance(time.Second)
	h.call(t, http.MethodPost, "/file/1", "key", "")
	if asked != 2 {
		t.Errorf("the leader was asked %d times, want twice after a sync period", asked)
	}
}

// TestAllServersWantNoCalls checks a service whose servers all turn calls away
// and ask for a pause: the next call reaches none of them, and is refused at once
// with the time at which the first one takes calls again.
func TestAllServersWantNoCalls(t *testing.T) {
	const pause = 4 * time.Second
	full := "HTTP/1.1 503 X\r\n" + testNotRun + ": 1\r\n" + testPause + ": 4s\r\nContent-Length: 0\r\n\r\n"
	h := newHarness(t, full, full, full)
	for range 2 {
		res := h.call(t, http.MethodPost, "/file/1", "key", "")
		after, err := time.ParseDuration(res.header.Get("Retry-After"))
		if res.status != http.StatusServiceUnavailable || err != nil || after < pause-time.Second || after > 2*pause {
			t.Errorf("status %d, Retry-After %v (error %v), want 503 and about %v", res.status, after, err, pause)
		}
	}
	if n := len(h.backends.requests()); n != 3 {
		t.Errorf("the servers got %d requests, want one each", n)
	}
}

// TestLeavingServerGetsNoFurtherCalls checks that a server that announces in an
// answer that it leaves gets no further call, though the list says nothing yet.
func TestLeavingServerGetsNoFurtherCalls(t *testing.T) {
	leaving := sealedResponse(http.StatusOK, testLeaving+": 1\r\n", "done")
	h := newHarness(t, leaving, leaving, leaving)
	for i := range 4 {
		want := http.StatusOK
		if i == 3 {
			want = http.StatusServiceUnavailable
		}
		if res := h.call(t, http.MethodPost, "/file/1", "key", ""); res.status != want {
			t.Errorf("call %d: status %d, want %d", i+1, res.status, want)
		}
	}
	seen := make(map[string]bool)
	for _, r := range h.backends.requests() {
		seen[r.header.Get(testServer)] = true
	}
	if len(seen) != 3 {
		t.Errorf("the calls reached %d servers, want each once", len(seen))
	}
}
