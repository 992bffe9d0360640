package forwarder

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"cyclamenhub.org/matcher"
)

// useTimes puts a document in force whose routes and idle connections have the given limits.
func (h *harness) useTimes(route, idle time.Duration) {
	d := *h.Table().Document()
	d.Limits.IdleTimeout = idle
	d.Routes = append(d.Routes[:0:0], d.Routes...)
	for i := range d.Routes {
		d.Routes[i].Timeout = route
	}
	h.SetTable(matcher.NewTable(2, &d))
}

// TestBodyWithoutEndKeepsItsConnection guards against bodies that never end and hold their
// memory and connection for ever, whether they stand still or trickle.
func TestBodyWithoutEndKeepsItsConnection(t *testing.T) {
	const limit = 300 * time.Millisecond
	for _, tc := range []struct {
		name        string
		route, idle time.Duration
		head        string
		trickles    bool
	}{
		{"stands still", time.Minute, limit, "Content-Length: 100000\r\n", false},
		{"stands still in a chunk", time.Minute, limit, "Transfer-Encoding: chunked\r\n", false},
		{"trickles", limit, time.Minute, "Content-Length: 100000\r\n", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, sealedResponse(http.StatusOK, idLine("id-1"), "x"))
			h.useTimes(tc.route, tc.idle)
			u := h.upload(t, "/file/1", tc.head, "1\r\n")
			if tc.trickles {
				go func() {
					for range 1000 {
						if _, err := u.Write([]byte("x")); err != nil {
							return
						}
						time.Sleep(limit / 30)
					}
				}()
			}
			if res := u.answer(); res.StatusCode != http.StatusRequestTimeout || !res.Close {
				t.Errorf("the caller gets %d, close %t, want %d and a closed connection", res.StatusCode, res.Close, http.StatusRequestTimeout)
			}
			h.awaitArriving(t, 0)
			h.useTimes(time.Minute, time.Minute)
			if res := h.call(t, http.MethodPost, "/file/1", "key", "small"); res.status != http.StatusOK {
				t.Errorf("the next call gets %d: %s", res.status, res.body)
			}
		})
	}
}

// TestCallOutlivesTheLimitOfItsBody checks that the limit on the time of a body does not end
// a call whose body is complete, nor the next one on its connection.
func TestCallOutlivesTheLimitOfItsBody(t *testing.T) {
	const limit = 200 * time.Millisecond
	answer := sealedResponse(http.StatusOK, idLine("id-1"), "x")
	h := newHarness(t, answer, answer)
	h.backends.hold = make(chan struct{})
	h.useTimes(time.Minute, limit)
	body := strings.Repeat("x", 100<<10)
	u := h.upload(t, "/file/1", fmt.Sprintf("Content-Length: %d\r\n", len(body)), body)
	time.Sleep(2 * limit)
	close(h.backends.hold)
	if res := u.answer(); res.StatusCode != http.StatusOK || res.Close {
		t.Errorf("the caller gets %d, close %t", res.StatusCode, res.Close)
	}
}
