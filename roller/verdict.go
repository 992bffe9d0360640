package roller

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"cyclamenhub.org/identifier"
)

// Sign is the sort of event that speaks against a version.
type Sign uint8

// The signs.
const (
	// Failures are requests that ended in Failed.
	Failures Sign = iota
	// SlowAnswers are successes slower than the control's threshold.
	SlowAnswers

	numSigns = 2
)

// String returns the sign's name.
func (s Sign) String() string {
	if s == SlowAnswers {
		return "slow answers"
	}
	return "failures"
}

// Scope names the cells that a test sums up.
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

// Verdict says that a candidate is bad, and on what evidence.
type Verdict struct {
	Scope Scope `json:"scope"`
	Sign  Sign  `json:"sign"`
	// LogEvidence is the natural logarithm of the evidence after the weight of
	// the scope is taken off.
	LogEvidence float64 `json:"logEvidence"`
	// Candidate and Control count the events that fell to each version.
	Candidate uint64 `json:"candidate"`
	Control   uint64 `json:"control"`
}

// String describes the verdict on one line.
func (v Verdict) String() string {
	return fmt.Sprintf("%s on %s: %d of the candidate, %d of the control, log evidence %.1f",
		v.Sign, v.Scope, v.Candidate, v.Control, v.LogEvidence)
}

// falseAlarmRate bounds the probability that a good version is ever judged bad
// in one rollout, by any host or the controller, on any route or band.
const falseAlarmRate = 1.0 / 1000

// The parts of the false alarm rate. Half is the controller's, half is shared
// by the hosts alike. Within a test, the scopes get these weights; routes,
// bands and cells divide theirs evenly.
const (
	weightAll    = 0.25
	weightRoutes = 0.3
	weightBands  = 0.15
	weightCells  = 0.3
)

// logLimitMerged returns the log evidence at which the merged counters condemn.
func logLimitMerged() float64 { return math.Log(2 / falseAlarmRate) }

// logLimitLocal returns the log evidence at which one of n hosts condemns by
// its own counters: the Bonferroni share of one host.
func logLimitLocal(hosts int) float64 {
	return math.Log(2 * float64(max(hosts, 1)) / falseAlarmRate)
}

// Examine runs every test on the cells and returns the strongest verdict of
// each sign and scope that reaches the limit. Routes is the number of routes
// that have cells of their own and OtherRoute, known before the rollout began.
func Examine(cs Cells, routes int, limit float64) []Verdict {
	var out []Verdict
	for scope, sums := range scopeSums(cs) {
		weight := scopeWeight(scope, max(routes, 1)) / numSigns
		for sign, ev := range sums {
			if v, ok := examineScope(scope, Sign(sign), ev, math.Log(weight), limit); ok {
				out = append(out, v)
			}
		}
	}
	slices.SortFunc(out, compareVerdicts)
	return out
}

// compareVerdicts puts the strongest verdict first.
func compareVerdicts(a, b Verdict) int {
	return cmp.Or(cmp.Compare(b.LogEvidence, a.LogEvidence), cmp.Compare(a.String(), b.String()))
}

func examineScope(scope Scope, sign Sign, ev *Events, logWeight, limit float64) (Verdict, bool) {
	e := growthOf(sign).LogEvidence(ev) + logWeight
	if e < limit {
		return Verdict{}, false
	}
	v := Verdict{Scope: scope, Sign: sign, LogEvidence: e}
	for _, d := range ev {
		v.Candidate += d.Candidate
		v.Control += d.Control
	}
	return v, true
}

// growthOf returns the table of a sign's tolerance.
func growthOf(s Sign) *growthTable {
	if s == SlowAnswers {
		return slowGrowth
	}
	return failureGrowth
}

// eventsOf sums the events of one sign and scope up.
func eventsOf(cs Cells, of suspect) Events {
	if sum := scopeSums(cs)[of.scope]; sum != nil {
		return *sum[of.sign]
	}
	return Events{}
}

// scopeWeight returns the part of the false alarm rate that a scope gets.
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

// scopeSums sums the events of the cells up for each scope.
func scopeSums(cs Cells) map[Scope]*[numSigns]*Events {
	sums := make(map[Scope]*[numSigns]*Events, 4*len(cs))
	for k, c := range cs {
		for _, s := range scopesOf(k) {
			sum := sums[s]
			if sum == nil {
				sum = &[numSigns]*Events{{}, {}}
				sums[s] = sum
			}
			addEvents(sum, c)
		}
	}
	return sums
}

// scopesOf lists the scopes that a cell belongs to.
func scopesOf(k CellKey) [4]Scope {
	return [4]Scope{
		{AllRoutes: true, AllBands: true},
		{Route: k.Route, AllBands: true},
		{AllRoutes: true, Band: k.Band},
		{Route: k.Route, Band: k.Band},
	}
}

func addEvents(sum *[numSigns]*Events, c *Cell) {
	for l := range numLevels {
		cand, ctrl := &c.Tallies[Candidate][l], &c.Tallies[Control][l]
		sum[Failures][l].Candidate += cand.Failed
		sum[Failures][l].Control += ctrl.Failed
		sum[SlowAnswers][l].Candidate += cand.Slow
		sum[SlowAnswers][l].Control += ctrl.Slow
	}
}
