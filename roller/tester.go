package roller

import (
	"math"

	"cyclamenhub.org/identifier"
)

// Draws counts the events of one sort, such as failures, by the arm that they
// were drawn for, at one level.
type Draws struct {
	Candidate uint64
	Control   uint64
}

// Events counts the events of one sort at every level.
type Events [numLevels]Draws

// riskRatios are the alternatives that the mixture weighs equally: how many
// times the tolerated risk a bad version brings.
var riskRatios = [...]float64{2, 4, 8, 32, 256}

// logGrowth holds, for one level and one alternative, what one event adds to
// the logarithm of the evidence.
type logGrowth struct{ candidate, control float64 }

// growthTable holds the growth for every level and alternative at a tolerance.
type growthTable [numLevels][len(riskRatios)]logGrowth

// newGrowthTable works the table out for a tolerated risk ratio.
func newGrowthTable(tolerance float64) *growthTable {
	var g growthTable
	for l := range numLevels {
		s := Level(l).Share()
		if s == 0 || s == 1 {
			// Every event falls to one arm, whatever its risk.
			continue
		}
		p := drawnShare(s, tolerance)
		for i, r := range riskRatios {
			q := drawnShare(s, tolerance*r)
			g[l][i] = logGrowth{candidate: math.Log(q / p), control: math.Log((1 - q) / (1 - p))}
		}
	}
	return &g
}

// drawnShare returns the share of the events that fall to the candidate when it
// is drawn with share s and brings r times the control's risk.
func drawnShare(s identifier.Share, r float64) float64 {
	c := float64(s) * r
	return c / (c + 1 - float64(s))
}

// The tolerated risk ratios: a candidate that brings at most so many times the
// control's risk counts as good.
const (
	failureTolerance = 1.25
	slowTolerance    = 1.5
)

var (
	failureGrowth = newGrowthTable(failureTolerance)
	slowGrowth    = newGrowthTable(slowTolerance)
)

// LogEvidence returns the natural logarithm of the evidence E against the
// candidate that the events hold.
//
// Given that an event happened to a request drawn at share s, it fell to the
// candidate with probability at most p = sρ/(sρ+1−s), where ρ is the tolerated
// risk ratio and the candidate is good. For the alternative that the risk is r
// times that, the probability is q = srρ/(srρ+1−s). Hence
//
//	E = (1/m) Σ_r Π_levels (q/p)^candidate · ((1−q)/(1−p))^control
//
// is a mixture of likelihood ratios over m values of r, and a nonnegative
// supermartingale with mean at most 1 while the candidate is good. By Ville's
// inequality the probability that E ever reaches 1/α is at most α, however
// often it is looked at and however the share is chosen from the past.
//
// Conditioning on the events is the binary sequential test of Wald ("Sequential
// Analysis", 1947) as used for comparing exposed with matched controls by
// Kulldorff and others ("A maximized sequential probability ratio test for drug
// and vaccine safety surveillance", Sequential Analysis 30, 2011), with the
// maximum over r replaced by a mixture (Robbins, "Statistical methods related
// to the law of the iterated logarithm", 1970). It needs no assumption about
// the rate of the events, which may change at any time for both versions alike.
func (g *growthTable) LogEvidence(ev *Events) float64 {
	var sums [len(riskRatios)]float64
	for l := range numLevels {
		d := ev[l]
		if d.Candidate == 0 && d.Control == 0 {
			continue
		}
		for i := range sums {
			sums[i] += float64(d.Candidate)*g[l][i].candidate + float64(d.Control)*g[l][i].control
		}
	}
	return logMean(sums[:])
}

// logRatio returns the log likelihood ratio of one alternative.
func (g *growthTable) logRatio(ev *Events, alternative int) float64 {
	sum := 0.0
	for l, d := range ev {
		sum += float64(d.Candidate)*g[l][alternative].candidate + float64(d.Control)*g[l][alternative].control
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
