package placer

import (
	"testing"
	"time"

	"cyclamenhub.org/identifier"
)

// TestPlainServerMeasuredSlowIsMeasuredAgain guards against a server that gets no call
// any more since one was slow, while others are idle.
func TestPlainServerMeasuredSlowIsMeasuredAgain(t *testing.T) {
	const usual, between, within = 10 * time.Millisecond, 50 * time.Millisecond, 30 * time.Second
	for _, tc := range []struct {
		slow  time.Duration
		isFar bool
	}{{2 * usual, false}, {10 * usual, false}, {100 * usual, false}, {100 * usual, true}} {
		f := newPlainPool(t, usual, tc.slow, usual)
		f.call("s0", "s2")
		f.takes["s1"] = usual
		f.p.servers["s1"].FailureDomain = map[bool]identifier.FailureDomain{true: "far"}[tc.isFar]
		since, isMeasured := f.clock.Now(), false
		for !isMeasured && f.clock.Now().Sub(since) < within {
			f.clock.Advance(between)
			server, _ := f.call()
			isMeasured = server == "s1"
		}
		if !isMeasured {
			t.Errorf("a server whose one call took %v gets no other one within %v (far: %v)", tc.slow, within, tc.isFar)
		}
	}
}

// TestTrialsCostLittle checks that calls at servers that stay slow add little to the
// time of all calls, at rare and at frequent calls.
func TestTrialsCostLittle(t *testing.T) {
	const usual, calls, most = 10 * time.Millisecond, 3000, 1.1
	for _, between := range []time.Duration{time.Millisecond, 100 * time.Millisecond, 20 * time.Second} {
		for _, factor := range []int{2, 5, 9} {
			slow := time.Duration(factor) * usual
			f := newPlainPool(t, usual, slow, slow, usual)
			var sum time.Duration
			for range calls {
				f.clock.Advance(between)
				_, took := f.call()
				sum += took
			}
			if got := float64(sum) / float64(calls*usual); got > most {
				t.Errorf("a call each %v beside servers %d times as slow: calls take %.2f of the usual time, want %.2f at most", between, factor, got, most)
			}
		}
	}
}

// TestFailingPlainServerIsNotTriedSooner checks that a server whose calls fail gets few
// of them, as old as the measurement of its speed may be.
func TestFailingPlainServerIsNotTriedSooner(t *testing.T) {
	const usual, between, length, most = 5 * time.Millisecond, 100 * time.Millisecond, 10 * time.Minute, 40
	f := newPlainPool(t, usual, usual, usual)
	f.call("s0", "s2")
	failed := 0
	for since := f.clock.Now(); f.clock.Now().Sub(since) < length; f.clock.Advance(between) {
		c := place(t, f.p, Request{Service: "cases", Version: "v1"})
		if c.Server == "s1" {
			failed++
			c.End(Failed)
			continue
		}
		f.clock.Advance(usual)
		c.FirstContent()
		c.End(Succeeded)
	}
	if failed == 0 || failed > most {
		t.Errorf("%d calls go to a server that fails all of them, want 1 to %d in %v", failed, most, length)
	}
}
