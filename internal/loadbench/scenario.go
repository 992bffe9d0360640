package loadbench

import (
	"fmt"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/router"
)

// Scenario describes one run.
type Scenario struct {
	Seed     uint64
	Policy   Policy
	Fleet    Fleet
	Workload Workload
	// Rate is the arrival rate over all hosts, in requests per second.
	Rate     float64
	Duration time.Duration
	// Warmup is the time before Duration; requests that arrive in it are not
	// counted.
	Warmup time.Duration
	// FirstTokenTarget is the target for the time from the arrival at the entry
	// host to the first token. Deadline is the limit for the complete answer.
	FirstTokenTarget, Deadline time.Duration
	Reports                    Reports
	CacheEvents                CacheEvents
	// Admission puts the Admitter in front of the router; nil sends every
	// request immediately.
	Admission *Admission
	Retries   Retries
}

// Fleet describes the entry hosts and backend servers.
type Fleet struct {
	Domains, Hosts, Servers int
	Engine                  EngineModel
	// Price is the price of a server per hour; Prices overrides it by failure
	// domain.
	Price  float64
	Prices []float64
}

// Reports describes the load reports of the engines.
type Reports struct {
	// Interval is the time between reports, 0 means no reports. Lag is the
	// delay until they reach the hosts.
	Interval, Lag time.Duration
	// StopAfter is the time after which reports stop for good, 0 means never.
	StopAfter time.Duration
	// OwnDomain sends reports only to the hosts in the server's failure domain.
	OwnDomain bool
	// ZeroLoadServers is the number of servers that always report no load.
	ZeroLoadServers int
}

// CacheEvents describes the cache events of the engines.
type CacheEvents struct {
	// Interval is the time between events, 0 means no events. Lag is the delay
	// until they reach the hosts.
	Interval, Lag time.Duration
	// Loss is the share of events that are lost.
	Loss float64
}

// Admission configures the Admitter of every host.
type Admission struct {
	// Concurrency is the maximum concurrency of each host; QueueLimit is the
	// maximum length of its queue.
	Concurrency, QueueLimit int
	// FixedLimit turns off the adaptation of the concurrency limit.
	FixedLimit bool
}

// Retries describes the retries of failed attempts.
type Retries struct {
	// Timeout is the limit for the time from the start of an attempt to its
	// first token; 0 means no limit and no retries.
	Timeout time.Duration
	// Budget makes each retry subject to the Admitter's retry budget.
	Budget bool
}

// ReferenceEngine returns the model of an engine for a medium-sized model.
func ReferenceEngine() EngineModel {
	return EngineModel{
		Slots: 16, PrefillRate: 8000, PrefillChunk: 1024,
		StepBase: 20 * time.Millisecond, StepPerSequence: 400 * time.Microsecond, StepTokens: 2,
		CacheBlocks: 1000,
	}
}

// ReferenceFleet returns a fleet of ten backend servers and nine entry hosts in
// four failure domains.
func ReferenceFleet() Fleet {
	return Fleet{Domains: 4, Hosts: 9, Servers: 10, Engine: ReferenceEngine(), Price: 1}
}

// The policies.
type (
	// Prefix is the Router under test.
	Prefix struct{ Config router.Config }
	// RoundRobin picks the servers in turn, independently on each host.
	RoundRobin struct{}
	// LeastLoaded picks the server with the fewest requests in flight. It uses
	// the host's own count and the last load report or, if Exact is set, the
	// true number of requests, which no real host can know.
	LeastLoaded struct{ Exact bool }
	// TwoChoices picks the less loaded of two random servers.
	TwoChoices struct{}
)

// Policy is the way in which a host picks a server. It is one of Prefix,
// RoundRobin, LeastLoaded and TwoChoices.
type Policy interface{ isPolicy() }

func (Prefix) isPolicy()      {}
func (RoundRobin) isPolicy()  {}
func (LeastLoaded) isPolicy() {}
func (TwoChoices) isPolicy()  {}

// PolicyName returns the name of a policy as the tables print it.
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

// domainName returns the name of the i-th failure domain.
func domainName(i int) identifier.FailureDomain {
	return identifier.FailureDomain(fmt.Sprintf("d%d", i))
}

// candidates returns the fleet's servers. They are assigned to the failure
// domains in turn.
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

// service is the only service of a simulation.
const service identifier.Service = "model"
