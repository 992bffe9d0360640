package forwarder

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"cyclamenhub.org/matcher"
)

// TestRefusedCallIsNotReadFirst guards against calls that are refused in any case and fill
// the memory with their bodies before.
func TestRefusedCallIsNotReadFirst(t *testing.T) {
	for _, tc := range []struct {
		name, path, head string
		status           int
	}{
		{"no route", "/none/1", "Content-Length: 100000\r\n", http.StatusNotFound},
		{"no route, chunks", "/none/1", "Transfer-Encoding: chunked\r\n", http.StatusNotFound},
		{"unknown key", "/file/1", "Content-Length: 100000\r\n" + testKey + ": other\r\n", http.StatusUnauthorized},
		{"too large", "/file/1", fmt.Sprintf("Content-Length: %d\r\n", defaultMaxBodyBytes+1), http.StatusRequestEntityTooLarge},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			if strings.Contains(tc.head, testKey) {
				h.withoutKey(t, "key")
			}
			h.useTimes(time.Hour, time.Hour)
			u := h.upload(t, tc.path, tc.head, "1\r\nx")
			if res := u.answer(); res.StatusCode != tc.status {
				t.Errorf("the caller gets %d, want %d", res.StatusCode, tc.status)
			}
			if n := h.requests.Counts().Held; n != 0 {
				t.Errorf("%d bytes are held", n)
			}
		})
	}
}

// withoutKey puts a document in force in which a key is unknown.
func (h *harness) withoutKey(t testing.TB, key string) {
	t.Helper()
	d := *h.Table().Document()
	d.Customers = append(d.Customers[:0:0], d.Customers...)
	for i, c := range d.Customers {
		if c.Keys[0] == key {
			d.Customers[i].Keys = []string{"renewed"}
		}
	}
	h.SetTable(matcher.NewTable(2, &d))
}

// TestRefusalBeforeTheBodyArrives checks that callers that send the whole body before they read
// get a refusal that was certain before, and that a small body leaves the connection in use.
func TestRefusalBeforeTheBodyArrives(t *testing.T) {
	for _, size := range []int{1, 30 << 10, 300 << 10, 4 << 20} {
		h := newHarness(t)
		u := h.upload(t, "/none/1", fmt.Sprintf("Content-Length: %d\r\n", size), strings.Repeat("x", size))
		res := u.answer()
		if res.StatusCode != http.StatusNotFound || res.Close != (size > 30<<10) {
			t.Errorf("%d bytes: the caller gets %d, close %t", size, res.StatusCode, res.Close)
		}
	}
}

// TestUncertainRefusalWaitsForTheBody checks that a host which may not know the newest document
// decides by the one that is in force once the body has come.
func TestUncertainRefusalWaitsForTheBody(t *testing.T) {
	h := newHarness(t, sealedResponse(http.StatusOK, idLine("id-1"), "x"))
	table := h.Table()
	h.withoutKey(t, "key")
	current := make(chan bool, 3)
	current <- false // Before the body.
	current <- true  // After it.
	current <- true  // Before the call is sent.
	h.opts.Current = func() bool { return <-current }
	u := h.upload(t, "/file/1", "Content-Length: 2\r\n", "x")
	h.awaitArriving(t, 1)
	h.SetTable(table)
	u.send("x")
	if res := u.answer(); res.StatusCode != http.StatusOK {
		t.Errorf("the caller gets %d", res.StatusCode)
	}
}
