package forwarder

import (
	"net/http"
	"testing"
	"time"
)

// TestRefusalCopyIsNotTheAnswerToTheNextSend guards against calls that run twice: a faulty
// server writes a refusal once more while the refused call is under way again on the same
// connection, so that the copy bears its id.
func TestRefusalCopyIsNotTheAnswerToTheNextSend(t *testing.T) {
	const id = "id-1"
	mine := sealedResponse(http.StatusOK, idLine(id), "mine")
	for _, tc := range []struct{ name, refusal string }{
		{"full", refusalOf(http.StatusServiceUnavailable, id)},
		{"over its limit", refusalOf(http.StatusTooManyRequests, id)},
		{"another server", misdirectedOf(id)},
	} {
		t.Run(tc.name+", listed twice at its address", func(t *testing.T) {
			h, address, s, other := newRefusingServer(t, tc.refusal, mine)
			s.onRequest = func(n int) {
				if n > 0 {
					h.useAddresses(address, address, other)
				}
			}
			h.useAddresses(address, address) // The entry of an ended server beside that of its successor.
			expectOneRun(t, h, s, h.callAs(t, id, http.MethodPost, "/file/1", "key", "x"))
		})
		t.Run(tc.name+", sent again by its caller", func(t *testing.T) {
			h, address, s, other := newRefusingServer(t, tc.refusal, mine)
			s.onRequest = func(n int) {
				if n > 0 {
					h.useAddresses(address, other)
				}
			}
			h.useAddresses(address)
			if res := h.callAs(t, id, http.MethodPost, "/file/1", "key", "x"); res.status != http.StatusServiceUnavailable {
				t.Fatalf("the first call got %+v", res)
			}
			expectOneRun(t, h, s, h.callAs(t, id, http.MethodPost, "/file/1", "key", "x"))
		})
	}
}

// newRefusingServer starts a server that refuses its first request. It answers the second
// one, with a copy of the refusal first if that comes on the connection of the refusal.
// Another server runs what it gets.
func newRefusingServer(t *testing.T, refusal, answer string) (h *harness, address string, s *partsServer, other string) {
	t.Helper()
	h = newHarness(t, sealedResponse(http.StatusOK, idLine("id-1"), "other"))
	s = &partsServer{answers: [][]string{{refusal}, {answer}}, copiesBefore: map[int]string{1: refusal}}
	return h, s.start(t), s, h.backends.start()
}

// expectOneRun checks that a call has run once, at the server that refused it first, and
// that its caller was not told otherwise.
func expectOneRun(t *testing.T, h *harness, s *partsServer, res response) {
	t.Helper()
	if res.status != http.StatusOK || res.body != "mine" {
		t.Errorf("the caller got %+v, want the answer of the server that ran the call", res)
	}
	if n := s.requests.Load(); n != 2 {
		t.Errorf("the server received %d requests, want the refused one and the one that ran", n)
	}
	if n := len(h.backends.requests()); n != 0 {
		t.Errorf("another server ran the call %d times as well", n)
	}
}

// TestRefusalsWithABodyKeepTheirConnection guards against a connection that is given up for
// each refusal of a busy server.
func TestRefusalsWithABodyKeepTheirConnection(t *testing.T) {
	refusal := func(id string) string {
		return "HTTP/1.1 503 X\r\n" + testNotRun + ": 1\r\n" + idLine(id) + "Content-Length: 5\r\n\r\nfull\n"
	}
	h := newHarness(t)
	s := &partsServer{answers: [][]string{{refusal("id-0")}, {refusal("id-1")}, {refusal("id-2")}}}
	address := s.start(t)
	for _, id := range []string{"id-0", "id-1", "id-2"} {
		h.useAddresses() // The server is listed anew, so that it is asked although it was full.
		h.useAddresses(address)
		h.callAs(t, id, http.MethodPost, "/file/1", "key", "x")
		time.Sleep(partPause)
	}
	if r, n := s.requests.Load(), s.opened.Load(); r != 3 || n != 1 {
		t.Errorf("%d requests took %d connections, want 3 on one", r, n)
	}
}
