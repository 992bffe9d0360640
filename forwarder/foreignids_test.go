package forwarder

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// TestCopiesOfAThirdAnswerLeaveCallsAsTheyAre plays more foreign answers than are skipped,
// and unusual ids: the call runs once at its server, on the connection of the earlier one.
func TestCopiesOfAThirdAnswerLeaveCallsAsTheyAre(t *testing.T) {
	long := strings.Repeat("l", 8<<10)
	for _, tc := range []struct{ name, earlier, own string }{
		{"plain", "id-0", "id-1"}, {"case", "ID-1", "id-1"}, {"inner space", "id 1", "id  1"},
		{"a list", "id-0, id-1", "id-1"}, {"the start of a list", "id-1, id-0", "id-1"},
		{"long", long + "a", long + "b"}, {"latin", "\xe9", "\xe8"},
	} {
		for _, copies := range []int{1, 2, 3, 5} {
			t.Run(fmt.Sprint(tc.name, copies), func(t *testing.T) {
				refusal := strings.Repeat(refusalOf(503, tc.earlier), copies)
				h, s := newPartsHarness(t, tc.own, []string{refusalOf(503, tc.earlier)}, []string{refusal + sealedResponse(http.StatusOK, idLine(tc.own), "mine")})
				h.callAs(t, tc.earlier, http.MethodPost, "/file/0", "key", "x")
				res := h.callAs(t, tc.own, http.MethodPost, "/file/1", "key", "x")
				h.expectNoOtherRun(t, res)
				if s.requests.Load() != 2 || s.opened.Load() != 1 {
					t.Errorf("%d requests on %d connections", s.requests.Load(), s.opened.Load())
				}
				if copies <= maxForeignReplies && res.body != "mine" {
					t.Errorf("the caller got %+v", res)
				}
			})
		}
	}
}
