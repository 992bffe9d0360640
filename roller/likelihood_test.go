package roller

import (
	"math"
	"math/rand/v2"
	"testing"
)

// meanEvidence simulates many sequences of events in which the candidate has
// ratio times the control's risk. It returns the mean of E after n events.
func meanEvidence(ratio float64, l Level, n, runs int) float64 {
	rng := rand.New(rand.NewPCG(7, 7))
	q := candidateEventShare(l.Share(), ratio)
	sum := 0.0
	for range runs {
		var ev LevelCounts
		for range n {
			if rng.Float64() < q {
				ev[l].Candidate++
			} else {
				ev[l].Control++
			}
		}
		sum += math.Exp(failureLikelihoods.LogEvidence(&ev))
	}
	return sum / float64(runs)
}

// The mean of E must be at most 1 for every candidate within the tolerance,
// which bounds the false alarm rate by Ville's inequality.
func TestLogEvidenceIsSupermartingale(t *testing.T) {
	for _, l := range []Level{LevelOf(0.1), LevelOf(0.5), LevelOf(0.75)} {
		for _, ratio := range []float64{0.5, 1, failureTolerance} {
			const slack = 0.2 // of the mean over the runs
			if m := meanEvidence(ratio, l, 12, 20000); m > 1+slack {
				t.Errorf("share %v, risk ratio %v: mean of E is %v, want at most 1", l.Share(), ratio, m)
			}
		}
	}
}

// Events at a share of 0 or 1 contain no evidence, since all requests go to one
// version.
func TestLogEvidenceIgnoresCertainAssignments(t *testing.T) {
	var ev LevelCounts
	ev[TopLevel].Candidate = 1000
	ev[NoLevel].Control = 1000
	if got := failureLikelihoods.LogEvidence(&ev); math.Abs(got) > 1e-9 {
		t.Errorf("log evidence is %v, want 0", got)
	}
}
