package claimer

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/timer"
)

// steppedTable checks that each step of the clock covers no time before the
// step that took effect before it.
type steppedTable struct {
	table   Table
	clock   *timer.Manual
	stepped time.Time
}

// apply applies an entry.
func (s *steppedTable) apply(t *rapid.T, entry []byte) {
	shown, last := s.table.now, s.table.last
	s.table.Apply(1, entry)
	if s.table.last == last {
		return
	}
	now := s.clock.Now()
	if step, passed := s.table.now-shown, now.Sub(s.stepped); step > passed {
		t.Fatalf("the claims' clock moved by %v in %v", step, passed)
	}
	s.stepped = now
}

// TestClaimClockNeverRunsAhead moves the clock by two replicas, each of which
// may believe to lead for longer than it does, while entries and answers are
// lost, and entries are repeated and committed late, after the next leader's.
func TestClaimClockNeverRunsAhead(t *testing.T) {
	moved := false
	rapid.Check(t, func(t *rapid.T) {
		clock := timer.NewManual(testStart)
		s := &steppedTable{clock: clock, stepped: testStart}
		var delayed [][]byte
		believed := [2]identifier.Term{1, 0}
		leader := 0
		propose := func(i int, entry []byte) error {
			delayed = append(delayed, entry)
			fate := rapid.IntRange(0, 5).Draw(t, "fate")
			if i != leader || fate == 0 {
				return errors.New("the entry waits or is lost")
			}
			s.apply(t, entry)
			clock.Advance(time.Duration(rapid.IntRange(0, 100).Draw(t, "answer")) * time.Millisecond)
			if fate == 1 {
				return errLost
			}
			return nil
		}
		replicas := make([]*Advancer, 2)
		for i := range replicas {
			replicas[i] = &Advancer{
				Clock:   clock,
				Leads:   func() (identifier.Term, bool) { return believed[i], believed[i] > 0 },
				Propose: func(_ context.Context, entry []byte) error { return propose(i, entry) },
			}
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"wait", "advance", "advance", "late", "elect"}).Draw(t, "op") {
			case "wait":
				clock.Advance(time.Duration(rapid.IntRange(0, 90_000).Draw(t, "ms")) * time.Millisecond)
			case "advance":
				replicas[rapid.IntRange(0, 1).Draw(t, "replica")].advance(t.Context())
			case "late":
				if n := len(delayed); n > 0 {
					s.apply(t, rapid.SampledFrom(delayed[max(0, n-4):]).Draw(t, "entry"))
				}
			case "elect":
				leader = 1 - leader
				believed[leader] = max(believed[0], believed[1]) + 1
			}
			moved = moved || s.table.now > 0
		}
	})
	if !moved {
		t.Error("the claims' clock never moved")
	}
}

func TestAdvancerKeepsPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &tableProposer{}
		ctx, cancel := context.WithCancel(t.Context())
		a := &Advancer{
			Clock: timer.System{},
			Leads: func() (identifier.Term, bool) { return 1, true },
			Propose: func(ctx context.Context, entry []byte) error {
				_, err := p.Propose(ctx, 0, entry)
				return err
			},
		}
		go a.Run(ctx)
		time.Sleep(time.Hour)
		synctest.Wait()
		p.mu.Lock()
		shown := p.table.now
		p.mu.Unlock()
		if lag := time.Hour - shown; lag < 0 || lag > 2*AdvanceInterval {
			t.Errorf("after an hour the claims' clock shows %v", shown)
		}
		cancel()
		synctest.Wait()
	})
}
