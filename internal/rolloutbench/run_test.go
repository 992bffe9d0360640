package rolloutbench

import "testing"

// ciSeeds is the number of seeds per kind that the tests play, at the rates
// that are cheap to play; the command cmd/rolloutbench plays the whole table.
const ciSeeds = 4

// playSeeds plays the seeds of one kind and hands each result to check.
func playSeeds(t *testing.T, k Kind, check func(r *Result)) {
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
			playSeeds(t, k, func(r *Result) { checkReverted(t, r) })
		})
	}
}

// checkReverted checks a run of a bad version.
func checkReverted(t *testing.T, r *Result) {
	t.Helper()
	if r.FirstEvidence.IsZero() {
		t.Errorf("%s: the fault never showed", r)
	}
	if r.Reverted.IsZero() {
		t.Errorf("%s: not reverted", r)
	}
	if r.Late > 0 || r.Own > 0 {
		t.Errorf("%s: drawn after the verdict", r)
	}
}

func TestGoodVersionsMoveInTime(t *testing.T) {
	t.Parallel()
	for _, k := range []Kind{Good, ReclaimWaves} {
		playSeeds(t, k, func(r *Result) {
			if !r.Reverted.IsZero() || r.Moved.IsZero() || r.Moved.After(r.Scenario.deadline()) {
				t.Errorf("%s: not moved by the deadline", r)
			}
		})
	}
}
