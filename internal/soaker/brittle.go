package soaker

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/platform/standin"
)

const (
	// waitingRoom is the number of calls that a backend server lets wait until it has been
	// brittle for contact. It is more than there are callers.
	waitingRoom = 100
	// fallDowntime is how long a server that fell over refuses connections.
	fallDowntime = 2500 * time.Millisecond
	// crowdCount is the number of callers that come while servers are brittle. With the
	// others they are more than the slots of all servers.
	crowdCount = 60
	// crowdPause is the pause of such a caller after a call that failed.
	crowdPause = 150 * time.Millisecond
)

// injectBrittle makes all backend servers brittle. From contact later they let fewer calls
// wait.
func (s *soak) injectBrittle(ctx context.Context, f Fault) {
	ctx, cancel := context.WithCancel(ctx)
	var crowd sync.WaitGroup
	for n := range crowdCount {
		crowd.Go(func() { s.runCaller(ctx, callerCount+resumerCount+n) })
	}
	for _, b := range s.servers {
		b.SetBrittle(f.Survives)
	}
	time.Sleep(contact)
	for _, b := range s.servers {
		b.Shrink(f.Room)
	}
	time.Sleep(f.Duration - contact)
	cancel()
	crowd.Wait()
	for i, b := range s.servers {
		for _, at := range b.Falls() {
			if i < len(s.links) {
				s.ledger.recordSpan(span{Fault{Kind: Fall, Target: i}, at, at.Add(fallDowntime)})
			}
		}
		b.Shrink(waitingRoom)
		b.SetNotBrittle()
	}
}

// isInTouch reports whether a host was not cut off, had no fault of its own and a majority
// of the keepers had none, since contact before at.
func (s *soak) isInTouch(host int, at time.Time) bool {
	faulted := make(map[int]struct{})
	for _, f := range s.ledger.spans {
		switch {
		case !f.overlaps(at.Add(-contact), at):
		case f.isCut() && slices.Contains(f.Hosts, host), f.Kind.targetsProcess() && f.Target == len(s.keepers)+host:
			return false
		case f.Kind.targetsProcess() && f.Target < len(s.keepers):
			faulted[f.Target] = struct{}{}
		}
	}
	return 2*len(faulted) < len(s.keepers)
}

// isFromTouch reports whether a call came to the backend servers at a time from hosts in
// touch alone.
func (s *soak) isFromTouch(id identifier.RequestID, at time.Time) (found bool) {
	for h, e := range s.entries {
		if !e.gate.saw(id) {
			continue
		}
		if !s.isInTouch(h, at) {
			return false
		}
		found = true
	}
	return found
}

// checkBrittle checks that brittle servers did not fall over too often by calls of hosts
// in touch, and that such hosts went on to serve calls.
func (s *soak) checkBrittle() {
	for _, c := range s.ledger.spans {
		if c.Kind != Brittle {
			continue
		}
		var falls []string
		var refused []standin.Refusal
		for i, b := range s.servers {
			refused = append(refused, b.Refused()...)
			for _, at := range b.Falls() {
				falls = append(falls, fmt.Sprintf("server %d after %.3f s of %v", i, at.Sub(c.from).Seconds(), s.refusedBefore(b, at)))
			}
		}
		s.checkFalls(falls, refused)
		s.checkServed(c)
	}
}

// refusedBefore returns the calls for which a server fell over, with the time since each
// was turned away and the hosts that sent it.
func (s *soak) refusedBefore(b *standin.BrittleServer, fall time.Time) (out []string) {
	for _, r := range b.Refused() {
		if age := fall.Sub(r.At); age < 0 || age >= time.Second {
			continue
		}
		var hosts []int
		for h, e := range s.entries {
			if e.gate.saw(r.Call) {
				hosts = append(hosts, h)
			}
		}
		out = append(out, fmt.Sprintf("%s -%d ms hosts %v", r.Call, fall.Sub(r.At).Milliseconds(), hosts))
	}
	return out
}

// checkFalls checks that servers fell over at most twice and a tenth of their number, if
// most of the refused calls came from hosts in touch.
func (s *soak) checkFalls(falls []string, refused []standin.Refusal) {
	inTouch := 0
	for _, r := range refused {
		if s.isFromTouch(r.Call, r.At) {
			inTouch++
		}
	}
	seen := fmt.Sprintf("%d falls, %d calls refused, %d from hosts in touch", len(falls), len(refused), inTouch)
	s.ledger.brittle = append(s.ledger.brittle, seen)
	if 10*len(falls) > 20+len(s.servers) && 2*inTouch > len(refused) {
		s.ledger.addViolation("brittle servers fall over too often: %s: %v", seen, falls)
	}
}

// checkServed checks that hosts in touch served calls in each period of contact.
func (s *soak) checkServed(c span) {
	for from := c.from; !from.Add(contact).After(c.to); from = from.Add(contact) {
		tries, served := 0, 0
		for _, t := range s.ledger.tries {
			if t.start.Before(from) || !t.end.Before(from.Add(contact)) || !s.isInTouch(t.host, t.start) || !s.isInTouch(t.host, t.end) {
				continue
			}
			tries++
			if t.outcome == fmt.Sprint(http.StatusOK) {
				served++
			}
		}
		s.ledger.brittle = append(s.ledger.brittle, fmt.Sprintf("%d of %d served", served, tries))
		if tries >= minCutTries && served == 0 {
			s.ledger.addViolation("hosts serve none of %d calls while servers are brittle", tries)
		}
	}
}
