package rolloutbench

import (
	"math/rand/v2"
	"time"

	"cyclamenhub.org/identifier"
)

// Kind is how the candidate version behaves.
type Kind string

// The kinds of candidate.
const (
	Good         Kind = "good"
	FailsAtOnce  Kind = "fails at once"
	SlowsDown    Kind = "slows down"
	BadAfterHour Kind = "bad after an hour"
	BadUnderLoad Kind = "bad only under load"
	BadOnRoute   Kind = "bad on one route"
	BadAtShare   Kind = "bad at larger share"
	Hangs        Kind = "hangs"
	Crashes      Kind = "crashes"
	ReclaimWaves Kind = "good, reclaim waves"
)

// Kinds lists all kinds in the order of the table.
func Kinds() []Kind {
	return []Kind{
		Good, ReclaimWaves, FailsAtOnce, SlowsDown, BadAfterHour, BadUnderLoad, BadOnRoute, BadAtShare, Hangs, Crashes,
	}
}

// IsBad reports whether a candidate of this kind must be reverted.
func (k Kind) IsBad() bool { return k != Good && k != ReclaimWaves }

// Rate is the mean number of requests that reach the fleet in a second.
type Rate float64

// The rates of the scenarios.
const (
	EveningRate Rate = 0.2
	DayRate     Rate = 5
	PeakRate    Rate = 50
)

// route is one route and its part of the requests.
type route struct {
	name  identifier.Route
	share float64
}

// routes are those of the service; the first is the busiest.
var routes = []route{
	{name: "POST /drafts", share: 0.6},
	{name: "POST /captions", share: 0.3},
	{name: "POST /filings", share: 0.1},
}

// The sizes of a scenario.
const (
	numDomains = 4
	minHosts   = 4
	maxHosts   = 9
	// longWarmUp is how long the fleet runs before the rollout begins at
	// EveningRate, and shortWarmUp at higher rates.
	longWarmUp  = 2 * time.Hour
	shortWarmUp = 20 * time.Minute
	// watch is how long the old version stays loaded after the move.
	watch = 2 * time.Hour
	// badAfter is when a candidate of kind BadAfterHour turns bad.
	badAfter = time.Hour
	// badShare is the share from which a candidate of kind BadAtShare is bad.
	badShare = 0.3
	// loadCycle is the period of the load; heavyPart of it is heavy.
	loadCycle = 10 * time.Minute
	heavyPart = 0.25
)

// span is a piece of time in one failure domain.
type span struct {
	from, to time.Time
	domain   int
}

func (s span) holds(now time.Time) bool { return !now.Before(s.from) && now.Before(s.to) }

// Scenario is one run's fleet, traffic and candidate.
type Scenario struct {
	Kind  Kind
	Seed  uint64
	Rate  Rate
	Hosts int
	// Deadline is how long the rollout may take.
	Deadline time.Duration
	// ReportLag is how long a message between host and controller takes.
	ReportLag time.Duration
	// failing is the probability that a bad candidate fails.
	failing float64
	// slowing is the factor of a slow candidate's latency.
	slowing float64
	// badRoute is the index of the route that a BadOnRoute candidate fails on.
	badRoute int
	// background is the probability that either version fails.
	background float64
	waves      []span
	cuts       []span
}

// start is when every rollout begins.
var start = time.Date(2026, 3, 2, 18, 0, 0, 0, time.UTC)

// NewScenario draws a scenario. The rates take turns with the seed, so that
// each has a third of the runs.
func NewScenario(k Kind, seed uint64) *Scenario {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := &Scenario{Kind: k, Seed: seed}
	s.Rate = []Rate{EveningRate, DayRate, PeakRate}[seed%3]
	s.Hosts = minHosts + rng.IntN(maxHosts-minHosts+1)
	s.Deadline = []time.Duration{30 * time.Minute, time.Hour, 2 * time.Hour}[rng.IntN(3)]
	s.ReportLag = time.Duration(5+rng.IntN(400)) * time.Millisecond
	s.failing = 0.3 + 0.7*rng.Float64()
	s.slowing = 1.5 + 2.5*rng.Float64()
	s.badRoute = rng.IntN(len(routes))
	s.background = 0.01 * rng.Float64()
	s.drawWaves(rng)
	s.drawCut(rng)
	return s
}

// drawWaves places the reclaim waves: several where the kind asks for them, one
// in a third of the other runs.
func (s *Scenario) drawWaves(rng *rand.Rand) {
	n := 0
	if rng.IntN(3) == 0 {
		n = 1
	}
	if s.Kind == ReclaimWaves {
		n = 4 + rng.IntN(5)
	}
	for range n {
		from := start.Add(time.Duration(rng.Float64() * float64(s.Deadline+watch/2)))
		long := time.Minute + time.Duration(rng.IntN(240))*time.Second
		s.waves = append(s.waves, span{from: from, to: from.Add(long), domain: rng.IntN(numDomains)})
	}
}

// drawCut cuts a failure domain off from the controller in a third of the runs.
func (s *Scenario) drawCut(rng *rand.Rand) {
	if rng.IntN(3) != 0 {
		return
	}
	from := start.Add(time.Duration(rng.Float64() * float64(s.Deadline) / 2))
	long := 2*time.Minute + time.Duration(rng.Float64()*float64(s.Deadline)/4)
	s.cuts = []span{{from: from, to: from.Add(long), domain: rng.IntN(numDomains)}}
}

// end is when the run is over at the latest: a watch period may last twofold.
func (s *Scenario) end() time.Time { return start.Add(s.Deadline + 2*watch + time.Minute) }

// warmUp is how long the fleet runs before the rollout begins.
func (s *Scenario) warmUp() time.Duration {
	if s.Rate == EveningRate {
		return longWarmUp
	}
	return shortWarmUp
}

// deadline is when all traffic must have moved.
func (s *Scenario) deadline() time.Time { return start.Add(s.Deadline) }

// cutOff reports whether a host can't reach the controller.
func (s *Scenario) cutOff(host int, now time.Time) bool {
	for _, c := range s.cuts {
		if c.domain == host%numDomains && c.holds(now) {
			return true
		}
	}
	return false
}

// heavy reports whether the load is heavy.
func heavy(now time.Time) bool {
	phase := now.Sub(start.Add(-longWarmUp)) % loadCycle
	return float64(phase) > (1-heavyPart)*float64(loadCycle)
}
