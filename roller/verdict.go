package roller

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"cyclamenhub.org/identifier"
)

// Metric is a kind of adverse event that is evidence against a version.
type Metric uint8

// The metrics.
const (
	// Failures are requests that ended in Failed.
	Failures Metric = iota
	// SlowAnswers are successes slower than the control's threshold.
	SlowAnswers

	numMetrics = 2
)

// String returns the metric's name.
func (m Metric) String() string {
	if m == SlowAnswers {
		return "slow answers"
	}
	return "failures"
}

// Scope identifies the cells that a test combines.
type Scope struct {
	// Route restricts the scope to one route, unless AllRoutes is set.
	Route     identifier.Route `json:"route,omitempty"`
	AllRoutes bool             `json:"allRoutes,omitempty"`
	// Band restricts the scope to one load band, unless AllBands is set.
	Band     Band `json:"band,omitempty"`
	AllBands bool `json:"allBands,omitempty"`
}

// String describes the scope.
func (s Scope) String() string {
	var parts []string
	if !s.AllRoutes {
		parts = append(parts, fmt.Sprintf("route %q", string(s.Route)))
	}
	if !s.AllBands {
		parts = append(parts, s.Band.String()+" load")
	}
	if parts == nil {
		return "all requests"
	}
	return strings.Join(parts, " under ")
}

// Verdict states that a candidate is bad, and on what evidence.
type Verdict struct {
	Scope  Scope  `json:"scope"`
	Metric Metric `json:"sign"`
	// LogEvidence is the natural logarithm of the evidence after multiplication
	// by the weight of the scope.
	LogEvidence float64 `json:"logEvidence"`
	// Candidate and Control are the number of events of each version.
	Candidate uint64 `json:"candidate"`
	Control   uint64 `json:"control"`
}

// String describes the verdict on one line.
func (v Verdict) String() string {
	return fmt.Sprintf("%s on %s: %d of the candidate, %d of the control, log evidence %.1f",
		v.Metric, v.Scope, v.Candidate, v.Control, v.LogEvidence)
}

// falseAlarmRate bounds the probability that a good version receives a verdict
// in one rollout, from any host or the controller, on any route or band.
const falseAlarmRate = 1.0 / 1000

// The division of the false alarm rate. Half goes to the controller, and the
// hosts share the other half equally. Within a test, the scopes have these
// weights; routes, bands and cells divide theirs evenly.
const (
	weightAll    = 0.25
	weightRoutes = 0.3
	weightBands  = 0.15
	weightCells  = 0.3
)

// logLimitMerged returns the log evidence at which the merged counters lead to
// a verdict.
func logLimitMerged() float64 { return math.Log(2 / falseAlarmRate) }

// logLimitLocal returns the log evidence at which the counters of one of n
// hosts lead to a verdict: the Bonferroni share of one host.
func logLimitLocal(hosts int) float64 {
	return math.Log(2 * float64(max(hosts, 1)) / falseAlarmRate)
}

// Examine runs all tests on the cells. It returns a verdict for each metric and
// scope whose evidence reaches the limit, the strongest first. The routes
// parameter is the number of routes with their own cells, OtherRoute included,
// and must be known before the rollout begins.
func Examine(cs Cells, routes int, limit float64) []Verdict {
	var out []Verdict
	for scope, sums := range scopeSums(cs) {
		weight := scopeWeight(scope, max(routes, 1)) / numMetrics
		for metric, ev := range sums {
			if v, ok := examineScope(scope, Metric(metric), ev, math.Log(weight), limit); ok {
				out = append(out, v)
			}
		}
	}
	slices.SortFunc(out, compareVerdicts)
	return out
}

// compareVerdicts orders the verdicts by evidence, the strongest first.
func compareVerdicts(a, b Verdict) int {
	return cmp.Or(cmp.Compare(b.LogEvidence, a.LogEvidence), cmp.Compare(a.String(), b.String()))
}

func examineScope(scope Scope, metric Metric, ev *LevelCounts, logWeight, limit float64) (Verdict, bool) {
	e := likelihoodsOf(metric).LogEvidence(ev) + logWeight
	if e < limit {
		return Verdict{}, false
	}
	v := Verdict{Scope: scope, Metric: metric, LogEvidence: e}
	for _, d := range ev {
		v.Candidate += d.Candidate
		v.Control += d.Control
	}
	return v, true
}

// likelihoodsOf returns the table for a metric's tolerance.
func likelihoodsOf(m Metric) *likelihoodTable {
	if m == SlowAnswers {
		return slowLikelihoods
	}
	return failureLikelihoods
}

// eventCounts returns the events of one metric and scope.
func eventCounts(cs Cells, cause alarmCause) LevelCounts {
	if sum := scopeSums(cs)[cause.scope]; sum != nil {
		return *sum[cause.metric]
	}
	return LevelCounts{}
}

// scopeWeight returns the fraction of the false alarm rate that a scope has.
func scopeWeight(s Scope, routes int) float64 {
	switch {
	case s.AllRoutes && s.AllBands:
		return weightAll
	case s.AllBands:
		return weightRoutes / float64(routes)
	case s.AllRoutes:
		return weightBands / numBands
	default:
		return weightCells / float64(routes*numBands)
	}
}

// scopeSums sums the events of the cells for each scope.
func scopeSums(cs Cells) map[Scope]*[numMetrics]*LevelCounts {
	sums := make(map[Scope]*[numMetrics]*LevelCounts, 4*len(cs))
	for k, c := range cs {
		for _, s := range scopesOf(k) {
			sum := sums[s]
			if sum == nil {
				sum = &[numMetrics]*LevelCounts{{}, {}}
				sums[s] = sum
			}
			addCounts(sum, c)
		}
	}
	return sums
}

// scopesOf returns the scopes that a cell belongs to.
func scopesOf(k CellKey) [4]Scope {
	return [4]Scope{
		{AllRoutes: true, AllBands: true},
		{Route: k.Route, AllBands: true},
		{AllRoutes: true, Band: k.Band},
		{Route: k.Route, Band: k.Band},
	}
}

func addCounts(sum *[numMetrics]*LevelCounts, c *Cell) {
	for l := range numLevels {
		cand, ctrl := &c.Tallies[Candidate][l], &c.Tallies[Control][l]
		sum[Failures][l].Candidate += cand.Failed
		sum[Failures][l].Control += ctrl.Failed
		sum[SlowAnswers][l].Candidate += cand.Slow
		sum[SlowAnswers][l].Control += ctrl.Slow
	}
}
