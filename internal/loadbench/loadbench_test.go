package loadbench

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Targets of the requirements and the design.
const (
	// goodputFloor is the share of its peak that goodput must keep at twice the
	// capacity.
	goodputFloor = 0.9
	// capacity is the rate, in requests per second of the Briefs workload, at
	// which the reference fleet answers every request.
	capacity = 20
)

func TestRunIsDeterministic(t *testing.T) {
	s := referenceScenario(3, Prefix{}, Briefs(), 6)
	s.Warmup, s.Duration, s.Deadline = 5*time.Second, 20*time.Second, 20*time.Second
	first, second := Run(s), Run(s)
	if diff := cmp.Diff(first.Counts, second.Counts); diff != "" {
		t.Errorf("counts of two runs (-first +second):\n%s", diff)
	}
	if first.Quantile(95) != second.Quantile(95) || first.Answered == 0 {
		t.Errorf("two runs have p95 %v and %v, %d answers", first.Quantile(95), second.Quantile(95), first.Answered)
	}
}

func TestGoodputHoldsAtTwiceCapacity(t *testing.T) {
	at := func(rate float64) *Result {
		s := overloadScenario(1, rate)
		s.Warmup, s.Duration = 30*time.Second, time.Minute
		return Run(s)
	}
	peak, over := at(capacity), at(2*capacity)
	if over.Goodput() < goodputFloor*peak.Goodput() {
		t.Errorf("goodput is %.2f/s at twice the capacity and %.2f/s at capacity", over.Goodput(), peak.Goodput())
	}
	if small := over.inTimeShareOf("small"); small < inTimeGoal {
		t.Errorf("share of the small customers' requests answered in time is %.3f", small)
	}
	if over.InTime >= over.Offered {
		t.Error("all requests were answered in time: the load is no overload")
	}
}

func TestUnprotectedOverloadCollapses(t *testing.T) {
	s := overloadScenario(1, 2*capacity)
	s.Warmup, s.Duration = 30*time.Second, time.Minute
	s.Admission, s.Retries.Budget = nil, false
	if r := Run(s); r.Goodput() > capacity/2 || r.Retries < r.Answered {
		t.Errorf("goodput is %.2f/s with %d retries, want a collapse without protection", r.Goodput(), r.Retries)
	}
}

func TestPrefixBeatsRoundRobinWithoutSignals(t *testing.T) {
	s := referenceScenario(1, Prefix{}, Drafts(), 8)
	s.Warmup, s.Duration = 20*time.Second, 40*time.Second
	s.Reports, s.CacheEvents = Reports{}, CacheEvents{}
	prefix := Run(s)
	s.Policy = RoundRobin{}
	if roundRobin := Run(s); prefix.Recomputed >= roundRobin.Recomputed {
		t.Errorf("without load reports and cache events, prefix recomputes a share of %.3f and round-robin %.3f", prefix.Recomputed, roundRobin.Recomputed)
	}
}
