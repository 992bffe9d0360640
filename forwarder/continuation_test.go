package forwarder

import (
	"net/http"
	"strings"
	"testing"
)

// TestBrokenStreamTakesNothingForeign guards against a begun stream in which the caller
// finds the response of the next backend server, an event twice, or an end that is none:
// the stream breaks off and the next server does not continue it.
func TestBrokenStreamTakesNothingForeign(t *testing.T) {
	const end = "0\r\n\r\n"
	undelimited := strings.Replace(streamHead, "Transfer-Encoding: chunked\r\n", "", 1)
	unsealed := strings.Replace(streamHead, testSeal+": s\r\n", "", 1)
	bare := func(s string) string { return "data: " + s + "\n\n" }
	first := streamHead + chunk(event(1)) + chunk("id: 2\nda") + closeAfter
	rest := streamHead + chunk(event(2)) + chunk(event(3)) + end
	whole := event(1) + event(2) + event(3)
	crlf := func(s string) string { return strings.ReplaceAll(s, "\n", "\r\n") }
	text := event(2) + "error" // The error of a server looks like an event.
	for _, tc := range []struct {
		name      string
		responses []string
		body      string
		complete  bool
	}{
		{"500", []string{first, sealedResponse(500, "", text), rest}, event(1), false},
		{"500 that breaks off", []string{first, strings.TrimSuffix(sealedResponse(500, "", text), "error") + closeAfter, rest}, event(1), false},
		{"500 before the stream", []string{sealedResponse(500, "", text), first, rest}, event(1), false},
		{"503", []string{first, sealedResponse(503, "", text), rest}, event(1), false},
		{"503, not run", []string{first, notRunResponse, rest}, whole, true},
		{"503, not run, until no server is left", []string{first, notRunResponse, notRunResponse}, event(1), false},
		{"429", []string{first, sealedResponse(429, "", text), rest}, event(1), false},
		{"429, not run", []string{first, sealedResponse(429, testNotRun+": 1\r\n", text), rest}, whole, true},
		{"421", []string{first, sealedResponse(421, "", text), rest}, whole, true},
		{"404", []string{first, sealedResponse(404, "", text), rest}, event(1), false},
		{"302", []string{first, sealedResponse(302, "Location: /\r\n", text), rest}, event(1), false},
		{"204", []string{first, "HTTP/1.1 204 X\r\n" + testSeal + ": s\r\n\r\n", rest}, event(1), false},
		{"a success that is no stream", []string{first, sealedResponse(200, "", text), rest}, event(1), false},
		{"a stream that is not sealed", []string{first, unsealed + chunk(event(2)) + chunk(event(3)) + end, rest}, event(1), false},
		{"another status with a stream", []string{first, strings.Replace(rest, "200", "206", 1)}, event(1), false},
		{"no response", []string{first, closeAfter, rest}, event(1), false},
		{"bytes that are no response", []string{first, text + closeAfter, rest}, event(1), false},
		{"a head that breaks off", []string{first, streamHead[:40] + closeAfter, rest}, event(1), false},
		{"a stream without event", []string{first, streamHead + end, rest}, event(1), false},
		{"a stream without event or length", []string{first, undelimited + closeAfter, rest}, event(1), false},
		{"a stream of comments", []string{first, streamHead + chunk(": wait\n\n") + end, rest}, event(1), false},
		{"a text that is no event", []string{first, streamHead + chunk("HTTP/1.1 500 X\r\n\r\nerror\n\n") + end, rest}, event(1), false},
		{"a comment before the rest", []string{first, streamHead + chunk(": wait\n\n") + chunk(": wait\n\n"+event(2)) + chunk(event(3)) + end}, whole, true},
		{"the stream from its start", []string{first, streamHead + chunk(event(1)) + chunk(event(2)) + chunk(event(3)) + end}, event(1), false},
		{"the stream from its start in one chunk", []string{first, streamHead + chunk(whole) + end}, event(1), false},
		{"the stream from its start after a comment", []string{first, streamHead + chunk(": wait\n\n") + chunk(whole) + end}, event(1), false},
		{"the stream from its start, ids of several digits", []string{
			strings.Replace(first, chunk(event(1)), chunk(event(10)), 1), streamHead + chunk(event(9)) + chunk(event(10)) + end,
		}, event(10), false},
		{"ids of several digits", []string{
			strings.Replace(first, chunk(event(1)), chunk(event(9)), 1), streamHead + chunk(event(10)) + end,
		}, event(9) + event(10), true},
		{"events without ids", []string{first, streamHead + chunk(bare("b")) + chunk(bare("c")) + end}, event(1), false},
		{"events without ids before and after", []string{streamHead + chunk(bare("a")) + closeAfter, streamHead + chunk(bare("a")) + chunk(bare("b")) + end}, bare("a"), false},
		{"a last event without id", []string{streamHead + chunk(event(1)) + chunk(bare("b")) + closeAfter, streamHead + chunk(event(2)) + end}, event(1) + bare("b"), false},
		{"a comment alone before the break", []string{streamHead + chunk(": wait\n\n") + closeAfter, streamHead + chunk(event(1)) + end}, ": wait\n\n" + event(1), true},
		{"a comment after the last event", []string{streamHead + chunk(event(1)+": wait\n\n") + closeAfter, rest}, event(1) + ": wait\n\n" + event(2) + event(3), true},
		{"lines that end with CR LF", []string{
			streamHead + chunk(crlf(event(1))) + closeAfter, streamHead + chunk(crlf(event(2))) + chunk(crlf(event(3))) + end,
		}, crlf(whole), true},
		{"lines that end with CR LF, from the start", []string{streamHead + chunk(crlf(event(1))) + closeAfter, streamHead + chunk(crlf(whole)) + end}, crlf(event(1)), false},
		{"the rest", []string{first, rest}, whole, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, tc.responses...)
			res := h.call(t, http.MethodPost, "/edit/1", "key", "prompt")
			if res.status != http.StatusOK || res.body != tc.body || res.complete != tc.complete {
				t.Errorf("the caller got status %d, complete %v, %q, want complete %v, %q", res.status, res.complete, res.body, tc.complete, tc.body)
			}
		})
	}
}

// TestCallerResumesAtTheEnd guards against a caller that has received all events of a
// stream without its end, and never gets an end: it resumes, and the rest is empty.
func TestCallerResumesAtTheEnd(t *testing.T) {
	h := newHarness(t, streamHead+chunk(event(1))+closeAfter, streamHead+"0\r\n\r\n", streamHead+"0\r\n\r\n")
	if res := h.call(t, http.MethodPost, "/edit/1", "key", "prompt"); res.body != event(1) || res.complete {
		t.Errorf("the first response is %+v", res)
	}
	h.lastEvent = "1"
	if res := h.call(t, http.MethodPost, "/edit/1", "key", "prompt"); res.status != http.StatusOK || res.body != "" || !res.complete {
		t.Errorf("the resumed response is %+v", res)
	}
}
