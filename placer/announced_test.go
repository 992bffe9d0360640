package placer

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamenhub.org/announcer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/timer"
)

// expected is what a server has announced, as the test reckons it.
type expected struct {
	isLeaving, paused bool
	pausedUntil       time.Time
	// probes is the number of calls under way that began after a pause.
	probes int
}

// TestAnnouncementsAreObeyed plays random calls and announcements: a server that
// leaves gets no call, one in a pause none before its end, and after it one at a
// time until one has succeeded.
func TestAnnouncementsAreObeyed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := timer.NewManual(time.Unix(1000, 0))
		p := New(Options{Clock: clock, Random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))})
		want := make(map[identifier.BackendServer]*expected)
		var servers []Server
		for _, id := range []identifier.BackendServer{"a", "b", "c"} {
			servers = append(servers, Server{ID: id, Service: "model", Version: "v1", Engine: true, Slots: 64})
			want[id] = &expected{}
		}
		p.Publish(servers)
		isProbe := make(map[*Choice]bool)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			clock.Advance(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			c, err := p.Choose(Request{Service: "model", Version: "v1", Prompt: 100, Output: 10})
			if err != nil {
				continue
			}
			w := want[c.Server]
			switch {
			case w.isLeaving:
				t.Fatalf("%s is chosen, which leaves", c.Server)
			case clock.Now().Before(w.pausedUntil):
				t.Fatalf("%s is chosen %v before the end of its pause", c.Server, w.pausedUntil.Sub(clock.Now()))
			case w.paused && w.probes > 0:
				t.Fatalf("%s gets a second call before one has succeeded after its pause", c.Server)
			}
			if w.paused {
				isProbe[c] = true
				w.probes++
			}
			answer(t, clock, c, w, isProbe[c])
		}
	})
}

// answer plays the response to a call, if there is one now.
func answer(t *rapid.T, clock timer.Clock, c *Choice, w *expected, isProbe bool) {
	end := func(o Outcome) {
		c.End(o)
		if isProbe {
			w.probes--
			w.paused = w.paused && o != Succeeded
		}
	}
	switch rapid.SampledFrom([]string{"pending", "success", "success", "pause", "leaving", "failure"}).Draw(t, "answer") {
	case "success":
		c.RecordLeaving(false)
		c.FirstContent()
		end(Succeeded)
	case "pause":
		d := time.Duration(rapid.IntRange(1, 5000).Draw(t, "pause")) * time.Millisecond
		c.RecordPause(d)
		if until := clock.Now().Add(d); until.After(w.pausedUntil) {
			w.pausedUntil = until
		}
		end(Full)
		w.paused = true
	case "leaving":
		c.RecordLeaving(true)
		w.isLeaving = true
		end(Succeeded)
	case "failure":
		end(Failed)
	}
}

// TestAllServersPaused checks that a call is refused with the earliest end of the
// pauses, and that a server that has started anew takes calls.
func TestAllServersPaused(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	p := New(Options{Clock: clock})
	servers := []Server{{ID: "a", Service: "cases", Version: "v1", Slots: 4}, {ID: "b", Service: "cases", Version: "v1", Slots: 4}}
	p.Publish(servers)
	r := Request{Service: "cases", Version: "v1"}
	for _, d := range []time.Duration{8 * time.Second, 2 * time.Second} {
		c := place(t, p, r)
		c.RecordPause(d)
		c.End(Full)
	}
	_, err := p.Choose(r)
	var none *NoServerError
	if !errors.As(err, &none) || none.Paused != 2 || none.Wait < 2*time.Second || none.Wait > 2*time.Second+2*time.Second/pauseJitterDivisor {
		t.Fatalf("error %v, want two paused servers and a wait of 2 s or a little more", err)
	}
	servers[0].Incarnation = 1
	p.Publish(servers)
	if c := place(t, p, r); c.Server != "a" {
		t.Errorf("%s is chosen, want the server that has started anew", c.Server)
	}
}

// TestLeavingEndsWithNewerResponse checks that a server that no longer announces
// that it leaves takes calls again, but not after a response that was overtaken.
func TestLeavingEndsWithNewerResponse(t *testing.T) {
	f := newFleet(1, 1)
	c := place(t, f.hosts[0], longPrompt("a"))
	c.RecordLeaving(true)
	c.RecordLeaving(false)
	if _, err := f.hosts[0].Choose(longPrompt("a")); err == nil {
		t.Error("the server is chosen after a response that was overtaken")
	}
	f.clock.Advance(announcer.EndMargin + 1)
	c.RecordLeaving(false)
	place(t, f.hosts[0], longPrompt("a"))
}
