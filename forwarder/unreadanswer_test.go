package forwarder

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestUnreadAnswersKeepTheirMemory guards against answers whose callers do not read them and
// which fill the budget for good.
func TestUnreadAnswersKeepTheirMemory(t *testing.T) {
	h := newHarness(t, sealedResponse(http.StatusOK, idLine("id-1"), strings.Repeat("x", maxResponseBytes)))
	h.useTimes(time.Second, time.Minute)
	h.upload(t, "/file/1", "Content-Length: 1\r\n", "x")
	for range 3000 {
		if len(h.backends.requests()) == 1 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	for range 3000 {
		if h.Active() == 0 && h.bodies.held.Load() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("%d calls are open and %d bytes held for a caller that does not read", h.Active(), h.bodies.held.Load())
}
