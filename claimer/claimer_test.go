package claimer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/refuser"
	"cyclamenhub.org/timer"
)

var testStart = time.Date(2026, 12, 1, 20, 0, 0, 0, time.UTC)

// tableProposer is a claim group with one replica that can drop answers.
type tableProposer struct {
	mu    sync.Mutex
	table Table
	// answersToLose is the number of next answers to drop.
	answersToLose int
}

var errLost = errors.New("the answer was lost")

func (p *tableProposer) Propose(_ context.Context, _ int, entry []byte) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.table.Apply(entry)[0]
	if p.answersToLose > 0 {
		p.answersToLose--
		return nil, errLost
	}
	return b, nil
}

func TestOneOfManyConcurrentClaimsIsGranted(t *testing.T) {
	for name, c := range map[string]Claimer{
		"memory":     NewMemoryClaimer(timer.NewManual(testStart), 0),
		"replicated": NewReplicatedClaimer(&tableProposer{}, 3),
	} {
		t.Run(name, func(t *testing.T) {
			var granted atomic.Int32
			var wg sync.WaitGroup
			for n := range 50 {
				wg.Go(func() {
					verdict, err := c.Claim(t.Context(), testClaim(1, 1, n))
					if err != nil {
						t.Error(err)
					}
					if verdict == (Granted{}) {
						granted.Add(1)
					}
				})
			}
			wg.Wait()
			if granted.Load() != 1 {
				t.Errorf("%d claims were granted, want 1", granted.Load())
			}
		})
	}
}

func TestClaimersSettleReleaseAndAbandon(t *testing.T) {
	for name, c := range map[string]Claimer{
		"memory":     NewMemoryClaimer(timer.NewManual(testStart), 0),
		"replicated": NewReplicatedClaimer(&tableProposer{}, 3),
	} {
		t.Run(name, func(t *testing.T) {
			claim := func(n int) Verdict {
				v, err := c.Claim(t.Context(), testClaim(1, 1, n))
				if err != nil {
					t.Fatal(err)
				}
				return v
			}
			step := func(what string, err, want error) {
				if !errors.Is(err, want) {
					t.Errorf("%s: %v, want %v", what, err, want)
				}
			}
			claim(1)
			step("release by another", c.Release(t.Context(), testClaim(1, 1, 5)), ErrNotHeld)
			step("release", c.Release(t.Context(), testClaim(1, 1, 1)), nil)
			claim(2)
			step("abandon", c.Abandon(t.Context(), testClaim(1, 1, 2)), nil)
			if got := claim(3); got != (OutcomeUnknown{}) {
				t.Errorf("claim after abandon: %#v, want OutcomeUnknown", got)
			}
			step("settle", c.Settle(t.Context(), testClaim(1, 1, 2), testReceipt(2)), nil)
			if diff := cmp.Diff(Verdict(Settled{Receipt: testReceipt(2)}), claim(3)); diff != "" {
				t.Errorf("claim after settle (-want +got):\n%s", diff)
			}
		})
	}
}

func TestClaimWithoutAnswerIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &tableProposer{answersToLose: 1}
		c := NewReplicatedClaimer(p, 1)
		ctx, cancel := context.WithCancel(t.Context())
		verdict, err := c.Claim(ctx, testClaim(1, 1, 1))
		cancel()
		f := refuser.From(err)
		if verdict != nil || f.Kind() != refuser.NoMajority || !f.IsNotRun() {
			t.Errorf("claim without an answer: %v, %v, want a refusal that says not run", verdict, err)
		}
		synctest.Wait()
		if n := p.table.Len(); n != 0 {
			t.Errorf("%d claims are held, want 0", n)
		}
		if verdict, err := c.Claim(t.Context(), testClaim(1, 1, 2)); verdict != (Granted{}) {
			t.Errorf("second request with the key: %v, %v, want Granted", verdict, err)
		}
	})
}

func TestMemoryClaimerExpiresClaims(t *testing.T) {
	clock := timer.NewManual(testStart)
	c := NewMemoryClaimer(clock, 0)
	claim := testClaim(1, 1, 1)
	claim.Horizon = time.Hour
	for n, tt := range []struct {
		advance time.Duration
		want    Verdict
	}{{0, Granted{}}, {time.Hour, OutcomeUnknown{}}, {1, Granted{}}} {
		clock.Advance(tt.advance)
		claim.Token = NewToken()
		if got, err := c.Claim(t.Context(), claim); got != tt.want {
			t.Errorf("claim %d: %#v, %v, want %#v", n, got, err, tt.want)
		}
	}
}

func TestFullTableRefusesNotRun(t *testing.T) {
	c := NewMemoryClaimer(timer.NewManual(testStart), 1)
	if _, err := c.Claim(t.Context(), testClaim(1, 1, 1)); err != nil {
		t.Fatal(err)
	}
	_, err := c.Claim(t.Context(), testClaim(2, 1, 2))
	if f := refuser.From(err); f.Kind() != refuser.Overloaded || !f.IsNotRun() {
		t.Errorf("claim at a full table: %v, want a refusal that says not run", err)
	}
}

func TestKeysSpreadOverGroups(t *testing.T) {
	var counts [4]int
	for n := range 4000 {
		c := testClaim(n, 0, 0)
		counts[GroupOf(c.Customer, c.Key, len(counts))]++
	}
	for group, n := range counts {
		if n < 800 || n > 1200 {
			t.Errorf("group %d gets %d of 4000 keys", group, n)
		}
	}
}
