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

// clockCheckedTable checks that each step advances the table's clock by no more
// than the real time since the previous step that took effect.
type clockCheckedTable struct {
	table    Table
	clock    *timer.Manual
	lastStep time.Time
}

// apply applies an entry and checks the step if the entry takes effect.
func (s *clockCheckedTable) apply(t *rapid.T, entry []byte) {
	clockBefore, lastAdvance := s.table.now, s.table.lastAdvance
	s.table.Apply(entry)
	if s.table.lastAdvance == lastAdvance {
		return
	}
	now := s.clock.Now()
	if step, passed := s.table.now-clockBefore, now.Sub(s.lastStep); step > passed {
		t.Fatalf("the table's clock advanced by %v within %v of real time", step, passed)
	}
	s.lastStep = now
}

// TestClaimClockNeverFasterThanRealTime advances the clock from two replicas
// while entries and answers are lost and entries are repeated or committed
// late, after those of the next leader. A deposed leader may still consider
// itself the leader.
func TestClaimClockNeverFasterThanRealTime(t *testing.T) {
	moved := false
	rapid.Check(t, func(t *rapid.T) {
		clock := timer.NewManual(testStart)
		s := &clockCheckedTable{clock: clock, lastStep: testStart}
		var delayed [][]byte
		leaderTerms := [2]identifier.Term{1, 0}
		leader := 0
		propose := func(i int, entry []byte) error {
			delayed = append(delayed, entry)
			fate := rapid.IntRange(0, 5).Draw(t, "fate")
			if i != leader || fate == 0 {
				return errors.New("the entry is delayed or lost")
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
				Clock:      clock,
				LeaderTerm: func() (identifier.Term, bool) { return leaderTerms[i], leaderTerms[i] > 0 },
				Propose:    func(_ context.Context, entry []byte) error { return propose(i, entry) },
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
				leaderTerms[leader] = max(leaderTerms[0], leaderTerms[1]) + 1
			}
			moved = moved || s.table.now > 0
		}
	})
	if !moved {
		t.Error("the table's clock never advanced")
	}
}

func TestAdvancerKeepsUpWithRealTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &tableProposer{}
		ctx, cancel := context.WithCancel(t.Context())
		a := &Advancer{
			Clock:      timer.System{},
			LeaderTerm: func() (identifier.Term, bool) { return 1, true },
			Propose: func(ctx context.Context, entry []byte) error {
				_, err := p.Propose(ctx, 0, entry)
				return err
			},
		}
		go a.Run(ctx)
		time.Sleep(time.Hour)
		synctest.Wait()
		p.mu.Lock()
		got := p.table.now
		p.mu.Unlock()
		if lag := time.Hour - got; lag < 0 || lag > 2*AdvanceInterval {
			t.Errorf("after an hour the table's clock reads %v", got)
		}
		cancel()
		synctest.Wait()
	})
}
