package relayer

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/timer"
)

const (
	// slack is the time of a poll, a dial and the jitter of probes.
	slack = poll + dialTimeout + 50*time.Millisecond
	// believedWithin is how soon a host knows that it is cut off, from its first
	// attempt without a byte.
	believedWithin = time.Second
	// maxProbesPerSecond bounds the probes of any second: five rounds start in it at
	// most, or probes of a host that is cut off instead of some.
	maxProbesPerSecond = 5 * roundProbes
)

// history is a simulation in which the ways to servers change at random, with what
// must hold.
type history struct {
	*simulation
	// changedAt is when a way changed last.
	changedAt time.Time
	broken    string
}

// drawHistory draws a host with its calls.
func drawHistory(t *rapid.T) *history {
	h := &history{simulation: newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 12).Draw(t, "servers"))}
	h.changedAt = h.start
	h.firstByte = time.Duration(rapid.IntRange(1, 3000).Draw(t, "first byte")) * time.Millisecond
	h.interval = time.Duration(rapid.IntRange(5, 2000).Draw(t, "interval")) * time.Millisecond
	if rapid.Bool().Draw(t, "fresh") {
		clear(h.pooled)
	}
	h.callRegularly()
	h.step = h.check
	return h
}

// change changes the ways to servers.
func (h *history) change(t *rapid.T, ways ...way) {
	h.changedAt = h.Now()
	for _, id := range h.servers {
		h.set(rapid.SampledFrom(ways).Draw(t, string(id)), id)
	}
}

// run lets time pass until the next change.
func (h *history) run(t *rapid.T) {
	h.RunUntil(h.Now().Add(time.Duration(rapid.IntRange(50, 6000).Draw(t, "length")) * time.Millisecond))
	if h.broken != "" {
		t.Fatalf("%s at %v:\n%s", h.broken, h.Now().Sub(h.start), h.out.String())
	}
}

// check checks what must hold at any time.
func (h *history) check() {
	now := h.Now()
	if n := countSince(h.probed, now.Add(-time.Second)); n > maxProbesPerSecond {
		h.broken = fmt.Sprintf("%d probes in a second", n)
	}
	stable, isCut, opening := now.Sub(h.changedAt), h.reach.IsCut(simService), h.opening()
	// Each server that opens no connection may be probed twice before one that does:
	// in the rotation that was under way at the change, and in the next one.
	healed := time.Duration(1+2*(len(h.servers)-opening))*probeInterval*11/10 + slack
	if opening > 0 && isCut && stable > healed {
		h.broken = fmt.Sprintf("still cut off %v after %d servers could be reached", stable, opening)
	}
	if first := h.firstAttempt(); h.allCut() && !isCut && !first.IsZero() && now.Sub(first) > believedWithin {
		h.broken = "the cut is not known in time"
	}
}

// countSince returns the number of times after from; they are in order.
func countSince(times []time.Time, from time.Time) int {
	n := 0
	for n < len(times) && times[len(times)-1-n].After(from) {
		n++
	}
	return n
}

// allCut reports whether no server opens connections or answers.
func (h *history) allCut() bool {
	for _, w := range h.ways {
		if w.opens() || w.answers() {
			return false
		}
	}
	return true
}

// firstAttempt returns the time of the first attempt since the last change, or zero.
// What dials before it brought is in by then.
func (h *history) firstAttempt() time.Time {
	if n := countSince(h.begun, h.changedAt.Add(trip)); n > 0 {
		return h.begun[len(h.begun)-n]
	}
	return time.Time{}
}

// TestBeliefFollowsConnections plays any changes of the ways to servers: a host knows
// within a second of its first attempt that it is cut off, and at the next probe that
// it is not, with few probes at any time.
func TestBeliefFollowsConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				h.change(t, up)
			case 1:
				h.change(t, hang)
			case 2:
				h.change(t, reset)
			default:
				h.change(t, up, hang, reset, refuse, silent, unheard)
			}
			h.run(t)
		}
	})
}

// TestFewDeadServersAreNoCut plays two servers of at least three that fail in any way
// while the others open connections: the host never believes that it is cut off.
func TestFewDeadServersAreNoCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		if len(h.servers) < roundProbes {
			t.Skip("too few servers")
		}
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			h.set(rapid.SampledFrom([]way{up, silent}).Draw(t, "others"), h.servers[2:]...)
			h.set(rapid.SampledFrom([]way{hang, reset, refuse, unheard}).Draw(t, "way"), h.servers[:2]...)
			h.run(t)
			if h.relayed > 0 || h.reach.IsCut(simService) {
				t.Fatalf("cut off:\n%s", h.out.String())
			}
		}
	})
}

// TestProbesAreBounded plays any evidence and any results of probes: the probes of a
// second are bounded, whatever the host believes.
func TestProbesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := timer.NewManual(time.Unix(1000, 0))
		r := NewReach(clock, nil)
		servers := newSimulation(1, rapid.IntRange(1, 12).Draw(t, "servers")).servers
		var made []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			clock.Advance(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			for range rapid.IntRange(0, 4).Draw(t, "attempts") {
				a := r.Begin(simService, rapid.SampledFrom(servers).Draw(t, "server"))
				end := []func(){a.Answered, a.Failed, a.DialFailed, a.DialFailed, a.End, func() { a.Dialed() }, func() {}}
				rapid.SampledFrom(end).Draw(t, "end")()
			}
			for _, p := range r.Due(map[identifier.Service][]identifier.BackendServer{simService: servers}) {
				made = append(made, clock.Now())
				if back := rapid.IntRange(0, 9).Draw(t, "result"); back > 0 {
					r.Probed(p, back > 7)
				}
			}
			if n := countSince(made, clock.Now().Add(-time.Second)); n > maxProbesPerSecond {
				t.Fatalf("%d probes in a second", n)
			}
		}
	})
}

// TestReachForgets checks that a Reach keeps nothing of services and servers that are
// no longer listed.
func TestReachForgets(t *testing.T) {
	r := NewReach(timer.NewManual(time.Unix(1000, 0)), nil)
	for i := range 100 {
		id := identifier.BackendServer(fmt.Sprint("s", i))
		r.Begin("model", id).DialFailed()
		r.Begin("desk", id).Failed()
	}
	r.Due(map[identifier.Service][]identifier.BackendServer{"model": {"s1", "new"}, "desk": nil})
	c := r.services["model"]
	if len(r.services) != 1 || len(c.failed) != 1 || len(c.refused) != 1 || len(c.down) != 1 {
		t.Errorf("%d services, %v failed, %v refused, %v down", len(r.services), c.failed, c.refused, c.down)
	}
}

// TestCutEndsWithoutServers checks that a service without listed servers is not cut.
func TestCutEndsWithoutServers(t *testing.T) {
	s := newSimulation(1, 3)
	s.set(reset, s.servers...)
	s.call([]int{0, 1, 2})
	s.RunUntil(s.start.Add(time.Second))
	if cut := s.reach.Cut(); len(cut) != 1 || cut[0] != simService {
		t.Fatalf("cut: %v, want the service", cut)
	}
	if due := s.reach.Due(nil); len(due) > 0 || s.reach.IsCut(simService) || len(s.reach.Cut()) > 0 {
		t.Errorf("without servers: probes %v, cut %v", due, s.reach.Cut())
	}
}

// TestLostProbesAreForgotten checks that a round whose probes do not come back is out
// for two seconds, and not for good.
func TestLostProbesAreForgotten(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	r := NewReach(clock, nil)
	r.Begin("model", "s1").DialFailed()
	r.Begin("model", "s2").DialFailed()
	var rounds []time.Duration
	for at := time.Duration(0); at < 5*time.Second; at += poll {
		if len(r.Due(map[identifier.Service][]identifier.BackendServer{"model": {"s1", "s2"}})) > 0 {
			rounds = append(rounds, at)
		}
		clock.Advance(poll)
	}
	if want := fmt.Sprint([]time.Duration{0, roundMaxAge, 2 * roundMaxAge}); fmt.Sprint(rounds) != want {
		t.Errorf("rounds at %v, want %s", rounds, want)
	}
}

// TestAttemptEndsOnce checks that only the first outcome of an attempt counts.
func TestAttemptEndsOnce(t *testing.T) {
	r := NewReach(timer.NewManual(time.Unix(1000, 0)), nil)
	a, b := r.Begin("model", "s1"), r.Begin("model", "s2")
	a.Failed()
	b.End()
	b.Failed()
	b.DialFailed()
	a.Answered()
	if c := r.services["model"]; len(c.failed) != 1 || len(c.refused) > 0 || len(c.waiting) > 0 {
		t.Errorf("failed %v, refused %v, %d waiting", c.failed, c.refused, len(c.waiting))
	}
}

// TestDialsFailWhileAnswersArrive checks that answers over open connections excuse
// attempts that failed, but not dials.
func TestDialsFailWhileAnswersArrive(t *testing.T) {
	servers := map[identifier.Service][]identifier.BackendServer{"model": {"s1", "s2", "s3", "s4"}}
	for name, fail := range map[string]func(*Attempt){"failed": (*Attempt).Failed, "dial failed": (*Attempt).DialFailed} {
		r := NewReach(timer.NewManual(time.Unix(1000, 0)), nil)
		var probes []int
		for _, id := range servers["model"][:3] {
			fail(r.Begin("model", id))
			r.Begin("model", "s4").Answered()
			probes = append(probes, len(r.Due(servers)))
		}
		want := []int{0, 0, 0}
		if name == "dial failed" {
			want[2] = roundProbes
		}
		if diff := cmp.Diff(want, probes); diff != "" {
			t.Errorf("%s: probes differ (-want +got):\n%s", name, diff)
		}
	}
}

// TestConcurrentUse uses a Reach from many goroutines, for the race detector.
func TestConcurrentUse(t *testing.T) {
	r := NewReach(timer.System{}, nil)
	servers := map[identifier.Service][]identifier.BackendServer{"model": {"s1", "s2", "s3"}}
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for n := range 200 {
				a := r.Begin("model", servers["model"][(i+n)%3])
				for _, p := range r.Due(servers) {
					r.Probed(p, n%2 == 0)
				}
				switch n % 4 {
				case 0:
					a.Dialed()
					a.Answered()
				case 1:
					a.DialFailed()
				case 2:
					a.Failed()
				default:
					a.End()
				}
				_, _ = r.IsCut("model"), r.Cut()
			}
		})
	}
	wg.Wait()
}

// TestConnectionEndsRoundBetweenProbes opens a connection for an attempt after the first
// probe of a round has failed and before the others are made: the round is over, and
// the next evidence begins another one at once.
func TestConnectionEndsRoundBetweenProbes(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	r := NewReach(clock, nil)
	servers := map[identifier.Service][]identifier.BackendServer{"model": {"s1", "s2", "s3", "s4"}}
	r.Begin("model", "s1")
	clock.Advance(silence)
	first := r.Due(servers)
	r.Probed(first[0], false)
	r.Begin("model", "s1").Dialed()
	rest := r.Due(servers)
	clock.Advance(roundInterval)
	for _, id := range servers["model"] {
		r.Begin("model", id).DialFailed()
	}
	if next := r.Due(servers); len(first) != 1 || len(rest) > 0 || len(next) != roundProbes {
		t.Errorf("probes %v, after the connection %v, after failures %v", first, rest, next)
	}
}
