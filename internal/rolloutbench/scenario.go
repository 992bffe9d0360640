package rolloutbench

import (
	"math/rand/v2"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/roller"
)

// Kind is the behaviour of the candidate version.
type Kind string

// The kinds of candidate.
const (
	Good         Kind = "good"
	FailsAtOnce  Kind = "fails at once"
	SlowsDown    Kind = "slows down"
	BadLater     Kind = "bad later"
	BadUnderLoad Kind = "bad only under load"
	BadOnRoute   Kind = "bad on one route"
	BadAtShare   Kind = "bad at larger share"
	Hangs        Kind = "hangs"
	Crashes      Kind = "crashes"
	ReclaimWaves Kind = "good, reclaim waves"
)

// Kinds returns all kinds in the order of the table.
func Kinds() []Kind {
	return []Kind{
		Good, ReclaimWaves, FailsAtOnce, SlowsDown, BadLater, BadUnderLoad, BadOnRoute, BadAtShare, Hangs, Crashes,
	}
}

// IsBad reports whether a candidate of this kind must be reverted.
func (k Kind) IsBad() bool { return k != Good && k != ReclaimWaves }

// Rate is the mean number of requests per second that reach the fleet.
type Rate float64

// The rates of the scenarios.
const (
	EveningRate Rate = 0.2
	DayRate     Rate = 5
	PeakRate    Rate = 50
)

// route is a route of the service and its share of the requests.
type route struct {
	name  identifier.Route
	share float64
}

// routes are the routes of the service, the busiest first.
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
	// longWarmUp is how long the fleet runs before a staged rollout begins at
	// EveningRate.
	longWarmUp = 2 * time.Hour
	// badFromShare is the share of requests from which a candidate of kind
	// BadAtShare is bad.
	badFromShare = 0.3
	// loadCycle is the period of the load. The load is heavy for heavyShare of
	// it.
	loadCycle  = 10 * time.Minute
	heavyShare = 0.25
)

// domainWindow is a time window in one failure domain.
type domainWindow struct {
	from, to time.Time
	domain   int
}

func (w domainWindow) contains(now time.Time) bool { return !now.Before(w.from) && now.Before(w.to) }

// Scenario is the fleet, the traffic and the candidate of one run.
type Scenario struct {
	Kind  Kind
	Seed  uint64
	Rate  Rate
	Hosts int
	// Deadline is the maximum duration of the rollout.
	Deadline time.Duration
	// ReportLag is the delay of a message between a host and the controller.
	ReportLag time.Duration
	// failureProbability is the probability that a request fails if the
	// candidate's fault affects it.
	failureProbability float64
	// slowdown is the factor by which a slow candidate's latency grows.
	slowdown float64
	// badRoute is the index of the route on which a candidate of kind
	// BadOnRoute fails.
	badRoute int
	// backgroundFailureProbability is the probability that a request fails on
	// either version without a fault of the candidate.
	backgroundFailureProbability float64
	waves                        []domainWindow
	partitions                   []domainWindow
	pace                         pace
	// exposure bounds the requests that the candidate may get. If it is set, the
	// rollout moves all traffic in one step.
	exposure roller.Exposure
	// rateBefore is the fraction of the rate that the fleet gets before the
	// rollout begins; 0 and 1 mean the same rate.
	rateBefore float64
}

// pace holds the times of a scenario that depend on how long its rollout takes.
type pace struct {
	// warmUp is how long the fleet runs before the rollout begins.
	warmUp time.Duration
	// watch is how long the old version stays loaded after all traffic has moved.
	watch time.Duration
	// turnsBadAfter is how long after the start a candidate of kind BadLater
	// turns bad.
	turnsBadAfter time.Duration
	// start is how long the candidate's servers take to start.
	start         time.Duration
	medianLatency time.Duration
	// decideInterval is the time between two decisions of the controller, and
	// reportInterval that between two checks of a host for a due report.
	decideInterval, reportInterval time.Duration
	// steadyLoad keeps the mean rate all the time.
	steadyLoad bool
	// tail is how long a run continues after the rollout's time.
	tail time.Duration
}

// stagedPace is the pace of rollouts that move traffic in stages.
var stagedPace = pace{
	warmUp: 20 * time.Minute, watch: 2 * time.Hour, turnsBadAfter: time.Hour, medianLatency: 800 * time.Millisecond,
	decideInterval: time.Second, reportInterval: time.Second, tail: 2*time.Hour + time.Minute,
}

// rolloutStart is when the rollout of every scenario begins.
var rolloutStart = time.Date(2026, 3, 2, 18, 0, 0, 0, time.UTC)

// NewScenario samples a scenario from a seed. The rate is chosen by seed modulo
// 3, so that each rate has a third of the runs.
func NewScenario(k Kind, seed uint64) *Scenario {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := &Scenario{Kind: k, Seed: seed, pace: stagedPace}
	s.Rate = []Rate{EveningRate, DayRate, PeakRate}[seed%3]
	s.Hosts = minHosts + rng.IntN(maxHosts-minHosts+1)
	s.Deadline = []time.Duration{30 * time.Minute, time.Hour, 2 * time.Hour}[rng.IntN(3)]
	s.ReportLag = time.Duration(5+rng.IntN(400)) * time.Millisecond
	s.failureProbability = 0.3 + 0.7*rng.Float64()
	s.slowdown = 1.5 + 2.5*rng.Float64()
	s.badRoute = rng.IntN(len(routes))
	s.backgroundFailureProbability = 0.01 * rng.Float64()
	s.sampleWaves(rng)
	s.samplePartition(rng)
	if s.Rate == EveningRate {
		s.pace.warmUp = longWarmUp
	}
	return s
}

// sampleWaves adds the reclaim waves: several for the kind ReclaimWaves, and
// otherwise one in a third of the runs.
func (s *Scenario) sampleWaves(rng *rand.Rand) {
	n := 0
	if rng.IntN(3) == 0 {
		n = 1
	}
	if s.Kind == ReclaimWaves {
		n = 4 + rng.IntN(5)
	}
	for range n {
		from := rolloutStart.Add(time.Duration(rng.Float64() * float64(s.Deadline+s.pace.watch/2)))
		length := time.Minute + time.Duration(rng.IntN(240))*time.Second
		s.waves = append(s.waves, domainWindow{from: from, to: from.Add(length), domain: rng.IntN(numDomains)})
	}
}

// samplePartition partitions a failure domain from the controller in a third of
// the runs.
func (s *Scenario) samplePartition(rng *rand.Rand) {
	if rng.IntN(3) != 0 {
		return
	}
	from := rolloutStart.Add(time.Duration(rng.Float64() * float64(s.Deadline) / 2))
	length := 2*time.Minute + time.Duration(rng.Float64()*float64(s.Deadline)/4)
	s.partitions = []domainWindow{{from: from, to: from.Add(length), domain: rng.IntN(numDomains)}}
}

// end returns the time at which the run ends at the latest. The watch period
// may last twice as long as planned.
func (s *Scenario) end() time.Time { return s.deadline().Add(s.pace.watch + s.pace.tail) }

// deadline returns the time by which all traffic must have moved.
func (s *Scenario) deadline() time.Time { return rolloutStart.Add(s.Deadline) }

// partitioned reports whether a host can't reach the controller.
func (s *Scenario) partitioned(host int, now time.Time) bool {
	for _, p := range s.partitions {
		if p.domain == host%numDomains && p.contains(now) {
			return true
		}
	}
	return false
}

// isHeavyLoad reports whether the load is heavy at a time.
func (s *Scenario) isHeavyLoad(now time.Time) bool {
	if s.pace.steadyLoad {
		return false
	}
	phase := now.Sub(rolloutStart.Add(-longWarmUp)) % loadCycle
	return float64(phase) > (1-heavyShare)*float64(loadCycle)
}

// The factors by which the request rate differs from the mean rate under heavy
// and light load. Together they keep the mean.
const (
	heavyFactor = 2
	lightFactor = (1 - heavyShare*heavyFactor) / (1 - heavyShare)
)

// loadFactor returns the factor by which the request rate differs from the mean
// at a time.
func (s *Scenario) loadFactor(now time.Time) float64 {
	switch {
	case s.rateBefore > 0 && now.Before(rolloutStart):
		return s.rateBefore
	case s.pace.steadyLoad:
		return 1
	case s.isHeavyLoad(now):
		return heavyFactor
	default:
		return lightFactor
	}
}
