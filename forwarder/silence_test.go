package forwarder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/matcher"
)

// silence is how long silentServer pauses: longer than every limit after which a call
// is sent to another backend server.
const silence = 1500 * time.Millisecond

// listen serves each connection to a new listener and returns its address.
func listen(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	return listenAt(t, "127.0.0.1:0", serve)
}

// listenAt is listen with a given address.
func listenAt(t *testing.T, address string, serve func(net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c)
			}()
		}
	}()
	return ln.Addr().String()
}

// silentServer listens and answers each request with before, a pause and after. It
// calls onRequest before it answers, and returns its address.
func silentServer(t *testing.T, before, after string, onRequest func()) string {
	t.Helper()
	return listen(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		onRequest()
		_, _ = io.WriteString(c, before)
		time.Sleep(silence)
		_, _ = io.WriteString(c, after)
	})
}

// unreachableAddress is one at which nothing listens. Its port is none that the kernel
// chooses for a listener.
const unreachableAddress = "127.0.0.1:1"

// shortTargets gives all routes a target of a tenth of a second.
func (h *harness) shortTargets() { h.setTargets(100 * time.Millisecond) }

// setTargets gives all routes a target.
func (h *harness) setTargets(target time.Duration) {
	h.editRoutes(func(r *describer.Route) { r.Target = target })
}

// editRoutes changes all routes.
func (h *harness) editRoutes(edit func(*describer.Route)) {
	d := *h.Table().Document()
	d.Routes = append(d.Routes[:0:0], d.Routes...)
	for i := range d.Routes {
		edit(&d.Routes[i])
	}
	h.SetTable(matcher.NewTable(h.Table().Revision()+1, &d))
}

// TestAnswerIsNotEndedByItsServersSilence guards against an accepted call that ends
// without its answer because its sound backend server was silent for a second while no
// other server could take the call.
func TestAnswerIsNotEndedByItsServersSilence(t *testing.T) {
	half := streamHead + chunk(event(1))
	rest := chunk(event(2)) + "0\r\n\r\n"
	whole := event(1) + event(2)
	lookup := sealedResponse(http.StatusOK, "", "found")
	none := func(*testing.T, *harness) []string { return nil }
	healthy := func(_ *testing.T, h *harness) []string { return []string{h.backends.start()} }
	unreachable := func(*testing.T, *harness) []string { return []string{unreachableAddress} }
	for _, tc := range []struct {
		name, path, before, after, body string
		retries                         float64
		// others starts the other servers, which answer with responses.
		others    func(*testing.T, *harness) []string
		responses []string
	}{
		{"stream, the retry budget is spent", "/edit/1", half, rest, whole, 0, healthy, nil},
		{"stream, no other server", "/edit/1", half, rest, whole, 5, none, nil},
		{"stream, the other server is full", "/edit/1", half, rest, whole, 5, healthy, []string{notRunResponse}},
		{"stream, the other server is unreachable", "/edit/1", half, rest, whole, 5, unreachable, nil},
		{"stream, the other server fails", "/edit/1", half, rest, whole, 5, healthy, []string{sealedResponse(http.StatusInternalServerError, "", "failed")}},
		{"stream, the other server goes on", "/edit/1", half, chunk(event(3)), whole, 5, healthy, []string{streamHead + rest}},
		{"call, the retry budget is spent", "/look/1", "", lookup, "found", 0, healthy, nil},
		{"call, no other server", "/look/1", "", lookup, "found", 5, none, nil},
		{"call, the other server fails", "/look/1", "", lookup, "found", 5, healthy, []string{sealedResponse(http.StatusInternalServerError, "", "failed")}},
		{"call, the other server answers", "/look/1", "", sealedResponse(http.StatusOK, "", "late"), "found", 5, healthy, []string{lookup}},
		{"body, no other server", "/look/1", lookup[:len(lookup)-2], lookup[len(lookup)-2:], "found", 5, none, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, tc.responses...)
			h.shortTargets()
			h.retries = newRetryBudgets(RetryBudget{Reserve: tc.retries}, 1)
			others := tc.others(t, h)
			var silent string
			silent = silentServer(t, tc.before, tc.after, func() { h.useAddresses(append([]string{silent}, others...)...) })
			h.useAddresses(silent) // The others come once it has the call.
			res := h.call(t, http.MethodPost, tc.path, "key", "x")
			if res.status != http.StatusOK || res.body != tc.body || !res.complete {
				t.Errorf("the caller got %+v, want %q", res, tc.body)
			}
		})
	}
}
