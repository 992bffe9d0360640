package forwarder

import (
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/discoverer"
)

// TestWholeAnswersReachCallersOfAHostThatIsCutOff guards against lost answers: while servers
// that are up refuse new connections, whole answers without a length were broken off at their end.
func TestWholeAnswersReachCallersOfAHostThatIsCutOff(t *testing.T) {
	const pause = 100 * time.Millisecond // Longer than witnessTime, so that the last answer has no other beside it.
	for _, tc := range []struct {
		name, path, beginning, rest string
		servers, calls              int
	}{
		{"streams at several servers", "/draft/1", undelimitedStream + event(1), event(2), 3, 9},
		{"a stream at each server", "/draft/1", undelimitedStream + event(1), event(2), 4, 4},
		{"bodies", "/look/1", undelimitedBody + "wh", "ole", 3, 6},
		{"an only server", "/draft/1", undelimitedStream + event(1), event(2), 1, 4},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			s := h.useHeldServers(t, tc.servers)
			c := h.hold(t, s, tc.calls, tc.path, tc.beginning)
			s.refuse()
			for i, conn := range c.conns {
				write(t, conn, tc.rest)
				_ = conn.Close()
				if i == 0 && tc.servers == 1 {
					time.Sleep(3 * pause)
				}
				time.Sleep(pause)
			}
			for i, got := range c.responses {
				if res := <-got; res.status != http.StatusOK || !res.complete {
					t.Errorf("the caller of call %d got %+v, want a complete answer", i, res)
				}
			}
		})
	}
}

// TestCutAnswersAtAHostThatIsCutOffAreNotComplete guards against parts of answers that look whole: a
// server died behind a cut, in which servers that are up refuse new connections too.
func TestCutAnswersAtAHostThatIsCutOffAreNotComplete(t *testing.T) {
	const pause = 100 * time.Millisecond
	for _, tc := range []struct{ name, path, beginning, rest string }{
		{"streams", "/draft/1", undelimitedStream + event(1), event(2)},
		{"bodies", "/look/1", undelimitedBody + "wh", "ole"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			s := h.useHeldServers(t, 3)
			c := h.hold(t, s, 9, tc.path, tc.beginning)
			s.refuse()
			time.Sleep(pause)
			calls := make(map[string]int)
			dead := "" // The server with most calls has several.
			for _, conn := range c.conns {
				address := conn.LocalAddr().String()
				if calls[address]++; calls[address] > calls[dead] {
					dead = address
				}
			}
			isDead := func(i int) bool { return c.conns[i].LocalAddr().String() == dead }
			for i, conn := range c.conns {
				if isDead(i) {
					_ = conn.Close()
				}
			}
			for i, conn := range c.conns {
				if !isDead(i) {
					time.Sleep(pause)
					write(t, conn, tc.rest)
					_ = conn.Close()
				}
			}
			for i, got := range c.responses {
				if res := <-got; (res.status == http.StatusOK && res.complete) == isDead(i) {
					t.Errorf("the caller of call %d got %+v, want a complete answer: %v", i, res, !isDead(i))
				}
			}
		})
	}
}

// TestCutAnswersOfEndedServersAreNotComplete checks that all answers that a server leaves
// unfinished when it ends are broken off.
func TestCutAnswersOfEndedServersAreNotComplete(t *testing.T) {
	for _, tc := range []struct {
		name   string
		others int
	}{
		{"one of several servers", 2},
		{"an only server", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			s := h.useHeldServers(t, 1)
			c := h.hold(t, s, 4, "/draft/1", undelimitedStream+event(1))
			addresses := []string{s.listeners[0].Addr().String()}
			for range tc.others {
				addresses = append(addresses, h.backends.start())
			}
			h.useAddresses(addresses...)
			s.refuse()
			for _, conn := range c.conns {
				_ = conn.Close()
			}
			for i, got := range c.responses {
				if res := <-got; res.complete {
					t.Errorf("the caller of call %d got %+v as a complete answer", i, res)
				}
			}
		})
	}
}

// TestCutAnswersOfEndingServersAreNotComplete guards against parts of answers that look whole: a
// server that ends closes the connections of its answers some time before its port, so that a
// new connection is still accepted.
func TestCutAnswersOfEndingServersAreNotComplete(t *testing.T) {
	for _, tc := range []struct {
		name, path, beginning string
		drops                 bool
	}{
		{"stream", "/draft/1", undelimitedStream + event(1), false},
		{"body", "/look/1", undelimitedBody + "ha", false},
		{"stream, new connections are reset first", "/draft/1", undelimitedStream + event(1), true},
		{"body, new connections are reset first", "/look/1", undelimitedBody + "ha", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			s := h.useHeldServers(t, 1)
			c := h.hold(t, s, 4, tc.path, tc.beginning)
			h.useAddresses(s.listeners[0].Addr().String(), h.backends.start())
			s.drops.Store(tc.drops)
			for _, conn := range c.conns {
				_ = conn.Close()
			}
			time.Sleep(10 * time.Millisecond)
			s.end()
			for i, got := range c.responses {
				if res := <-got; res.status == http.StatusOK && res.complete {
					t.Errorf("the caller of call %d got %+v as a complete answer", i, res)
				}
			}
		})
	}
}

// TestCutAnswersAtTheDeadlineAreNotComplete guards against parts of answers that look whole: the deadline
// of the call, or the end of the host, came while it was found out whether the server had ended.
func TestCutAnswersAtTheDeadlineAreNotComplete(t *testing.T) {
	const timeout = 300 * time.Millisecond
	for _, tc := range []struct {
		name, path, beginning string
		stops                 bool
	}{
		{"stream, at the deadline", "/draft/1", undelimitedStream + event(1), false},
		{"body, at the deadline", "/look/1", undelimitedBody + "ha", false},
		{"stream, as the host stops", "/draft/1", undelimitedStream + event(1), true},
		{"body, as the host stops", "/look/1", undelimitedBody + "ha", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			h.useTimes(timeout, time.Minute)
			s := h.useHeldServers(t, 1)
			began := time.Now()
			c := h.hold(t, s, 1, tc.path, tc.beginning)
			h.useAddresses(s.listeners[0].Addr().String(), h.backends.start())
			s.drops.Store(true) // So that it takes some time until the port refuses.
			time.Sleep(time.Until(began.Add(timeout - 20*time.Millisecond)))
			_ = c.conns[0].Close()
			time.Sleep(10 * time.Millisecond)
			s.end()
			if tc.stops {
				h.EndCalls()
			}
			if res := <-c.responses[0]; res.status == http.StatusOK && res.complete {
				t.Errorf("the caller got %+v as a complete answer", res)
			}
		})
	}
}

// TestCutAnswersOfReplacedServersAreNotComplete guards against a part of an answer that looks whole:
// the host stood still while the server ended, and another process had its address after that.
func TestCutAnswersOfReplacedServersAreNotComplete(t *testing.T) {
	const other = "HTTP/1.1 421 X\r\n" + testNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"
	for _, tc := range []struct {
		name, path, beginning, answer string
		// isListed is whether the list shows the other server by then.
		isListed, complete bool
	}{
		{"stream, another server", "/draft/1", undelimitedStream + event(1), other, false, false},
		{"body, another server", "/look/1", undelimitedBody + "ha", other, false, false},
		{"stream, another server that is listed", "/draft/1", undelimitedStream + event(1), other, true, false},
		{"stream, the same server", "/draft/1", undelimitedStream + event(1), sealedResponse(http.StatusOK, "", ""), false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			s := h.useHeldServers(t, 1)
			c := h.hold(t, s, 1, tc.path, tc.beginning)
			address := s.listeners[0].Addr().String()
			s.refuse()
			answerAt(t, address, func(*http.Request) string { return tc.answer })
			if tc.isListed {
				h.SetListing(&discoverer.Listing{Instances: []describer.Instance{{ID: "new", Service: "cases", Address: address, Slots: 4}}})
			}
			time.Sleep(1100 * time.Millisecond) // The host finds that nothing came for a second.
			_ = c.conns[0].Close()
			if res := <-c.responses[0]; (res.status == http.StatusOK && res.complete) != tc.complete {
				t.Errorf("the caller got %+v, want a complete answer: %v", res, tc.complete)
			}
		})
	}
}

// TestCutAnswersOfServersThatAreBackAreNotComplete guards against a part of an answer that looks whole:
// the host stood still while the server ended, and was back under its id after that.
func TestCutAnswersOfServersThatAreBackAreNotComplete(t *testing.T) {
	const born = 1_700_000_000_000
	for _, tc := range []struct {
		name, path, beginning string
		// report is what the process says of its start, and listed the start in the list by then.
		report   string
		listed   int64
		complete bool
	}{
		{"stream, another run", "/draft/1", undelimitedStream + event(1), fmt.Sprint(born + 1), born, false},
		{"body, another run", "/look/1", undelimitedBody + "ha", fmt.Sprint(born + 1), born, false},
		{"stream, another run that is listed", "/draft/1", undelimitedStream + event(1), "", born + 1, false},
		{"stream, the same run", "/draft/1", undelimitedStream + event(1), fmt.Sprint(born), born, true},
		{"stream, a server that does not say when it started", "/draft/1", undelimitedStream + event(1), "", born, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			s := h.useHeldServers(t, 1)
			address := s.listeners[0].Addr().String()
			list := func(startedAt int64) {
				h.SetListing(&discoverer.Listing{Instances: []describer.Instance{{ID: "b0", Service: "cases", Address: address, Slots: 4, StartedAtMillis: startedAt}}})
			}
			list(born)
			c := h.hold(t, s, 1, tc.path, tc.beginning)
			s.refuse()
			answerAt(t, address, func(r *http.Request) string {
				if r.URL.Path == testReport {
					return sealedResponse(http.StatusOK, "", tc.report)
				}
				return sealedResponse(http.StatusOK, "", "")
			})
			list(tc.listed)
			time.Sleep(1100 * time.Millisecond) // The host finds that nothing came for a second.
			_ = c.conns[0].Close()
			if res := <-c.responses[0]; (res.status == http.StatusOK && res.complete) != tc.complete {
				t.Errorf("the caller got %+v, want a complete answer: %v", res, tc.complete)
			}
		})
	}
}

// TestHostThatIsCutOffReportsNoEnds guards against sound requests that are isolated: a host
// that was cut off took the refusals of servers that were up for their ends, and reported the
// calls that it had lost there.
func TestHostThatIsCutOffReportsNoEnds(t *testing.T) {
	h := newHarness(t)
	h.parts = "first own"
	var log lockedBuffer
	h.opts.Log = slog.New(slog.NewTextHandler(&log, nil))
	s := h.useHeldServers(t, 3)
	c := h.hold(t, s, 6, "/draft/1", streamHead+chunk(event(1)))
	s.refuse()
	_ = c.conns[0].Close() // Within its answer, which has chunks.
	<-c.responses[0]
	for !strings.Contains(log.String(), "backend server broke connections") {
		time.Sleep(time.Millisecond)
	}
	r, _ := h.opts.Isolation.Report()
	if diff := gocmp.Diff(0, len(r.Ends)); diff != "" {
		t.Errorf("reported ends differ (-want +got):\n%s", diff)
	}
}
