package rolloutbench

import "testing"

// ciSeeds is the number of seeds per kind that the tests run. They skip the
// peak rate, which takes long to simulate; the command cmd/rolloutbench runs
// the full table.
const ciSeeds = 4

// runSeeds runs the seeds of one kind and passes each result to check.
func runSeeds(t *testing.T, k Kind, check func(r *Result)) {
	t.Helper()
	for seed := range uint64(ciSeeds) {
		s := NewScenario(k, seed)
		if s.Rate == PeakRate {
			continue
		}
		r := Run(s, Cyclamen)
		check(&r)
	}
}

func TestBadVersionsAreReverted(t *testing.T) {
	for _, k := range Kinds() {
		if !k.IsBad() {
			continue
		}
		t.Run(string(k), func(t *testing.T) {
			t.Parallel()
			runSeeds(t, k, func(r *Result) { checkReverted(t, r) })
		})
	}
}

// checkReverted checks the result of a bad version: its fault showed, the
// rollout was reverted, and no host sent requests to the candidate after the
// verdict.
func checkReverted(t *testing.T, r *Result) {
	t.Helper()
	if r.FirstEvidence.IsZero() {
		t.Errorf("%s: no request showed the candidate's fault", r)
	}
	if r.Reverted.IsZero() {
		t.Errorf("%s: not reverted", r)
	}
	if r.LateRequests > 0 || r.AfterOwnVerdict > 0 {
		t.Errorf("%s: requests sent to the candidate after the verdict", r)
	}
}

func TestGoodVersionsMoveInTime(t *testing.T) {
	t.Parallel()
	for _, k := range []Kind{Good, ReclaimWaves} {
		runSeeds(t, k, func(r *Result) {
			if !r.Reverted.IsZero() || r.Moved.IsZero() || r.Moved.After(r.Scenario.deadline()) {
				t.Errorf("%s: not moved by the deadline", r)
			}
		})
	}
}
