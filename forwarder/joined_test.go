package forwarder

import (
	"net/http"
	"strings"
	"testing"
)

// headOf returns the head of a refusal of an earlier call up to, without its line end, the
// line that says that nothing ran.
func headOf(status int) string {
	text := refusalOf(status, "id-0")
	end := strings.Index(text, testNotRun+": 1") + len(testNotRun+": 1")
	return text[:end]
}

// TestTruncatedCopyIsNotTheHeadOfTheAnswer guards against calls that run twice: a faulty
// server truncates the copy of an earlier refusal within its head, so that the answer of
// the running call goes on in the same head.
func TestTruncatedCopyIsNotTheHeadOfTheAnswer(t *testing.T) {
	const own = "id-1"
	sealed := sealedResponse(http.StatusOK, idLine(own), "mine")
	failure := "HTTP/1.1 500 X\r\n" + idLine(own) + "Content-Length: 6\r\n\r\nfailed"
	for _, tc := range []struct {
		name  string
		parts []string
	}{
		{"full, in one write", []string{headOf(503) + sealed}},
		{"full, in two parts", []string{headOf(503), sealed}},
		{"over its limit", []string{headOf(429), sealed}},
		{"another server, in the reason", []string{"HTTP/1.1 421 Mis" + sealed}},
		{"another server, within a line", []string{"HTTP/1.1 421 X\r\nServer: a" + sealed}},
		{"before a failure without a seal", []string{headOf(503), failure}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h, _ := newPartsHarness(t, own, []string{sealedResponse(http.StatusOK, idLine("id-0"), "first")}, tc.parts)
			h.callAs(t, "id-0", http.MethodPost, "/look/0", "key", "x")
			res := h.callAs(t, own, http.MethodPost, "/file/1", "key", "x")
			h.expectNoOtherRun(t, res)
		})
	}
}

// TestTruncatedFieldOutsideTheHeaderJoinsNoAnswer guards against calls that run twice: the
// copy of an earlier refusal is cut off in a field that net/http takes out of the header of
// a chunked answer.
func TestTruncatedFieldOutsideTheHeaderJoinsNoAnswer(t *testing.T) {
	const own = "id-1"
	chunked := "HTTP/1.1 200 X\r\n" + testSeal + ": s\r\n" + idLine(own) + "Transfer-Encoding: chunked\r\n\r\n" + chunk("mine") + "0\r\n\r\n"
	stream := streamHead[:len(streamHead)-2] + idLine(own) + "\r\n" + chunk(event(1)) + "0\r\n\r\n"
	for _, tc := range []struct{ name, path, cut, answer string }{
		{"trailer", "/file/1", "Trailer: a", chunked},
		{"trailer, a stream", "/draft/1", "Trailer: a", stream},
		{"length", "/file/1", "Content-Length: 0", chunked},
		{"length, a stream", "/draft/1", "Content-Length: 0", stream},
		{"no field", "/file/1", "Content-Length: 0\r\n", chunked},
		{"end of a line", "/file/1", "Content-Length: 0\r", chunked},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h, _ := newPartsHarness(t, own, []string{sealedResponse(http.StatusOK, idLine("id-0"), "first")}, []string{headOf(503) + "\r\n" + tc.cut + tc.answer})
			h.callAs(t, "id-0", http.MethodPost, "/look/0", "key", "x")
			res := h.callAs(t, own, http.MethodPost, tc.path, "key", "x")
			h.expectNoOtherRun(t, res)
		})
	}
}
