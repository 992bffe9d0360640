package forwarder

import (
	"net/http"
	"strings"
	"testing"
)

// expectNoAnswer checks that a call whose server sends something that is no answer ends with
// 502 without anything of it.
func expectNoAnswer(t *testing.T, path, sent string) {
	t.Helper()
	h := newHarness(t, sent+closeAfter)
	res := h.call(t, http.MethodPost, path, "key", "x")
	if res.status != http.StatusBadGateway || res.header.Get(testSeal) != "" {
		t.Errorf("sent %q: the caller got status %d, header %v, body %q, want 502 without a seal", sent, res.status, res.header, res.body)
	}
}

// TestStatusThatIsNoneIsNoAnswer guards against an answer that no server gave: a status that HTTP
// does not have was taken for an interim one, and what followed it for the answer.
func TestStatusThatIsNoneIsNoAnswer(t *testing.T) {
	whole := sealedResponse(http.StatusOK, "", "inner")
	stream := streamHead + chunk(event(1)) + "0\r\n\r\n"
	for _, status := range []string{"000", "001", "099", "+20", "-20", "600", "999", "101"} {
		head := "HTTP/1.1 " + status + " X\r\n" + testSeal + ": s\r\n"
		t.Run(status, func(t *testing.T) {
			expectNoAnswer(t, "/file/1", head+"Content-Length: 0\r\n\r\n")
			expectNoAnswer(t, "/file/1", head+"\r\n"+whole)
			expectNoAnswer(t, "/open/1", head+"\r\n"+whole)
			expectNoAnswer(t, "/draft/1", head+"\r\n"+stream)
		})
	}
}

// TestHeadWithABadNameIsNoAnswer guards against an answer that the server did not give: a name of a
// field that holds a blank or a control byte was passed on, or hid the length of the body.
func TestHeadWithABadNameIsNoAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + testSeal + ": s\r\n"
	const typed = head + "Content-Type: text/event-stream\r\n"
	for _, tc := range []struct{ name, path, sent string }{
		{"blank before the colon", "/file/1", head + "X-Note : a\r\nContent-Length: 5\r\n\r\nwhole"},
		{"blank in a name", "/file/1", head + "X Note: a\r\nContent-Length: 5\r\n\r\nwhole"},
		{"tab before the colon", "/file/1", head + "X-Note\t: a\r\nContent-Length: 5\r\n\r\nwhole"},
		{"control byte", "/file/1", head + "X-\x01Note: a\r\nContent-Length: 5\r\n\r\nwhole"},
		{"zero byte", "/file/1", head + "X-Note\x00: a\r\nContent-Length: 5\r\n\r\nwhole"},
		{"delete", "/file/1", head + "X-Note\x7f: a\r\nContent-Length: 5\r\n\r\nwhole"},
		{"letter that is not ASCII", "/file/1", head + "X-Not\xc3\xa9: a\r\nContent-Length: 5\r\n\r\nwhole"},
		{"carriage return", "/file/1", head + "X-\rNote: a\r\nContent-Length: 5\r\n\r\nwhole"},
		{"no name", "/file/1", head + ": a\r\nContent-Length: 5\r\n\r\nwhole"},
		{"no colon", "/file/1", head + "X-Note\r\nContent-Length: 5\r\n\r\nwhole"},
		{"length, blank before the colon", "/file/1", head + "Content-Length : 5\r\n\r\nwhole and more"},
		{"length, blank before the name", "/file/1", head + "X-Note: a\r\n Content-Length: 5\r\n\r\nwhole and more"},
		{"length, tab before the name", "/file/1", head + "X-Note: a\r\n\tContent-Length: 5\r\n\r\nwhole and more"},
		{"blank before the first name", "/file/1", "HTTP/1.1 200 OK\r\n X-Note: a\r\n" + testSeal + ": s\r\nContent-Length: 5\r\n\r\nwhole"},
		{"chunks, blank before the colon", "/file/1", head + "Transfer-Encoding : chunked\r\n\r\n" + chunk("whole") + "0\r\n\r\n"},
		{"zero byte in a value", "/file/1", head + "X-Note: a\x00b\r\nContent-Length: 5\r\n\r\nwhole"},
		{"carriage return in a value", "/file/1", head + "X-Note: a\rb\r\nContent-Length: 5\r\n\r\nwhole"},
		{"stream", "/draft/1", typed + "X Note: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(event(1)) + "0\r\n\r\n"},
		{"stream that ends with its connection", "/draft/1", typed + "Content-Length : 5\r\n\r\n" + event(1)},
		{"refusal", "/file/1", "HTTP/1.1 503 X\r\n" + testNotRun + ": 1\r\nX Note: a\r\nContent-Length: 0\r\n\r\n"},
		{"not found", "/file/1", "HTTP/1.1 404 X\r\n" + testSeal + ": s\r\nX Note: a\r\nContent-Length: 0\r\n\r\n"},
		{"interim answer", "/file/1", "HTTP/1.1 103 X\r\nX Note: a\r\n\r\n" + sealedResponse(http.StatusOK, "", "whole")},
		{"head of many lines", "/file/1", head + strings.Repeat("X-Note: a\r\n", 2000) + "X Note: a\r\nContent-Length: 5\r\n\r\nwhole"},
	} {
		t.Run(tc.name, func(t *testing.T) { expectNoAnswer(t, tc.path, tc.sent) })
	}
}

// TestHeadsThatNetHTTPAccepts checks that unusual heads that are valid reach the caller.
func TestHeadsThatNetHTTPAccepts(t *testing.T) {
	for _, tc := range []struct{ name, sent string }{
		{"no reason", "HTTP/1.1 200\r\n" + testSeal + ": s\r\nContent-Length: 5\r\n\r\nwhole"},
		{"lines that end without a carriage return", "HTTP/1.1 200 OK\n" + testSeal + ": s\nContent-Length: 5\n\nwhole"},
		{"no blank after the colon", "HTTP/1.1 200 OK\r\n" + testSeal + ":s\r\nContent-Length:5\r\n\r\nwhole"},
		{"blanks around a value", "HTTP/1.1 200 OK\r\n" + testSeal + ":\t s \r\nContent-Length: 5 \r\n\r\nwhole"},
		{"signs in a name", "HTTP/1.1 200 OK\r\n" + testSeal + ": s\r\nX!#$%&'*+-.^_`|~9: a\r\nContent-Length: 5\r\n\r\nwhole"},
		{"no value", "HTTP/1.1 200 OK\r\n" + testSeal + ": s\r\nX-Note:\r\nContent-Length: 5\r\n\r\nwhole"},
		{"value that is not ASCII", "HTTP/1.1 200 OK\r\n" + testSeal + ": s\r\nX-Note: \xc3\xa9\r\nContent-Length: 5\r\n\r\nwhole"},
		{"large head", "HTTP/1.1 200 OK\r\n" + testSeal + ": s\r\n" + strings.Repeat("X-Note: a\r\n", 2000) + "Content-Length: 5\r\n\r\nwhole"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, tc.sent)
			if res := h.call(t, http.MethodPost, "/file/1", "key", "x"); res.status != http.StatusOK || res.body != "whole" || !res.complete {
				t.Errorf("the caller got %+v, want the whole answer", res)
			}
		})
	}
}
