package forwarder

import (
	"net/http"
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
