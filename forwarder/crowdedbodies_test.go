package forwarder

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"cyclamenhub.org/budgeter"
)

// crowdedMemory is the memory of the hosts of these tests.
const crowdedMemory = 32 << 20

// oneChunk returns a body in one part.
func oneChunk(s string) chunks {
	var c chunks
	c.add([]byte(s))
	return c
}

// limitMemory gives the host the memory of these tests.
func (h *harness) limitMemory() {
	h.opts.MemoryBytes = crowdedMemory
	h.requests = newRequestBudget(&h.opts)
}

// upload is a connection on which a body is sent.
type upload struct {
	t testing.TB
	net.Conn
}

// upload sends a head and a part of its body.
func (h *harness) upload(t testing.TB, path, head, body string) *upload {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	u := &upload{t, c}
	u.send(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\n%s: id-1\r\n%s: key\r\n%s\r\n", path, testID, testKey, head))
	u.send(body)
	return u
}

// send sends a part of the request. The host may have closed the connection.
func (u *upload) send(s string) {
	_ = u.SetWriteDeadline(time.Now().Add(30 * time.Second))
	_, _ = u.Write([]byte(s))
}

// answer returns the answer to the request.
func (u *upload) answer() *http.Response {
	u.t.Helper()
	_ = u.SetReadDeadline(time.Now().Add(30 * time.Second))
	res, err := http.ReadResponse(bufio.NewReader(u), nil)
	if err != nil {
		u.t.Fatalf("the caller gets no answer: %v", err)
	}
	return res
}

// awaitArriving waits until the host holds n bodies that are not complete.
func (h *harness) awaitArriving(t testing.TB, n int) {
	t.Helper()
	for range 3000 {
		if h.requests.Counts().Arriving == n {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d bodies arrive, want %d", h.requests.Counts().Arriving, n)
}

// TestBodiesShortOfTheirEndFillMemory guards against a host that holds every large body
// whose last byte does not come, and then refuses small ones too.
func TestBodiesShortOfTheirEndFillMemory(t *testing.T) {
	const size, crowd = 1 << 20, 64
	for _, tc := range []struct{ name, head, body string }{
		{"with a length", fmt.Sprintf("Content-Length: %d\r\n", size), strings.Repeat("x", size-1)},
		{"one chunk", "Transfer-Encoding: chunked\r\n", chunk(strings.Repeat("x", size))},
		{"small chunks", "Transfer-Encoding: chunked\r\n", strings.Repeat(chunk("x"), size/64)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t, sealedResponse(http.StatusOK, idLine("id-1"), "x"))
			h.limitMemory()
			for range crowd {
				h.upload(t, "/file/1", tc.head, tc.body)
			}
			if res := h.call(t, http.MethodPost, "/file/1", "key", "small"); res.status != http.StatusOK {
				t.Errorf("a small request gets %d: %s", res.status, res.body)
			}
			if got := heapBytes(); got > crowdedMemory {
				t.Errorf("the process holds %d bytes, at most %d are allowed", got, crowdedMemory)
			}
		})
	}
}

// heapBytes returns what the process holds once garbage is collected.
func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestBodyThatStandsStillMakesRoom guards against a crowd of bodies that stand still and keep
// out a request inside the limits.
func TestBodyThatStandsStillMakesRoom(t *testing.T) {
	const size = 1 << 20
	h := newHarness(t, sealedResponse(http.StatusOK, idLine("id-1"), "x"))
	h.limitMemory()
	head := fmt.Sprintf("Content-Length: %d\r\n", size)
	still := h.upload(t, "/file/1", head, strings.Repeat("x", size-1))
	h.awaitArriving(t, 1)
	for n := 2; n <= 7; n++ {
		h.upload(t, "/file/1", head, strings.Repeat("x", size-1))
		h.awaitArriving(t, n)
	}
	time.Sleep(budgeter.Grace + budgeter.Grace/10)
	body := strings.Repeat("x", 4<<20)
	if res := h.call(t, http.MethodPost, "/file/1", "key", body); res.status != http.StatusOK {
		t.Errorf("a request of the largest size gets %d: %s", res.status, res.body)
	}
	res := still.answer()
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" || !res.Close {
		t.Errorf("the one that stood still longest gets %d, %v", res.StatusCode, res.Header)
	}
	if n := len(h.backends.requests()); n != 1 {
		t.Errorf("%d calls run, want 1", n)
	}
}

// TestRefusedBodyGetsItsAnswer guards against a reset in place of the answer to a caller that
// sends the whole body before it reads.
func TestRefusedBodyGetsItsAnswer(t *testing.T) {
	h := newHarness(t)
	h.limitMemory()
	h.requests = budgeter.New(budgeter.Options{Max: 1 << 20, Large: 1 << 20})
	const size = 4 << 20
	u := h.upload(t, "/file/1", fmt.Sprintf("Content-Length: %d\r\n", size), strings.Repeat("x", size))
	res := u.answer()
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" {
		t.Errorf("the caller gets %d, %v", res.StatusCode, res.Header)
	}
	if n := len(h.backends.requests()); n != 0 {
		t.Errorf("%d calls run, want none", n)
	}
}

// TestBudgetOfRequestsIsGivenBack checks that no byte stays taken once calls have ended.
func TestBudgetOfRequestsIsGivenBack(t *testing.T) {
	h := newHarness(t, sealedResponse(http.StatusOK, idLine("id-1"), "x"))
	h.limitMemory()
	for _, size := range []int{0, 1, int(budgeter.SmallBytes), 1 << 20, 4 << 20, 4<<20 + 1} {
		h.call(t, http.MethodPost, "/file/1", "key", strings.Repeat("x", size))
	}
	h.awaitArriving(t, 0)
	for range 3000 {
		if h.requests.Counts().Held == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Errorf("%d bytes stay taken", h.requests.Counts().Held)
}
