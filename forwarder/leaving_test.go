package forwarder

import (
	"net/http"
	"testing"
	"time"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/discoverer"
)

// TestCutAnswersOfLeavingServersAreNotComplete guards against parts of answers that look whole: a
// server that leaves is taken away amid its answers. One that ends in order has answered all calls.
func TestCutAnswersOfLeavingServersAreNotComplete(t *testing.T) {
	for _, tc := range []struct {
		name            string
		calls           int
		closes, refuses bool // what the server does with its other connections and new ones
		complete        bool
	}{
		{"taken away amid answers", 4, true, true, false},
		{"ends after its last answer", 1, true, true, true},
		{"takes no new connection and goes on", 4, false, true, true},
		{"goes on", 4, false, false, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			s := h.useHeldServers(t, 1)
			c := h.hold(t, s, tc.calls, "/draft/1", undelimitedStream+event(1))
			h.SetListing(&discoverer.Listing{Instances: []describer.Instance{
				{ID: "b0", Service: "cases", Address: s.listeners[0].Addr().String(), Slots: 4, Draining: true},
				{ID: "b1", Service: "cases", Address: h.backends.start(), Slots: 4},
			}})
			if tc.refuses {
				s.refuse()
			}
			answered := c.responses
			if tc.closes {
				s.end()
			} else {
				_ = c.conns[0].Close()
				answered = c.responses[:1]
			}
			for i, got := range answered {
				if res := <-got; res.complete != tc.complete {
					t.Errorf("the caller of call %d got %+v, want a complete answer: %v", i, res, tc.complete)
				}
			}
		})
	}
}

// TestWholeAnswersOfServersThatLeaveInOrderReachCallers guards against lost answers: of a server that
// ended its last answers together, or some milliseconds apart, and then its process, all were broken off.
func TestWholeAnswersOfServersThatLeaveInOrderReachCallers(t *testing.T) {
	for _, tc := range []struct {
		name, path, beginning, rest string
		calls                       int
		apart                       time.Duration
		portFirst                   bool
	}{
		{"two streams together", "/draft/1", undelimitedStream + event(1), event(2), 2, 0, false},
		{"streams together", "/draft/1", undelimitedStream + event(1), event(2), 4, 0, false},
		{"streams together, the port first", "/draft/1", undelimitedStream + event(1), event(2), 4, 0, true},
		{"streams some milliseconds apart", "/draft/1", undelimitedStream + event(1), event(2), 4, 15 * time.Millisecond, false},
		{"streams some milliseconds apart, the port first", "/draft/1", undelimitedStream + event(1), event(2), 4, 15 * time.Millisecond, true},
		{"bodies together", "/look/1", undelimitedBody + "wh", "ole", 4, 0, false},
		{"bodies some milliseconds apart, the port first", "/look/1", undelimitedBody + "wh", "ole", 4, 15 * time.Millisecond, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			s := h.useHeldServers(t, 1)
			c := h.hold(t, s, tc.calls, tc.path, tc.beginning)
			h.listLeaving(s, 0)
			time.Sleep(20 * time.Millisecond) // The answers are at work meanwhile.
			if tc.portFirst {
				s.refuse()
			}
			for _, conn := range c.conns {
				endWith(t, conn, tc.rest)
				time.Sleep(tc.apart)
			}
			s.end()
			for i, got := range c.responses {
				if res := <-got; res.status != http.StatusOK || !res.complete {
					t.Errorf("the caller of call %d got %+v, want a complete answer", i, res)
				}
			}
		})
	}
}

// TestServersThatServedTheirTimeEndInOrder guards against lost answers: the last streams of a server
// that left ended together, long after their last events, and its process right after them. One whose
// time was not over was taken away amid its answers.
func TestServersThatServedTheirTimeEndInOrder(t *testing.T) {
	const leavingTime = 100 * time.Millisecond
	for _, tc := range []struct {
		name, path, answer string
		served             time.Duration
		stoodStill         bool // the host, as the answers ended
		complete           bool
	}{
		{"served its time", "/draft/1", undelimitedStream + event(1) + event(2), 2 * leavingTime, false, true},
		{"served its time, bodies after a silence", "/look/1", undelimitedBody + "whole", 11 * leavingTime, false, true},
		{"before its time is over", "/draft/1", undelimitedStream + event(1), 0, false, false},
		{"the host stood still", "/draft/1", undelimitedStream + event(1), 2 * leavingTime, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			h.opts.LeavingTime = leavingTime
			s := h.useHeldServers(t, 1)
			c := h.hold(t, s, 6, tc.path, tc.answer)
			h.listLeaving(s, 0)
			time.Sleep(tc.served)
			if tc.stoodStill {
				h.pulse.beat(time.Now().Add(-time.Second))
			}
			s.end()
			for i, got := range c.responses {
				if res := <-got; (res.status == http.StatusOK && res.complete) != tc.complete {
					t.Errorf("the caller of call %d got %+v, want a complete answer: %v", i, res, tc.complete)
				}
			}
		})
	}
}

// TestAnswersOfServersThatAreTakenAwayAreNotComplete guards against a part of an answer that looks whole:
// it was the only one of a server that was taken away at the time that the list had named. One that
// ends well before that, with the last bytes, or goes on after it has ended in order.
func TestAnswersOfServersThatAreTakenAwayAreNotComplete(t *testing.T) {
	const lag = 100 * time.Millisecond
	for _, tc := range []struct {
		name, path, beginning, rest string
		leavesIn, endsIn            time.Duration
		complete                    bool
	}{
		{"a body, at its time", "/look/1", undelimitedBody + "ha", "", 200 * time.Millisecond, 200 * time.Millisecond, false},
		{"a stream, at its time", "/draft/1", undelimitedStream + event(1), "", 200 * time.Millisecond, 200 * time.Millisecond, false},
		{"a body, some time before", "/look/1", undelimitedBody + "ha", "", 2 * time.Second, 200 * time.Millisecond, false},
		{"a whole body, well before", "/look/1", undelimitedBody + "wh", "ole", 2 * time.Second, 0, true},
		{"a whole body, long after", "/look/1", undelimitedBody + "whole", "", time.Millisecond, 700 * time.Millisecond, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			h.opts.NoticeLag = lag
			s := h.useHeldServers(t, 1)
			c := h.hold(t, s, 1, tc.path, tc.beginning)
			h.listLeaving(s, tc.leavesIn)
			time.Sleep(tc.endsIn)
			s.refuse()
			endWith(t, c.conns[0], tc.rest)
			s.end()
			if res := <-c.responses[0]; (res.status == http.StatusOK && res.complete) != tc.complete {
				t.Errorf("the caller got %+v, want a complete answer: %v", res, tc.complete)
			}
		})
	}
}
