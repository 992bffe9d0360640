package node

import (
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/platform/standin"
)

// TestFinalCountsGoThroughFollower stops a host that cannot reach the leader.
// Its counts must still be reported, through a keeper that does not lead.
func TestFinalCountsGoThroughFollower(t *testing.T) {
	s := newSystem(t)
	s.startKeepers(true)
	s.put(keeperA, standin.Document(1, `["k1"]`))
	cfg := s.settings(entryA, false)
	e := newEntry(cfg, Options{Log: slog.New(slog.DiscardHandler)})
	t.Cleanup(e.messenger.Close)
	s.await("host finds the leader", func() bool {
		e.syncOrSearch(t.Context())
		return e.leader.Load() != nil
	})
	leader := *e.leader.Load()
	others := slices.DeleteFunc(e.contacts.list(), func(h identifier.Host) bool { return cfg.PeerAddress(h) == leader })
	e.contacts.setSeeds(nil)
	e.contacts.setKeepers(others)
	unreachable := "127.7.0.9:1"
	e.leader.Store(&unreachable)

	now := e.clock.Now()
	e.meter.Begin("foodbank", now)
	e.sendFinalCounts()
	window := describer.WindowAt(now, cfg.Bounds.Window)
	s.await("final count is reported", func() bool {
		return strings.Contains(s.cloud.Reports()[strconv.Itoa(int(window))], `"foodbank":1`)
	})
}

// TestFinalCountsAreRetained checks that counts that no leader took are
// retained up to maxFinalCounts and for finalCountsRetention.
func TestFinalCountsAreRetained(t *testing.T) {
	var l finalCountsQueue
	now := time.Unix(1000, 0)
	for range maxFinalCounts + 1 {
		l.add(finalCounts{at: now})
	}
	taken := l.take(now.Add(finalCountsRetention - 1))
	if len(taken) != maxFinalCounts {
		t.Errorf("%d final counts are forwarded, want %d", len(taken), maxFinalCounts)
	}
	l.add(taken[0])
	if n := len(l.take(now.Add(finalCountsRetention - 1))); n != 1 {
		t.Errorf("%d final counts are kept for the next attempt, want 1", n)
	}
	l.add(taken[0])
	if n := len(l.take(now.Add(finalCountsRetention))); n != 0 {
		t.Errorf("%d final counts are forwarded after their retention, want 0", n)
	}
}

// TestFinalCountsDuringSync stops a host while it syncs. Both operations read
// and update the use that has not been reported, so they must not overlap.
func TestFinalCountsDuringSync(t *testing.T) {
	s := newSystem(t)
	e := newEntry(s.settings(entryA, false), Options{Log: slog.New(slog.DiscardHandler)})
	t.Cleanup(e.messenger.Close)
	e.contacts.setSeeds(nil)
	unreachable := "127.7.0.9:1"
	var both sync.WaitGroup
	for _, f := range []func(){e.sendFinalCounts, func() { e.syncWithTimeout(t.Context()) }} {
		both.Go(func() {
			for range 20 {
				e.leader.Store(&unreachable)
				f()
			}
		})
	}
	both.Wait()
}
