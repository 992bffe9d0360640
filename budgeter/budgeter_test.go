package budgeter

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamenhub.org/timer"
)

// fixture is a budget of 100 bytes, of which large bodies may take 60.
type fixture struct {
	*Budget
	clock *timer.Manual
}

// newFixture returns an empty budget.
func newFixture() *fixture {
	clock := timer.NewManual(time.Unix(1000, 0))
	return &fixture{New(Options{Max: 100, Large: 60, Clock: clock}), clock}
}

// noDeadline is a body whose reads know no deadlines.
func noDeadline(time.Time) error { return nil }

// TestSmallBodiesPassWhileLargeOnesAreRefused checks the shares of the budget.
func TestSmallBodiesPassWhileLargeOnesAreRefused(t *testing.T) {
	f := newFixture()
	large, small := f.Open(noDeadline), f.Open(noDeadline)
	for _, step := range []struct {
		c       *Claim
		n       Bytes
		isLarge bool
		want    error
	}{
		{large, 60, true, nil}, {large, 1, true, ErrFull}, {small, 40, false, nil}, {small, 1, false, ErrFull},
	} {
		if err := step.c.Take(step.n, step.isLarge); !errors.Is(err, step.want) {
			t.Errorf("%d bytes, large %t: %v, want %v", step.n, step.isLarge, err, step.want)
		}
	}
	large.Release()
	large.Release()
	if err := small.Take(1, true); err != nil {
		t.Errorf("after the release: %v", err)
	}
}

// TestStillestBodyMakesRoom checks which body is ended: the one that has stood still longest,
// never one within the grace, and never one that is complete.
func TestStillestBodyMakesRoom(t *testing.T) {
	f := newFixture()
	var woken []string
	open := func(name string) *Claim {
		c := f.Open(func(at time.Time) error {
			if at.Equal(aLongTimeAgo) {
				woken = append(woken, name)
			}
			return nil
		})
		if err := c.Take(20, true); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		f.clock.Advance(Grace / 10)
		return c
	}
	complete, first, second := open("complete"), open("first"), open("second")
	if err := complete.Settle(); err != nil {
		t.Fatal(err)
	}
	late := f.Open(noDeadline)
	if err := late.Take(20, true); !errors.Is(err, ErrFull) {
		t.Errorf("within the grace: %v, want %v", err, ErrFull)
	}
	f.clock.Advance(Grace)
	if err := first.Await(time.Time{}); err != nil {
		t.Fatal(err)
	}
	if err := late.Take(20, true); err != nil {
		t.Errorf("a body that stands still makes no room: %v", err)
	}
	if len(woken) != 1 || woken[0] != "second" {
		t.Errorf("%v are woken, want second", woken)
	}
	if err := errors.Join(second.Take(1, false)); !errors.Is(err, ErrEnded) {
		t.Errorf("the ended body takes more: %v", err)
	}
	if err := second.Settle(); !errors.Is(err, ErrEnded) {
		t.Errorf("the ended body settles: %v", err)
	}
	if err := late.Take(20, true); !errors.Is(err, ErrFull) {
		t.Errorf("all others move or are complete: %v, want %v", err, ErrFull)
	}
}

// TestLargeBodiesMakeRoomForLargeOnes checks that no small body is ended if the share of
// large ones is full.
func TestLargeBodiesMakeRoomForLargeOnes(t *testing.T) {
	f := newFixture()
	small, large, next := f.Open(noDeadline), f.Open(noDeadline), f.Open(noDeadline)
	if err := errors.Join(small.Take(10, false), large.Take(60, true)); err != nil {
		t.Fatal(err)
	}
	f.clock.Advance(2 * Grace)
	if err := next.Take(60, true); err != nil {
		t.Error(err)
	}
	if err := errors.Join(small.Settle()); err != nil {
		t.Errorf("the small body: %v", err)
	}
	if err := large.Settle(); !errors.Is(err, ErrEnded) {
		t.Errorf("the large body: %v, want %v", err, ErrEnded)
	}
}

// TestBudgetHolds checks that random bodies never take more than the budget has and that
// nothing stays taken.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		var claims []*Claim
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			f.clock.Advance(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			if len(claims) == 0 || rapid.Bool().Draw(t, "opens") {
				claims = append(claims, f.Open(noDeadline))
			}
			c := rapid.SampledFrom(claims).Draw(t, "claim")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				_ = c.Take(rapid.Int64Range(0, 50).Draw(t, "bytes"), rapid.Bool().Draw(t, "isLarge"))
			case 2:
				_ = c.Await(time.Time{})
			case 3:
				_ = c.Settle()
			}
			n := f.Counts()
			if n.Held > 100 || n.Large > 60 || n.Large < 0 || n.Large > n.Held {
				t.Fatalf("%+v: at most 100 bytes, 60 of them of large bodies", n)
			}
		}
		for _, c := range claims {
			c.Release()
		}
		if n := f.Counts(); n.Held != 0 || n.Large != 0 || n.Arriving != 0 {
			t.Fatalf("%+v after all releases", n)
		}
	})
}

// TestSharesLeaveRoom checks that the parts leave over four tenths of a host's memory.
func TestSharesLeaveRoom(t *testing.T) {
	for _, memory := range []Bytes{32 << 20, 144 << 20, 284 << 20, 4 << 30} {
		s := Divide(memory)
		if s.Requests+s.Answers > memory*6/10 || s.LargeRequests >= s.Requests || s.Answers <= 0 {
			t.Errorf("%d bytes: %+v", memory, s)
		}
	}
}
