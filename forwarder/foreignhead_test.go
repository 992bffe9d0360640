package forwarder

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// TestBodyOfAForeignAnswerIsNotTheAnswerToHEAD guards against calls that run twice: the
// copy of another call's answer has a body, which a HEAD request does not expect, and the
// body reads like a refusal of the HEAD request (a service that returns what it was sent).
func TestBodyOfAForeignAnswerIsNotTheAnswerToHEAD(t *testing.T) {
	const own = "id-1"
	h := newHarness(t, sealedResponse(http.StatusOK, idLine(own), ""))
	other := h.backends.start()
	first := sealedResponse(http.StatusOK, idLine("id-0"), refusalOf(503, own))
	s := &partsServer{answers: [][]string{{first}, {first + sealedResponse(http.StatusOK, idLine(own), "")}}}
	address := s.start(t)
	s.onRequest = func(n int) {
		if n > 0 {
			h.useAddresses(address, other)
		}
	}
	h.useAddresses(address)
	h.callAs(t, "id-0", http.MethodPost, "/look/0", "key", "x")
	res := h.callAs(t, own, http.MethodHead, "/file/1", "key", "")
	if n := len(h.backends.requests()); n != 0 || impliesNotRun(res.status) {
		t.Errorf("the call ran, was sent to another server %d times, and its caller got status %d", n, res.status)
	}
}

// TestLengthOfAForeignHEADAnswerHidesNoAnswer guards against calls that run twice: the copy
// of the answer to a HEAD request states a length and has no body, so that the head of the
// next answer is read as its body, and the body of that one as an answer.
func TestLengthOfAForeignHEADAnswerHidesNoAnswer(t *testing.T) {
	const own = "id-1"
	mine := sealedResponse(http.StatusOK, idLine(own), refusalOf(503, own))
	head := mine[:strings.Index(mine, "\r\n\r\n")+4]
	headAnswer := fmt.Sprintf("HTTP/1.1 200 X\r\n%s: s\r\n%sContent-Length: %d\r\n\r\n", testSeal, idLine("id-0"), len(head))
	h := newHarness(t, sealedResponse(http.StatusOK, idLine(own), "other"))
	other := h.backends.start()
	s := &partsServer{answers: [][]string{{headAnswer}, {headAnswer + mine}}}
	address := s.start(t)
	s.onRequest = func(n int) {
		if n > 0 {
			h.useAddresses(address, other)
		}
	}
	h.useAddresses(address)
	h.callAs(t, "id-0", http.MethodHead, "/look/0", "key", "")
	res := h.callAs(t, own, http.MethodPost, "/file/1", "key", "x")
	if n := len(h.backends.requests()); n != 0 || impliesNotRun(res.status) {
		t.Errorf("the call ran, was sent to another server %d times, and its caller got status %d", n, res.status)
	}
}
