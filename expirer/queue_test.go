package expirer

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestQueueTakesWhoWaitedLongest plays connections that open, wait, work and close. The one
// that is taken must wait, and none may have waited longer.
func TestQueueTakesWhoWaitedLongest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, next, conns := time.Unix(0, 0), 0, make(map[int]time.Time) // The zero time is that of a busy one.
		since := func(c int) (time.Time, bool) { return conns[c], !conns[c].IsZero() }
		var q queue[int]
		draw := func(t *rapid.T) int {
			if len(conns) == 0 {
				t.Skip("no connection")
			}
			return rapid.SampledFrom(slices.Sorted(maps.Keys(conns))).Draw(t, "connection")
		}
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(0, 10).Draw(t, "passed"))) },
			"open": func(t *rapid.T) {
				for range rapid.IntRange(1, queueSize).Draw(t, "connections") {
					conns[next] = now
					next++
				}
			},
			"work":  func(t *rapid.T) { conns[draw(t)] = time.Time{} },
			"wait":  func(t *rapid.T) { conns[draw(t)] = now },
			"close": func(t *rapid.T) { delete(conns, draw(t)) },
			"take": func(t *rapid.T) {
				c, ok := q.take(maps.Keys(conns), since)
				taken, waits := since(c)
				if ok != waits && ok {
					t.Fatalf("connection %d is taken and does not wait", c)
				}
				for other, at := range conns {
					if !at.IsZero() && (!ok || at.Before(taken)) {
						t.Fatalf("connection %d waits since %v, and %d was taken (%v), which waits since %v", other, at, c, ok, taken)
					}
				}
				delete(conns, c)
			},
		})
	})
}

// TestCapacityKeepsSome guards against a capacity in which the first connection has no
// place, or in which the last one can be taken with no room made.
func TestCapacityKeepsSome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := capacity(rapid.Int64Range(0, 1<<40).Draw(t, "capacity"))
		n := rapid.Int64Range(0, 1<<41).Draw(t, "amount")
		if c == 0 && (c.exceededBy(n) || c.needsRoom(n)) {
			t.Fatal("what has no bound is full")
		}
		if c > 0 && (c.exceededBy(n) != (n > int64(c)) || n >= int64(c) && !c.needsRoom(n) || n <= int64(c)/2 && n > 0 && c > 1 && c.needsRoom(n)) {
			t.Fatalf("%d of %d: exceeded %v, needs room %v", n, c, c.exceededBy(n), c.needsRoom(n))
		}
	})
}
