package forwarder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"cyclamenhub.org/describer"
)

// step is what a scripted server does next: it waits, calls do and sends text.
type step struct {
	wait time.Duration
	do   func()
	text string
}

// scriptedServer listens, takes the steps after each request and closes the connection.
// It returns its address.
func scriptedServer(t *testing.T, steps ...step) string {
	t.Helper()
	return listen(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		for _, s := range steps {
			time.Sleep(s.wait)
			if s.do != nil {
				s.do()
			}
			_, _ = io.WriteString(c, s.text)
		}
	})
}

// callSilent makes a call to a server that takes the steps, beside which others are
// listed once it has the call.
func (h *harness) callSilent(t *testing.T, path string, others []string, steps ...step) response {
	t.Helper()
	var silent string
	listAll := func() { h.useAddresses(append([]string{silent}, others...)...) }
	silent = scriptedServer(t, append([]step{{do: listAll}}, steps...)...)
	h.useAddresses(silent)
	return h.call(t, http.MethodPost, path, "key", "x")
}

// TestSilentServerIsKeptForAnUnusableReplacement guards against an attempt that is ended
// for an answer that does not answer the call.
func TestSilentServerIsKeptForAnUnusableReplacement(t *testing.T) {
	for _, unusable := range []string{
		sealedResponse(http.StatusTooManyRequests, "", "busy"),
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
	} {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, unusable)
			h.shortTargets()
			res := h.callSilent(t, "/look/1", []string{h.backends.start()}, step{wait: time.Second, text: sealedResponse(http.StatusOK, "", "found")})
			if res.status != http.StatusOK || res.body != "found" {
				t.Errorf("the caller got %+v", res)
			}
		})
	}
}

// TestUnreachableReplacementSpendsNoRetry guards against a retry budget that is spent by
// attempts that reach no server, while all calls of a server wait for it.
func TestUnreachableReplacementSpendsNoRetry(t *testing.T) {
	h := newHarness(t)
	h.shortTargets()
	h.retries = newRetryBudgets(RetryBudget{Reserve: 1}, 1)
	h.callSilent(t, "/look/1", []string{unreachableAddress}, step{wait: 500 * time.Millisecond, text: sealedResponse(http.StatusOK, "", "found")})
	if !h.retries.tryWithdraw("cases") {
		t.Error("the retry budget is spent, though no other server got the call")
	}
}

// TestIsolatedCallIsNotSentInPlaceOfASilentOne guards against a call that reaches another
// server after a part of its prompt was isolated. The first server has survived it.
func TestIsolatedCallIsNotSentInPlaceOfASilentOne(t *testing.T) {
	t.Parallel()
	h := newHarness(t, streamHead+chunk(event(3))+"0\r\n\r\n")
	h.parts = "first bad own"
	res := h.callSilent(t, "/edit/1", []string{h.backends.start()},
		step{text: streamHead + chunk(event(1))},
		step{wait: 600 * time.Millisecond, text: chunk(event(2))},
		step{wait: 100 * time.Millisecond, do: func() { h.opts.Isolation.Apply(isolated(0, "")) }},
		step{wait: 1300 * time.Millisecond, text: chunk(event(3)) + "0\r\n\r\n"})
	if n := len(h.backends.requests()); n != 0 || res.body != event(1)+event(2)+event(3) {
		t.Errorf("%d sends to the other server, the caller got %+v", n, res)
	}
}

// TestServerThatGoesOnIsHeard guards against a stream that stands still, or breaks off,
// since its server goes on while another one has not answered yet.
func TestServerThatGoesOnIsHeard(t *testing.T) {
	for name, other := range map[string][]step{
		"the other server is slow":       {{wait: 3 * time.Second}},
		"the other server breaks off":    {{wait: 800 * time.Millisecond, text: streamHead}},
		"the other server goes on later": {{wait: 800 * time.Millisecond, text: streamHead + chunk(event(2)) + "0\r\n\r\n"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			h.setTargets(time.Second)
			started := time.Now()
			res := h.callSilent(t, "/edit/1", []string{scriptedServer(t, other...)},
				step{text: streamHead + chunk(event(1))}, step{wait: 1300 * time.Millisecond, text: chunk(event(2)) + "0\r\n\r\n"})
			if took := time.Since(started); res.body != event(1)+event(2) || !res.complete || took > 1700*time.Millisecond {
				t.Errorf("after %v the caller got %+v", took, res)
			}
		})
	}
}

// TestHeaderAloneReplacesNoServer guards against a stream that breaks off since another
// server sent a header, which says nothing of its events, and then ended.
func TestHeaderAloneReplacesNoServer(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	h.setTargets(500 * time.Millisecond)
	other := scriptedServer(t, step{text: streamHead}, step{wait: 50 * time.Millisecond})
	res := h.callSilent(t, "/edit/1", []string{other},
		step{text: streamHead + chunk(event(1))}, step{wait: 1500 * time.Millisecond, text: chunk(event(2)) + "0\r\n\r\n"})
	if res.body != event(1)+event(2) || !res.complete {
		t.Errorf("the caller got %+v", res)
	}
}

// TestNeedlessReplacementMayBeTriedAgain guards against a stream that breaks off with its
// server since the only other one is left out: it was asked while the first was silent.
func TestNeedlessReplacementMayBeTriedAgain(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	h.setTargets(time.Second)
	h.editRoutes(func(r *describer.Route) { r.MaxAttempts = 3 })
	other := scriptedServer(t, step{wait: 500 * time.Millisecond, text: streamHead + chunk(event(3)) + "0\r\n\r\n"})
	res := h.callSilent(t, "/edit/1", []string{other},
		step{text: streamHead + chunk(event(1))}, step{wait: 1200 * time.Millisecond, text: chunk(event(2))})
	if res.body != event(1)+event(2)+event(3) || !res.complete {
		t.Errorf("the caller got %+v", res)
	}
}

// TestStreamDoesNotStayAtTwoServers guards against a stream that goes on at another server
// while its silent server works on it for 400 ms or longer.
func TestStreamDoesNotStayAtTwoServers(t *testing.T) {
	t.Parallel()
	const maxOverlap = 400 * time.Millisecond
	h := newHarness(t)
	h.setTargets(time.Second)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	begun := make(chan time.Time, 1)
	other := scriptedServer(t, step{do: func() { begun <- time.Now() }},
		step{wait: time.Second, text: streamHead + chunk(event(2)) + "0\r\n\r\n"})
	closed := make(chan time.Time, 1)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		br := bufio.NewReader(c)
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		h.useAddresses(ln.Addr().String(), other)
		_, _ = io.WriteString(c, streamHead+chunk(event(1)))
		_, _ = br.ReadByte() // It returns when the host closes the connection.
		closed <- time.Now()
	}()
	h.useAddresses(ln.Addr().String())
	res := h.call(t, http.MethodPost, "/edit/1", "key", "x")
	if res.body != event(1)+event(2) || !res.complete {
		t.Errorf("the caller got %+v", res)
	}
	if overlap := (<-closed).Sub(<-begun); overlap >= maxOverlap {
		t.Errorf("both servers worked on the stream for %v, less than %v is allowed", overlap, maxOverlap)
	}
}
