package roller

import (
	"math"
	"math/rand/v2"
	"testing"
)

// meanEvidence plays many sequences of events in which the candidate brings
// ratio times the control's risk, and returns the mean of E after n events.
func meanEvidence(ratio float64, l Level, n, runs int) float64 {
	rng := rand.New(rand.NewPCG(7, 7))
	q := drawnShare(l.Share(), ratio)
	sum := 0.0
	for range runs {
		var ev Events
		for range n {
			if rng.Float64() < q {
				ev[l].Candidate++
			} else {
				ev[l].Control++
			}
		}
		sum += math.Exp(failureGrowth.LogEvidence(&ev))
	}
	return sum / float64(runs)
}

// The mean of E is at most 1 for every candidate within the tolerance, which
// bounds the false alarms by Ville's inequality.
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

// Events at a share of none or all tell nothing.
func TestLogEvidenceIgnoresCertainDraws(t *testing.T) {
	var ev Events
	ev[TopLevel].Candidate = 1000
	ev[NoLevel].Control = 1000
	if got := failureGrowth.LogEvidence(&ev); math.Abs(got) > 1e-9 {
		t.Errorf("log evidence is %v, want 0", got)
	}
}
