package roller

import (
	"math"

	"cyclamenhub.org/identifier"
)

// ArmCounts holds the number of adverse events of one metric, such as failures,
// at one level, by the arm that the requests were assigned to.
type ArmCounts struct {
	Candidate uint64
	Control   uint64
}

// LevelCounts holds the adverse events of one metric at every level.
type LevelCounts [numLevels]ArmCounts

// riskRatios are the alternatives in the mixture, all with the same weight: the
// risk of a bad version as a multiple of the tolerated risk.
var riskRatios = [...]float64{2, 4, 8, 32, 256}

// logLikelihoodRatio holds, for one level and one alternative, the amount that
// one event on each arm adds to the log evidence.
type logLikelihoodRatio struct{ candidate, control float64 }

// likelihoodTable holds the log likelihood ratios of every level and
// alternative for one tolerance.
type likelihoodTable [numLevels][len(riskRatios)]logLikelihoodRatio

// newLikelihoodTable computes the table for a tolerated risk ratio.
func newLikelihoodTable(tolerance float64) *likelihoodTable {
	var t likelihoodTable
	for l := range numLevels {
		s := Level(l).Share()
		if s == 0 || s == 1 {
			// All events fall on one arm, whatever the risk.
			continue
		}
		p := candidateEventShare(s, tolerance)
		for i, r := range riskRatios {
			q := candidateEventShare(s, tolerance*r)
			t[l][i] = logLikelihoodRatio{candidate: math.Log(q / p), control: math.Log((1 - q) / (1 - p))}
		}
	}
	return &t
}

// candidateEventShare returns the expected share of the events that fall on the
// candidate if it receives share s of the requests and has r times the
// control's risk.
func candidateEventShare(s identifier.Share, r float64) float64 {
	c := float64(s) * r
	return c / (c + 1 - float64(s))
}

// The tolerated risk ratios: a candidate whose risk is at most this multiple of
// the control's counts as good.
const (
	failureTolerance = 1.25
	slowTolerance    = 1.5
)

var (
	failureLikelihoods = newLikelihoodTable(failureTolerance)
	slowLikelihoods    = newLikelihoodTable(slowTolerance)
)

// LogEvidence returns the natural logarithm of the evidence E against the
// candidate that the events contain.
//
// Let ρ be the tolerated risk ratio. If the candidate is good, an event of a
// request assigned at share s falls on the candidate with probability at most
// p = sρ/(sρ+1−s). For the alternative that the risk is r times the tolerated
// one, the probability is q = srρ/(srρ+1−s). Hence
//
//	E = (1/m) Σ_r Π_levels (q/p)^candidate · ((1−q)/(1−p))^control
//
// is a mixture of likelihood ratios over m values of r, and a nonnegative
// supermartingale with mean at most 1 while the candidate is good. By Ville's
// inequality the probability that E ever reaches 1/α is at most α, however
// often it is evaluated and however the share is chosen from past data.
//
// Conditioning on the events is the binary sequential test of Wald ("Sequential
// Analysis", 1947), as used to compare exposed subjects with matched controls
// by Kulldorff and others ("A maximized sequential probability ratio test for
// drug and vaccine safety surveillance", Sequential Analysis 30, 2011), with
// the maximum over r replaced by a mixture (Robbins, "Statistical methods
// related to the law of the iterated logarithm", 1970). It needs no assumption
// about the rate of the events, which may change at any time if it changes for
// both versions alike.
func (t *likelihoodTable) LogEvidence(ev *LevelCounts) float64 {
	var sums [len(riskRatios)]float64
	for l := range numLevels {
		d := ev[l]
		if d.Candidate == 0 && d.Control == 0 {
			continue
		}
		for i := range sums {
			sums[i] += float64(d.Candidate)*t[l][i].candidate + float64(d.Control)*t[l][i].control
		}
	}
	return logMean(sums[:])
}

// logRatio returns the log likelihood ratio of one alternative.
func (t *likelihoodTable) logRatio(ev *LevelCounts, alternative int) float64 {
	sum := 0.0
	for l, d := range ev {
		sum += float64(d.Candidate)*t[l][alternative].candidate + float64(d.Control)*t[l][alternative].control
	}
	return sum
}

// logMean returns ln(mean(exp(xs))) without overflow.
func logMean(xs []float64) float64 {
	top := math.Inf(-1)
	for _, x := range xs {
		top = max(top, x)
	}
	sum := 0.0
	for _, x := range xs {
		sum += math.Exp(x - top)
	}
	return top + math.Log(sum/float64(len(xs)))
}
