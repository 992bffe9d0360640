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
	first := sealedResponse(http.StatusOK, idLine("id-0"), refusalOf(503, own))
	h, _ := newPartsHarness(t, own, []string{first}, []string{first + sealedResponse(http.StatusOK, idLine(own), "")})
	h.callAs(t, "id-0", http.MethodPost, "/look/0", "key", "x")
	res := h.callAs(t, own, http.MethodHead, "/file/1", "key", "")
	h.expectNoOtherRun(t, res)
}

// TestLengthOfAForeignHEADAnswerHidesNoAnswer guards against calls that run twice: the copy
// of the answer to a HEAD request states a length and has no body, so that the head of the
// next answer is read as its body, and the body of that one as an answer.
func TestLengthOfAForeignHEADAnswerHidesNoAnswer(t *testing.T) {
	const own = "id-1"
	mine := sealedResponse(http.StatusOK, idLine(own), refusalOf(503, own))
	head := mine[:strings.Index(mine, "\r\n\r\n")+4]
	headAnswer := fmt.Sprintf("HTTP/1.1 200 X\r\n%s: s\r\n%sContent-Length: %d\r\n\r\n", testSeal, idLine("id-0"), len(head))
	h, _ := newPartsHarness(t, own, []string{headAnswer}, []string{headAnswer + mine})
	h.callAs(t, "id-0", http.MethodHead, "/look/0", "key", "")
	res := h.callAs(t, own, http.MethodPost, "/file/1", "key", "x")
	h.expectNoOtherRun(t, res)
}
