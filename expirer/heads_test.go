package expirer

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// headLimit is the limit for headers in these tests.
const headLimit = 1 << 10

// status sends bytes, of which the host may read only some, and returns the status of the
// answer, or 0 if the connection ends without one.
func (c *client) status(text string) int {
	go func() { _, _ = io.WriteString(c, text) }()
	_ = c.SetReadDeadline(time.Now().Add(bound))
	res, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// padded returns a request whose header has the given size.
func padded(size int) string {
	const start, end = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nPadding: ", "\r\n\r\n"
	return start + strings.Repeat("x", size-len(start)-len(end)) + end + "x"
}

// TestHeadsHaveAnEnd guards against callers that send a header, or line breaks before one,
// without end, and against a limit that refuses a header just below it.
func TestHeadsHaveAnEnd(t *testing.T) {
	const endless = 1 << 18
	f := newFront(t, Limits{Header: bound, Idle: bound, HeadBytes: headLimit}, 0)
	for name, tc := range map[string]struct {
		sent string
		want int
	}{
		"largest":            {padded(headLimit), http.StatusOK},
		"over the limit":     {padded(headLimit + 2*headSlack), http.StatusRequestHeaderFieldsTooLarge},
		"endless line":       {"GET / HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("x", endless), http.StatusRequestHeaderFieldsTooLarge},
		"endless lines":      {"GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("A: x\r\n", endless), http.StatusRequestHeaderFieldsTooLarge},
		"endless path":       {"GET /" + strings.Repeat("x", endless), http.StatusRequestHeaderFieldsTooLarge},
		"endless empty line": {strings.Repeat("\r", endless), http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			c := f.dial()
			for range 2 { // The second time on a connection that was used.
				if got := c.status(tc.sent); got != tc.want {
					t.Fatalf("status %d, want %d", got, tc.want)
				}
				if tc.want != http.StatusOK {
					if !c.isClosed(bound) {
						t.Error("the connection stays open")
					}
					if c = f.dial(); !c.ask(request) {
						t.Fatal("no answer to an ordinary request")
					}
				}
			}
		})
	}
}

// TestHeadLimitsReachOpenConnections guards against a limit for headers that holds only for
// new connections, and a shorter one that holds before the caller can know it.
func TestHeadLimitsReachOpenConnections(t *testing.T) {
	large := padded(headLimit + 2*headSlack)
	f := newFront(t, Limits{Header: bound, Idle: bound, HeadBytes: 1 << 20}, 0)
	c := f.dial()
	if !c.ask(request) {
		t.Fatal("no answer")
	}
	f.SetLimits(Limits{HeadBytes: headLimit})
	if !c.ask(large) {
		t.Error("a shorter limit holds for a wait that began under the longer one")
	}
	if c.status(large) != http.StatusRequestHeaderFieldsTooLarge {
		t.Error("a shorter limit does not hold for the next wait")
	}
	c = f.dial()
	if !c.ask(request) {
		t.Fatal("no answer")
	}
	f.SetLimits(Limits{}) // the defaults
	if !c.ask(large) {
		t.Error("a longer limit does not hold for open connections")
	}
}

// TestHeadsUpToTheLimitArrive plays headers that arrive in pieces, of any sizes, between
// changes of the limit. One within the longest limit since the last answer is never too
// large, whatever arrives with its end, and one that is larger by the slack always is.
func TestHeadsUpToTheLimitArrive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 1<<16)
		now, l := time.Unix(0, 0), Limits{HeadBytes: size.Draw(t, "limit")}
		w, longest, sent := newWait(now, l, 0), l.HeadBytes, 0
		t.Repeat(map[string]func(*rapid.T){
			"limit": func(t *rapid.T) {
				l.HeadBytes = size.Draw(t, "limit")
				w.raise(l)
				longest = max(longest, l.HeadBytes)
			},
			"bytes": func(t *rapid.T) {
				n := rapid.IntRange(1, headSlack).Draw(t, "size")
				w.arrived([]byte(strings.Repeat(rapid.SampledFrom([]string{"x", "\r", "\n"}).Draw(t, "byte"), n)), headSlack, now, l)
				sent += n
			},
			"request": func(*rapid.T) {
				w.arrived([]byte("x"), headSlack, now, l)
				w.answer(l)
				longest = l.HeadBytes
				w.arrived(make([]byte, headSlack), headSlack, now, l) // a body
				w.awaitRequest(now, l)
				sent = 0
			},
			"": func(t *rapid.T) {
				if got := w.tooLarge(); got != (sent > longest+headSlack) {
					t.Fatalf("%d bytes under a limit of %d are too large: %v", sent, longest, got)
				}
			},
		})
	})
}
