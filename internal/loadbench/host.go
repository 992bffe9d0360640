package loadbench

import (
	"cyclamenhub.org/admitter"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/router"
)

// host is an entry host.
type host struct {
	domain   identifier.FailureDomain
	router   *router.Router
	admitter *admitter.Admitter
	// inFlight and others count requests for the baselines: the host's own,
	// and by the last report those of other hosts.
	inFlight, others []int
	turn             int
}

// load is a baseline's estimate of a server's load.
func (h *host) load(i int) int { return h.inFlight[i] + h.others[i] }

// observe hands a load report to the host.
func (h *host) observe(i int, r router.LoadReport) {
	h.others[i] = max(r.Running+r.Waiting-h.inFlight[i], 0)
	h.router.Observe(r)
}

// pick chooses a server for a request. release takes the load away and
// firstToken tells of the first token.
func (b *bench) pick(h *host, c *call) (e *engine, firstToken func(), release func(router.Outcome)) {
	var i int
	switch p := b.s.Policy.(type) {
	case Prefix:
		return b.pickByPrefix(h, c)
	case RoundRobin:
		i = h.turn % len(b.engines)
		h.turn++
	case LeastLoaded:
		i = b.leastLoaded(h, p.Exact)
	case TwoChoices:
		i = b.rng.IntN(len(b.engines))
		if j := b.rng.IntN(len(b.engines)); h.load(j) < h.load(i) {
			i = j
		}
	default:
		panic(p)
	}
	e = b.engines[i]
	h.inFlight[i]++
	e.underWay++
	return e, func() {}, func(router.Outcome) { h.inFlight[i]--; e.underWay-- }
}

// pickByPrefix asks the router.
func (b *bench) pickByPrefix(h *host, c *call) (*engine, func(), func(router.Outcome)) {
	choice, err := h.router.Choose(router.Request{
		Service: service, Version: "1", PrefixBlocks: c.prompt.blocks,
		PromptTokens: identifier.Tokens(c.prompt.tokens),
		Exclude:      c.tried,
	})
	if err != nil {
		return nil, nil, nil
	}
	held := &choice
	return b.byName[choice.BackendServer], held.FirstToken, held.Release
}

// leastLoaded returns the server with the fewest requests; equal ones are taken
// at random.
func (b *bench) leastLoaded(h *host, exact bool) int {
	load := h.load
	if exact {
		load = func(i int) int { return b.engines[i].underWay }
	}
	offset := b.rng.IntN(len(b.engines))
	best := offset
	for k := range b.engines {
		if j := (offset + k) % len(b.engines); load(j) < load(best) {
			best = j
		}
	}
	return best
}
