package loadbench

import (
	"fmt"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/router"
)

// Scenario is one run.
type Scenario struct {
	Seed     uint64
	Policy   Policy
	Fleet    Fleet
	Workload Workload
	// Rate is the requests a second over all hosts.
	Rate     float64
	Duration time.Duration
	// Warmup is not counted.
	Warmup time.Duration
	// FirstTokenTarget is counted from the arrival at the entry host, Deadline
	// bounds the whole answer.
	FirstTokenTarget, Deadline time.Duration
	Reports                    Reports
	CacheEvents                CacheEvents
	// Admission puts the Admitter in front; nil sends everything on at once.
	Admission *Admission
	Retries   Retries
}

// Fleet is the entry hosts and backend servers.
type Fleet struct {
	Domains, Hosts, Servers int
	Engine                  EngineModel
	// Price is the price of a server an hour; Prices overrides it by domain.
	Price  float64
	Prices []float64
}

// Reports describes the load reports.
type Reports struct {
	// Every is their interval, 0 means none; Lag their delay.
	Every, Lag time.Duration
	// StopAfter ends them for good, 0 means never.
	StopAfter time.Duration
	// OwnDomain sends them to the hosts of the server's domain only.
	OwnDomain bool
	// Liars is the number of servers that always report no load.
	Liars int
}

// CacheEvents describes the cache events.
type CacheEvents struct {
	// Every is their interval, 0 means none; Lag their delay.
	Every, Lag time.Duration
	// Loss is the share of events that never arrive.
	Loss float64
}

// Admission configures the Admitter of every host.
type Admission struct {
	// Concurrency is each host's ceiling; Queued bounds its queue.
	Concurrency, Queued int
	// Fixed lets the concurrency limit stand still.
	Fixed bool
}

// Retries tells how failed attempts are repeated.
type Retries struct {
	// Timeout is how long an attempt may take to its first token; 0 means that
	// it waits for ever.
	Timeout time.Duration
	// Budget asks the Admitter's retry budget first.
	Budget bool
}

// TodaysEngine is a mid-sized model engine.
func TodaysEngine() EngineModel {
	return EngineModel{
		Slots: 16, PrefillRate: 8000, Chunk: 1024,
		StepBase: 20 * time.Millisecond, StepEach: 400 * time.Microsecond, StepTokens: 2,
		CacheBlocks: 1000,
	}
}

// TodaysFleet is ten workers and nine entry hosts in four domains.
func TodaysFleet() Fleet {
	return Fleet{Domains: 4, Hosts: 9, Servers: 10, Engine: TodaysEngine(), Price: 1}
}

// Policies of choosing a server.
type (
	// Prefix is the project's router.
	Prefix struct{ Config router.Config }
	// RoundRobin takes the servers in turn, on each host.
	RoundRobin struct{}
	// LeastLoaded takes the server with the fewest requests in flight: by the
	// host's own count and the last report, or, where Exact is set, by what no
	// real host can know.
	LeastLoaded struct{ Exact bool }
	// TwoChoices takes the less loaded of two random servers.
	TwoChoices struct{}
)

// Policy chooses a server. It is one of Prefix, RoundRobin, LeastLoaded and
// TwoChoices.
type Policy interface{ isPolicy() }

func (Prefix) isPolicy()      {}
func (RoundRobin) isPolicy()  {}
func (LeastLoaded) isPolicy() {}
func (TwoChoices) isPolicy()  {}

// PolicyName returns the name of a policy in tables.
func PolicyName(p Policy) string {
	switch p := p.(type) {
	case Prefix:
		return "prefix"
	case RoundRobin:
		return "round-robin"
	case LeastLoaded:
		if p.Exact {
			return "least-loaded, exact"
		}
		return "least-loaded"
	case TwoChoices:
		return "two-choices"
	default:
		return fmt.Sprintf("%T", p)
	}
}

// domainName names the i-th failure domain.
func domainName(i int) identifier.FailureDomain {
	return identifier.FailureDomain(fmt.Sprintf("d%d", i))
}

// candidates lists the fleet's servers, domain after domain in turn.
func (f *Fleet) candidates() []router.Candidate {
	list := make([]router.Candidate, f.Servers)
	for i := range list {
		price := f.Price
		if len(f.Prices) > 0 {
			price = f.Prices[i%f.Domains]
		}
		list[i] = router.Candidate{
			BackendServer: identifier.BackendServer(fmt.Sprintf("w%d", i)), Service: service, Version: "1",
			FailureDomain: domainName(i % f.Domains), Concurrency: f.Engine.Slots, Price: price,
		}
	}
	return list
}

// service is the one service of a simulation.
const service identifier.Service = "model"
