package loadbench

import (
	"math/rand/v2"
	"time"

	"cyclamenhub.org/admitter"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/sequencer"
	"cyclamenhub.org/refuser"
	"cyclamenhub.org/router"
)

// startTime is the initial time of every simulation.
var startTime = time.Date(2026, 3, 1, 22, 0, 0, 0, time.UTC)

// One-way network delays.
const (
	sameDomainDelay  = 200 * time.Microsecond
	crossDomainDelay = 1500 * time.Microsecond
)

// Defaults of a Scenario.
const (
	defaultFirstTokenTarget = time.Second
	defaultDeadline         = 60 * time.Second
)

// simulation is the state of a run.
type simulation struct {
	*sequencer.Timeline
	s            Scenario
	rng          *rand.Rand
	gen          *generator
	hosts        []*host
	engines      []*engine
	byName       map[identifier.BackendServer]*engine
	result       *Result
	promptTokens int64
	spilled      int
}

// call is a request of a caller, with all its attempts.
type call struct {
	prompt            prompt
	load              *CustomerLoad
	arrivedAt         time.Time
	deadline          time.Time
	counted           bool
	grant             *admitter.Grant
	tried             []identifier.BackendServer
	grantedAt         time.Time
	firstTokenLatency time.Duration
}

// Run runs a scenario to its end and returns its result.
func Run(s Scenario) *Result {
	if s.FirstTokenTarget <= 0 {
		s.FirstTokenTarget = defaultFirstTokenTarget
	}
	if s.Deadline <= 0 {
		s.Deadline = defaultDeadline
	}
	rng := rand.New(rand.NewPCG(s.Seed, s.Seed^0x5eed))
	b := &simulation{
		s: s, rng: rng, gen: newGenerator(s.Workload, rng), result: newResult(),
		Timeline: sequencer.NewTimeline(startTime), byName: make(map[identifier.BackendServer]*engine),
	}
	b.buildFleet()
	b.scheduleArrival()
	b.scheduleReports()
	b.scheduleCacheEvents()
	b.scheduleExpiry()
	b.After(s.Warmup, b.resetCounters)
	end := startTime.Add(s.Warmup + s.Duration)
	b.RunUntil(end)
	b.summarize()
	// Requests that arrived in the counted time may still be in flight. Later
	// arrivals keep the load constant but are not counted.
	b.RunUntil(end.Add(s.Deadline))
	return b.result
}

// buildFleet creates the engines and the hosts.
func (b *simulation) buildFleet() {
	table := &router.Table{Candidates: b.s.Fleet.candidates()}
	for _, c := range table.Candidates {
		e := &engine{EngineModel: b.s.Fleet.Engine, Candidate: c, sim: b.Timeline, cache: newPrefixCache(b.s.Fleet.Engine.CacheBlocks)}
		b.engines = append(b.engines, e)
		b.byName[c.BackendServer] = e
	}
	for i := range b.s.Fleet.Hosts {
		h := &host{
			domain:   domainName(i % b.s.Fleet.Domains),
			inFlight: make([]int, len(b.engines)), othersInFlight: make([]int, len(b.engines)),
		}
		b.hosts = append(b.hosts, h)
		b.initHost(h, uint64(i), table)
	}
}

// initHost creates the router and the admitter of a host.
func (b *simulation) initHost(h *host, i uint64, table *router.Table) {
	var cfg router.Config
	if p, ok := b.s.Policy.(Prefix); ok {
		cfg = p.Config
	}
	cfg.Clock, cfg.Random = b.Timeline, router.NewSeeded(b.s.Seed<<16+i)
	cfg.FailureDomain, cfg.FirstTokenTarget = h.domain, b.s.FirstTokenTarget
	h.router = router.New(cfg)
	if _, ok := b.s.Policy.(Prefix); ok {
		h.router.Publish(table)
	}
	if a := b.s.Admission; a != nil {
		var customers []admitter.CustomerLimits
		for _, c := range b.s.Workload.Customers {
			customers = append(customers, c.Limits)
		}
		target := b.s.FirstTokenTarget
		if a.FixedLimit {
			target = 0
		}
		h.admitter = admitter.New(admitter.Config{
			Clock: b.Timeline, Queued: a.QueueLimit, Customers: customers,
			StartShare: 1 / identifier.Share(b.s.Fleet.Hosts),
			Services: []admitter.ServiceLimits{{
				Service: service, FirstTokenTarget: target, Concurrency: a.Concurrency,
			}},
		})
	}
}

// scheduleArrival schedules the arrivals of requests, a Poisson process over
// randomly chosen hosts.
func (b *simulation) scheduleArrival() {
	b.After(time.Duration(b.rng.ExpFloat64()/b.s.Rate*float64(time.Second)), func() {
		b.scheduleArrival()
		c := &call{
			prompt: b.gen.nextPrompt(b.Now()), load: b.gen.sampleCustomer(), arrivedAt: b.Now(),
			deadline: b.Now().Add(b.s.Deadline), counted: b.isCounted(),
		}
		b.arrive(b.hosts[b.rng.IntN(len(b.hosts))], c)
	})
}

// isCounted reports whether a request that arrives now is counted.
func (b *simulation) isCounted() bool {
	since := b.Now().Sub(startTime) - b.s.Warmup
	return since >= 0 && since < b.s.Duration
}

// expireInterval is the interval at which admitters refuse requests that have
// waited too long.
const expireInterval = 100 * time.Millisecond

// scheduleExpiry schedules the calls of Admitter.Expire, which refuse requests
// that have waited too long.
func (b *simulation) scheduleExpiry() {
	if b.s.Admission == nil {
		return
	}
	b.After(expireInterval, func() {
		b.scheduleExpiry()
		for _, h := range b.hosts {
			h.admitter.Expire()
		}
	})
}

// arrive offers a call to the admitter of its host, or sends it immediately if
// the host has no admitter.
func (b *simulation) arrive(h *host, c *call) {
	b.updateCounts(c, func(n *Counts) { n.Offered++ })
	if h.admitter == nil {
		b.send(h, c)
		return
	}
	priority := admitter.Interactive
	if b.rng.Float64() < c.load.BatchShare {
		priority = admitter.Batch
	}
	h.admitter.Offer(admitter.Request{
		Customer: c.load.Limits.Customer, Service: service, Priority: priority, Deadline: c.deadline,
		PromptTokens: identifier.Tokens(c.prompt.tokens), MaxTokens: identifier.Tokens(b.s.Workload.OutputTokens),
	}, func(g *admitter.Grant, f *refuser.Refusal) {
		if f != nil {
			if c.counted {
				b.result.Refused[f.Kind()]++
			}
			return
		}
		c.grant, c.grantedAt = g, b.Now()
		b.send(h, c)
	})
}

// updateCounts applies change to the counts of the run and of the call's
// customer, if the call is counted.
func (b *simulation) updateCounts(c *call, change func(*Counts)) {
	if c.counted {
		change(&b.result.Counts)
		change(b.result.customer(c.load.Limits.Customer))
	}
}

// resetCounters clears the engines' counters at the end of the warm-up.
func (b *simulation) resetCounters() {
	for _, e := range b.engines {
		e.recomputed, e.generated, e.prefilled, e.busy, e.peakRequests = 0, 0, 0, 0, 0
	}
	b.promptTokens, b.spilled, b.gen.novelTokens = 0, 0, 0
}

// summarize computes the totals of the engines.
func (b *simulation) summarize() {
	r := b.result
	r.Seconds = b.s.Duration.Seconds()
	var recomputed int64
	var busy, maxBusy time.Duration
	var maxPeak, peakSum int
	for _, e := range b.engines {
		recomputed += e.recomputed
		busy += e.busy
		maxBusy = max(maxBusy, e.busy)
		maxPeak = max(maxPeak, e.peakRequests)
		peakSum += e.peakRequests
		r.PriceHours += e.Price * b.s.Duration.Hours()
		r.BusyPriceHours += e.Price * e.busy.Hours()
	}
	n := float64(len(b.engines))
	r.Recomputed = float64(recomputed) / float64(max(b.promptTokens, 1))
	r.Novel = float64(b.gen.novelTokens) / float64(max(b.promptTokens, 1))
	r.Imbalance = maxBusy.Seconds() * n / busy.Seconds()
	r.PeakImbalance = float64(maxPeak) * n / float64(max(peakSum, 1))
	r.Spilled = float64(b.spilled) / float64(max(r.Attempts, 1))
}
