package loadbench

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Targets that the users and the plan state.
const (
	// goodputFloor is the part of its peak that goodput keeps at twice the
	// capacity.
	goodputFloor = 0.9
	// capacity is the rate that today's fleet answers whole, in briefs a
	// second.
	capacity = 20
)

func TestRunsRepeat(t *testing.T) {
	s := today(3, Prefix{}, Briefs(), 6)
	s.Warmup, s.Duration, s.Deadline = 5*time.Second, 20*time.Second, 20*time.Second
	first, second := Run(s), Run(s)
	if diff := cmp.Diff(first.Counts, second.Counts); diff != "" {
		t.Errorf("counts of two runs (-first +second):\n%s", diff)
	}
	if first.Quantile(95) != second.Quantile(95) || first.Answered == 0 {
		t.Errorf("p95 is %v and %v over %d answers", first.Quantile(95), second.Quantile(95), first.Answered)
	}
}

func TestGoodputHoldsAtTwiceCapacity(t *testing.T) {
	at := func(rate float64) *Result {
		s := underStress(1, rate)
		s.Warmup, s.Duration = 30*time.Second, time.Minute
		return Run(s)
	}
	peak, over := at(capacity), at(2*capacity)
	if over.Goodput() < goodputFloor*peak.Goodput() {
		t.Errorf("goodput is %.2f a second at twice the capacity and %.2f at capacity", over.Goodput(), peak.Goodput())
	}
	if small := over.partOf("small"); small < inTimeGoal {
		t.Errorf("%.3f of the small customers' requests were in time", small)
	}
	if over.InTime >= over.Offered {
		t.Error("nothing was turned away: the load was no overload")
	}
}

func TestUnprotectedOverloadCollapses(t *testing.T) {
	s := underStress(1, 2*capacity)
	s.Warmup, s.Duration = 30*time.Second, time.Minute
	s.Admission, s.Retries.Budget = nil, false
	if r := Run(s); r.Goodput() > capacity/2 || r.Retries < r.Answered {
		t.Errorf("goodput is %.2f with %d retries: the harness shows no collapse to protect from", r.Goodput(), r.Retries)
	}
}

func TestPrefixBeatsRoundRobinWithoutSignals(t *testing.T) {
	s := today(1, Prefix{}, Drafts(), 8)
	s.Warmup, s.Duration = 20*time.Second, 40*time.Second
	s.Reports, s.CacheEvents = Reports{}, CacheEvents{}
	blind := Run(s)
	s.Policy = RoundRobin{}
	if plain := Run(s); blind.Recomputed >= plain.Recomputed {
		t.Errorf("without any signal %.3f is recomputed by prefix, %.3f by round-robin", blind.Recomputed, plain.Recomputed)
	}
}
