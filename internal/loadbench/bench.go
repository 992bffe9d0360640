package loadbench

import (
	"math/rand/v2"
	"time"

	"cyclamenhub.org/admitter"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
	"cyclamenhub.org/router"
)

// Delays of the network, one way.
const (
	sameDomain  = 200 * time.Microsecond
	otherDomain = 1500 * time.Microsecond
)

// Defaults of a Scenario.
const (
	defaultFirstToken = time.Second
	defaultDeadline   = 60 * time.Second
)

// bench is a run in progress.
type bench struct {
	simulator
	s       Scenario
	rng     *rand.Rand
	gen     *generator
	hosts   []*host
	engines []*engine
	byName  map[identifier.BackendServer]*engine
	result  *Result
	prompts int64
	spilled int
}

// call is one caller's request.
type call struct {
	prompt   prompt
	load     *CustomerLoad
	arrived  time.Time
	deadline time.Time
	counted  bool
	grant    *admitter.Grant
	tried    []identifier.BackendServer
	granted  time.Time
	first    time.Duration
}

// Run runs a scenario to its end.
func Run(s Scenario) *Result {
	if s.FirstTokenTarget <= 0 {
		s.FirstTokenTarget = defaultFirstToken
	}
	if s.Deadline <= 0 {
		s.Deadline = defaultDeadline
	}
	rng := rand.New(rand.NewPCG(s.Seed, s.Seed^0x5eed))
	b := &bench{
		s: s, rng: rng, gen: newGenerator(s.Workload, rng), result: newResult(),
		simulator: simulator{now: start}, byName: make(map[identifier.BackendServer]*engine),
	}
	b.build()
	b.scheduleArrival()
	b.scheduleReports()
	b.scheduleCacheEvents()
	b.scheduleExpiry()
	b.after(s.Warmup, b.resetCounters)
	end := start.Add(s.Warmup + s.Duration)
	b.runUntil(end)
	b.sum()
	// The last requests that count are still under way; others keep the load up.
	b.runUntil(end.Add(s.Deadline))
	return b.result
}

// build makes the engines and hosts.
func (b *bench) build() {
	table := &router.Table{Candidates: b.s.Fleet.candidates()}
	for _, c := range table.Candidates {
		e := &engine{EngineModel: b.s.Fleet.Engine, Candidate: c, sim: &b.simulator, cache: newPrefixCache(b.s.Fleet.Engine.CacheBlocks)}
		b.engines = append(b.engines, e)
		b.byName[c.BackendServer] = e
	}
	for i := range b.s.Fleet.Hosts {
		h := &host{
			domain:   domainName(i % b.s.Fleet.Domains),
			inFlight: make([]int, len(b.engines)), others: make([]int, len(b.engines)),
		}
		b.hosts = append(b.hosts, h)
		b.equip(h, uint64(i), table)
	}
}

// equip gives a host its router and admitter.
func (b *bench) equip(h *host, i uint64, table *router.Table) {
	var cfg router.Config
	if p, ok := b.s.Policy.(Prefix); ok {
		cfg = p.Config
	}
	cfg.Clock, cfg.Random = &b.simulator, router.NewSeeded(b.s.Seed<<16+i)
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
		if a.Fixed {
			target = 0
		}
		h.admitter = admitter.New(admitter.Config{
			Clock: &b.simulator, Queued: a.Queued, Customers: customers,
			StartShare: 1 / identifier.Share(b.s.Fleet.Hosts),
			Services: []admitter.ServiceLimits{{
				Service: service, FirstTokenTarget: target, Concurrency: a.Concurrency,
			}},
		})
	}
}

// scheduleArrival lets requests arrive as a Poisson process at random hosts.
func (b *bench) scheduleArrival() {
	b.after(time.Duration(b.rng.ExpFloat64()/b.s.Rate*float64(time.Second)), func() {
		b.scheduleArrival()
		c := &call{
			prompt: b.gen.prompt(b.now), load: b.gen.customer(), arrived: b.now,
			deadline: b.now.Add(b.s.Deadline), counted: b.counts(),
		}
		b.arrive(b.hosts[b.rng.IntN(len(b.hosts))], c)
	})
}

// counts reports whether a request that arrives now is counted.
func (b *bench) counts() bool {
	since := b.now.Sub(start) - b.s.Warmup
	return since >= 0 && since < b.s.Duration
}

// expireEvery is how often the admitters refuse what has waited too long.
const expireEvery = 100 * time.Millisecond

// scheduleExpiry lets the admitters refuse what has waited too long.
func (b *bench) scheduleExpiry() {
	if b.s.Admission == nil {
		return
	}
	b.after(expireEvery, func() {
		b.scheduleExpiry()
		for _, h := range b.hosts {
			h.admitter.Expire()
		}
	})
}

// arrive hands a call to its host's admitter, or sends it at once.
func (b *bench) arrive(h *host, c *call) {
	b.count(c, func(n *Counts) { n.Offered++ })
	if h.admitter == nil {
		b.send(h, c)
		return
	}
	priority := admitter.Interactive
	if b.rng.Float64() < c.load.BatchPart {
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
		c.grant, c.granted = g, b.now
		b.send(h, c)
	})
}

// count changes the counts of the run and of the call's customer.
func (b *bench) count(c *call, change func(*Counts)) {
	if c.counted {
		change(&b.result.Counts)
		change(b.result.customer(c.load.Limits.Customer))
	}
}

// resetCounters forgets what the engines did in the warm-up.
func (b *bench) resetCounters() {
	for _, e := range b.engines {
		e.recomputed, e.generated, e.prefilled, e.busy, e.peak = 0, 0, 0, 0, 0
	}
	b.prompts, b.spilled, b.gen.novel = 0, 0, 0
}

// sum adds up what the engines did.
func (b *bench) sum() {
	r := b.result
	r.Seconds = b.s.Duration.Seconds()
	var recomputed int64
	var busy, most time.Duration
	var peak, peaks int
	for _, e := range b.engines {
		recomputed += e.recomputed
		busy += e.busy
		most = max(most, e.busy)
		peak = max(peak, e.peak)
		peaks += e.peak
		r.PriceHours += e.Price * b.s.Duration.Hours()
		r.BusyPriceHours += e.Price * e.busy.Hours()
	}
	n := float64(len(b.engines))
	r.Recomputed = float64(recomputed) / float64(max(b.prompts, 1))
	r.Novel = float64(b.gen.novel) / float64(max(b.prompts, 1))
	r.Imbalance = most.Seconds() * n / busy.Seconds()
	r.PeakImbalance = float64(peak) * n / float64(max(peaks, 1))
	r.Spilled = float64(b.spilled) / float64(max(r.Attempts, 1))
}
