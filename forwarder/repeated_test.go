package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// partPause is the pause between two parts of what a partsServer writes.
const partPause = 10 * time.Millisecond

// partsServer is a backend server that answers its nth request with the nth list of
// parts, and writes each part by itself. It keeps its connections open.
type partsServer struct {
	answers [][]string
	// copiesBefore holds copies of earlier answers. One is written before the nth answer,
	// if that goes to a connection on which an earlier request came.
	copiesBefore map[int]string
	// onRequest is called before the nth request is answered, counted from 0.
	onRequest        func(n int)
	requests, opened atomic.Int64
}

// start starts the server and returns its address.
func (s *partsServer) start(t *testing.T) string {
	t.Helper()
	return listen(t, func(c net.Conn) {
		s.opened.Add(1)
		s.serve(c)
	})
}

// serve answers the requests of one connection.
func (s *partsServer) serve(c net.Conn) {
	br := bufio.NewReader(c)
	for isFirst := true; ; isFirst = false {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		n := int(s.requests.Add(1)) - 1
		if s.onRequest != nil {
			s.onRequest(n)
		}
		if !isFirst {
			_, _ = io.WriteString(c, s.copiesBefore[n])
		}
		for i, part := range s.answers[n] {
			if i > 0 {
				time.Sleep(partPause)
			}
			_, _ = io.WriteString(c, part)
		}
	}
}

// newPartsHarness returns a host that lists a partsServer with the given answers alone, and
// from its second request on another server as well, which runs what it gets.
func newPartsHarness(t *testing.T, id string, answers ...[]string) (*harness, *partsServer) {
	t.Helper()
	h := newHarness(t, sealedResponse(http.StatusOK, idLine(id), "other"))
	other := h.backends.start()
	s := &partsServer{answers: answers}
	address := s.start(t)
	s.onRequest = func(n int) {
		if n > 0 {
			h.useAddresses(address, other) // The other comes once this one has the call.
		}
	}
	h.useAddresses(address)
	return h, s
}

// expectNoOtherRun checks that a call that ran at its server ran at no other, and that its
// caller was not told that it had not run.
func (h *harness) expectNoOtherRun(t *testing.T, res response) {
	t.Helper()
	if n := len(h.backends.requests()); n != 0 || impliesNotRun(res.status) {
		t.Errorf("the call ran, was sent to another server %d times, and its caller got status %d", n, res.status)
	}
}

// idLine returns the header line of an id; it is empty without one.
func idLine(id string) string {
	if id == "" {
		return ""
	}
	return testID + ": " + id + "\r\n"
}

// refusalOf returns the refusal of the call with an id.
func refusalOf(status int, id string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%s: 1\r\n%sContent-Length: 0\r\n\r\n", status, testNotRun, idLine(id))
}

// misdirectedOf returns a 421 without a report, for the call with an id.
func misdirectedOf(id string) string {
	return "HTTP/1.1 421 X\r\n" + idLine(id) + "Content-Length: 0\r\n\r\n"
}

// TestRepeatedRefusalIsNotTheCallsOwn guards against callers that are told "not run" for
// a call that runs, and against such a call at a second backend server: a faulty server
// writes an earlier response once more on a connection that is used again.
func TestRepeatedRefusalIsNotTheCallsOwn(t *testing.T) {
	const earlier, own = "id-0", "id-1"
	first := sealedResponse(http.StatusOK, idLine(earlier), "first")
	mine := sealedResponse(http.StatusOK, idLine(own), "mine")
	bare, bareFirst, bareMine := refusalOf(503, ""), sealedResponse(http.StatusOK, "", "first"), sealedResponse(http.StatusOK, "", "mine")
	interim := "HTTP/1.1 102 X\r\n" + idLine(earlier) + "\r\n"
	health := "HTTP/1.1 200 OK\r\n" + testServer + ": b0\r\nContent-Length: 0\r\n\r\n"
	stream := streamHead[:len(streamHead)-2] + idLine(own) + "\r\n" + chunk(event(1)) + "0\r\n\r\n"
	for _, tc := range []struct {
		name, path    string
		first, second []string // the server's answers to the earlier call and to the call
		status        int
		body          string
		others        int // how often another server receives the call
	}{
		{"id of the earlier call", "/file/1", []string{first}, []string{refusalOf(503, earlier), mine}, 200, "mine", 0},
		{"id of the earlier call, in one write", "/file/1", []string{first}, []string{refusalOf(503, earlier) + mine}, 200, "mine", 0},
		{"id of the earlier call, in two parts", "/file/1", []string{first}, []string{refusalOf(503, earlier)[:30], refusalOf(503, earlier)[30:], mine}, 200, "mine", 0},
		{"id of the earlier call, 429", "/file/1", []string{first}, []string{refusalOf(429, earlier), mine}, 200, "mine", 0},
		{"id of the earlier call, 421", "/file/1", []string{first}, []string{misdirectedOf(earlier), mine}, 200, "mine", 0},
		{"interim responses as well", "/file/1", []string{first}, []string{interim + interim, refusalOf(503, earlier), interim + mine}, 200, "mine", 0},
		{"no id", "/file/1", []string{first}, []string{bare, mine}, 502, "", 0},
		{"no id, in one write", "/file/1", []string{first}, []string{bare + mine}, 502, "", 0},
		{"no id, in two parts", "/file/1", []string{first}, []string{bare[:30], bare[30:], mine}, 502, "", 0},
		{"no id, 400", "/file/1", []string{first}, []string{refusalOf(400, ""), mine}, 502, "", 0},
		{"no id, 421", "/file/1", []string{first}, []string{misdirectedOf(""), mine}, 502, "", 0},
		{"no id after one with that of the earlier call", "/file/1", []string{first}, []string{refusalOf(503, earlier) + bare, mine}, 502, "", 0},
		{"no id, a stream", "/draft/1", []string{first}, []string{bare, stream}, 502, "", 0},
		{"no id, a call that may repeat", "/look/1", []string{first}, []string{bare, mine}, 200, "other", 1},
		{"no id, a stream that may resume", "/edit/1", []string{first}, []string{bare, stream}, 200, "other", 1},
		{"an answer without id", "/file/1", []string{first}, []string{bareFirst + mine}, 502, "", 0},
		{"an answer without id, a call that may repeat", "/look/1", []string{first}, []string{bareFirst + mine}, 200, "other", 1},
		{"the answer to a health check", "/file/1", []string{first}, []string{health + mine}, 502, "", 0},
		{"before the call", "/file/1", []string{first, bare}, []string{mine}, 200, "mine", 0},
		{"a server without ids", "/file/1", []string{bareFirst}, []string{bareMine}, 200, "mine", 0},
		{"a server without ids, before the call", "/file/1", []string{bareFirst, bare}, []string{bareMine}, 200, "mine", 0},
		{"the refusal of the call", "/file/1", []string{first}, []string{refusalOf(503, own)}, 200, "other", 1},
		{"the refusal of the call, 421", "/file/1", []string{first}, []string{misdirectedOf(own)}, 200, "other", 1},
		{"the refusal of the call after that of the earlier", "/file/1", []string{first}, []string{refusalOf(503, earlier), refusalOf(503, own)}, 200, "other", 1},
		{"the refusal of a server without ids", "/file/1", []string{bareFirst}, []string{bare}, 200, "other", 1},
		{"the refusal of a server without ids, 421", "/file/1", []string{bareFirst}, []string{misdirectedOf("")}, 200, "other", 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			h, _ := newPartsHarness(t, own, tc.first, tc.second)
			if res := h.callAs(t, earlier, http.MethodPost, "/look/0", "key", "x"); res.status != http.StatusOK {
				t.Fatalf("the earlier call got %+v", res)
			}
			time.Sleep(2 * partPause) // For what comes before the call.
			res := h.callAs(t, own, http.MethodPost, tc.path, "key", "x")
			if res.status != tc.status || tc.body != "" && res.body != tc.body {
				t.Errorf("the caller got %+v, want status %d with %q", res, tc.status, tc.body)
			}
			if n := len(h.backends.requests()); n != tc.others {
				t.Errorf("another server received the call %d times, want %d", n, tc.others)
			}
		})
	}
}

// TestRepeatedRefusalDoesNotRefuseLastServer guards against the status "not run" for a
// call that runs: the repeated refusal comes from the only server.
func TestRepeatedRefusalDoesNotRefuseLastServer(t *testing.T) {
	for _, repeated := range []string{refusalOf(503, ""), refusalOf(429, ""), misdirectedOf("")} {
		h := newHarness(t)
		s := &partsServer{answers: [][]string{
			{sealedResponse(http.StatusOK, idLine("id-0"), "first")}, {repeated, sealedResponse(http.StatusOK, idLine("id-1"), "mine")},
		}}
		h.useAddresses(s.start(t))
		h.callAs(t, "id-0", http.MethodPost, "/file/1", "key", "x")
		if res := h.callAs(t, "id-1", http.MethodPost, "/file/1", "key", "x"); res.status != http.StatusBadGateway {
			t.Errorf("the caller got %+v, want status 502", res)
		}
		if n := s.requests.Load(); n != 2 {
			t.Errorf("the server received %d requests, want 2", n)
		}
	}
}

// TestCallWithoutIDGetsItsAnswer guards against calls without an id that end with 502 on a
// connection whose earlier responses bore ids.
func TestCallWithoutIDGetsItsAnswer(t *testing.T) {
	for _, path := range []string{"/look/1", "/file/1"} {
		h := newHarness(t, sealedResponse(http.StatusOK, idLine("id-1"), "first"), sealedResponse(http.StatusOK, "", "mine"))
		h.useServers(1)
		h.call(t, http.MethodPost, path, "key", "x")
		if res := h.callAs(t, "", http.MethodPost, path, "key", "x"); res.status != http.StatusOK || res.body != "mine" {
			t.Errorf("%s: the caller got %+v", path, res)
		}
	}
}

// TestRefusalsWithoutIDStayRefusals guards against calls that end with 502 since their
// full server gives ids in its answers and none in its refusals: calls that may run once
// get a connection of their own there, so that its refusals are known to be theirs.
func TestRefusalsWithoutIDStayRefusals(t *testing.T) {
	for _, tc := range []struct{ name, id string }{{"a call with an id", "id-2"}, {"a call without an id", ""}} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, sealedResponse(http.StatusOK, idLine(tc.id), "other"))
			other := h.backends.start()
			bare := refusalOf(503, "")
			answer := func(id string) []string { return []string{sealedResponse(http.StatusOK, idLine(id), "x")} }
			s := &partsServer{answers: [][]string{answer("id-0"), {bare}, answer("id-1"), {bare}}}
			address := s.start(t)
			s.onRequest = func(n int) {
				if n == 3 {
					h.useAddresses(address, other)
				}
			}
			h.useAddresses(address)
			h.callAs(t, "id-0", http.MethodPost, "/look/1", "key", "x")
			h.callAs(t, "id-3", http.MethodPost, "/look/1", "key", "x")
			for deadline := time.Now().Add(5 * time.Second); s.requests.Load() < 3 && time.Now().Before(deadline); {
				h.callAs(t, "id-1", http.MethodPost, "/look/1", "key", "x") // Until the server takes calls again.
			}
			res := h.callAs(t, tc.id, http.MethodPost, "/file/1", "key", "x")
			if res.status != http.StatusOK || res.body != "other" {
				t.Errorf("the caller got %+v", res)
			}
			if n := s.opened.Load(); n != 3 {
				t.Errorf("%d connections were opened, want 3: only refusals without id use up one", n)
			}
			if h.useAddresses(other); h.unidentified.has(address) {
				t.Error("the host remembers a server that is not listed")
			}
		})
	}
}
