package rolloutbench

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamenhub.org/internal/golden"
)

// cutoverSeeds is the number of seeds per row of the golden table.
const cutoverSeeds = 40

// doneInTime reports whether the rollout was done within its time.
func (r *Result) doneInTime() bool {
	return !r.Done.IsZero() && !r.Done.After(r.Scenario.deadline())
}

// tabulateCutover runs the seeds of one kind at one rate and returns a row. Before
// the rollout the service gets the given fraction of the rate.
func tabulateCutover(k Kind, rate Rate, before float64) string {
	var reverted, done, kept int
	for seed := range uint64(cutoverSeeds) {
		s := NewCutoverScenario(k, seed, rate, 16*time.Second, 0.5)
		s.rateBefore = before
		r := Run(s, Cyclamen)
		if !r.Reverted.IsZero() {
			reverted++
		}
		if r.doneInTime() {
			done++
		}
		if r.KeepsExposure() {
			kept++
		}
	}
	row := fmt.Sprintf("%-14s %3v/s: %2d reverted, %2d done in time", k, rate, reverted, done)
	if k.IsBad() {
		row += fmt.Sprintf(", %2d within the exposure", kept)
	}
	return row + "\n"
}

// A rollout of 16 s of a service with few requests: the version is good, fails
// half of its requests at once or after 3 s, or is 8 times slower. Before its
// share followed from the exposure and the odds decided at the end, a version
// of a service with 25 requests a second that failed half of them was promoted,
// since fewer failures had been seen than a verdict needs.
func TestCutoverOfServiceWithFewRequests(t *testing.T) {
	var out strings.Builder
	for _, k := range []Kind{Good, FailsAtOnce, BadLater, SlowsDown} {
		for _, rate := range []Rate{1, 5, 12, 25, 50} {
			out.WriteString(tabulateCutover(k, rate, 1))
		}
	}
	golden.Compare(t, "testdata/cutover.golden", out.String())
}

// Whatever the rate of a service, a version that fails a third of its requests
// or more must stay within the exposure, and must not be promoted where it got
// a few requests each second.
func TestFailingVersionStaysWithinExposure(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := rapid.SampledFrom([]Kind{FailsAtOnce, BadLater}).Draw(t, "kind")
		rate := Rate(rapid.SampledFrom([]int{1, 2, 5, 10, 20, 40, 80, 160, 500, 2000}).Draw(t, "rate"))
		within := time.Duration(rapid.IntRange(12, 30).Draw(t, "seconds")) * time.Second
		failing := rapid.Float64Range(0.33, 1).Draw(t, "failing")
		seed := rapid.Uint64().Draw(t, "seed")
		r := Run(NewCutoverScenario(k, seed, rate, within, failing), Cyclamen)
		if !r.KeepsExposure() {
			t.Fatalf("%d of %d requests, last at %v, many bad answers at %v",
				r.InTime.Candidate, r.InTime.All, r.LastCandidateRequest.Sub(rolloutStart), r.ManyBadAnswers.Sub(rolloutStart))
		}
		if rate >= 40 && r.Reverted.IsZero() {
			t.Fatalf("promoted at %v requests a second", rate)
		}
	})
}

// TestCutoverOfServiceWithRisingRate plays rollouts that begin as callers begin
// to call: before, the service gets a tenth of its requests, so that its rate and
// the usual latency of its routes are not known. Before slow answers were told
// by the latencies of the rollout itself, all slow versions of services with up
// to 25 requests a second were promoted.
func TestCutoverOfServiceWithRisingRate(t *testing.T) {
	var out strings.Builder
	for _, k := range []Kind{Good, SlowsDown} {
		for _, rate := range []Rate{12, 25, 50} {
			out.WriteString(tabulateCutover(k, rate, 0.1))
		}
	}
	golden.Compare(t, "testdata/risingrate.golden", out.String())
}
