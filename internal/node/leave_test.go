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

// TestLastCountsTakeAnotherWay stops a host that reaches no leader: its counts are
// reported all the same, by way of a keeper that does not lead.
func TestLastCountsTakeAnotherWay(t *testing.T) {
	s := newSystem(t)
	s.startKeepers(true)
	s.put(keeperA, standin.Document(1, `["k1"]`))
	cfg := s.settings(entryA, false)
	e := newEntry(cfg, Options{Log: slog.New(slog.DiscardHandler)})
	t.Cleanup(e.messenger.Close)
	s.await("a leader is found", func() bool {
		e.syncOrSearch(t.Context())
		return e.leader.Load() != nil
	})
	leader := *e.leader.Load()
	others := slices.DeleteFunc(e.contacts.list(), func(h identifier.Host) bool { return cfg.PeerAddress(h) == leader })
	e.contacts.setSeeds(nil)
	e.contacts.setKeepers(others)
	unreachable := "127.7.0.9:1"
	e.leader.Store(&unreachable)

	now := e.steps.Now()
	e.meter.Begin("foodbank", now)
	e.handOver()
	window := describer.WindowAt(now, cfg.Bounds.Window)
	s.await("the count is reported", func() bool {
		return strings.Contains(s.cloud.Reports()[strconv.Itoa(int(window))], `"foodbank":1`)
	})
}

// TestLeftCountsAreKept checks that counts that no leader took are kept for a
// while, up to a bound.
func TestLeftCountsAreKept(t *testing.T) {
	var l leftCounts
	now := time.Unix(1000, 0)
	for range maxLeft + 1 {
		l.add(leftCount{at: now})
	}
	taken := l.take(now.Add(leftFor - 1))
	if len(taken) != maxLeft {
		t.Errorf("%d are passed on, want %d", len(taken), maxLeft)
	}
	l.add(taken[0])
	if n := len(l.take(now.Add(leftFor - 1))); n != 1 {
		t.Errorf("%d are kept for the next try, want 1", n)
	}
	l.add(taken[0])
	if n := len(l.take(now.Add(leftFor))); n != 0 {
		t.Errorf("%d are passed on too late", n)
	}
}

// TestHandOverBesideASync stops a host in the middle of a sync: both tell the use
// that no leader has been told yet, one after the other.
func TestHandOverBesideASync(t *testing.T) {
	s := newSystem(t)
	e := newEntry(s.settings(entryA, false), Options{Log: slog.New(slog.DiscardHandler)})
	t.Cleanup(e.messenger.Close)
	e.contacts.setSeeds(nil)
	unreachable := "127.7.0.9:1"
	var both sync.WaitGroup
	for _, f := range []func(){e.handOver, func() { e.syncInTime(t.Context()) }} {
		both.Go(func() {
			for range 20 {
				e.leader.Store(&unreachable)
				f()
			}
		})
	}
	both.Wait()
}
