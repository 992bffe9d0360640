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
	// inFlight and othersInFlight count requests per server for the baseline
	// policies: those of this host, and those of other hosts as of the last
	// load report.
	inFlight, othersInFlight []int
	nextServer               int
}

// load returns the baseline policies' estimate of the load of the i-th server,
// in requests.
func (h *host) load(i int) int { return h.inFlight[i] + h.othersInFlight[i] }

// observe processes a load report of the i-th server.
func (h *host) observe(i int, r router.LoadReport) {
	h.othersInFlight[i] = max(r.Running+r.Waiting-h.inFlight[i], 0)
	h.router.Observe(r)
}

// pickServer picks a server for a request by the policy of the scenario. The
// caller calls firstToken at the first token, and release at the end of the
// attempt, which removes the attempt from the load estimate.
func (b *simulation) pickServer(h *host, c *call) (e *engine, firstToken func(), release func(router.Outcome)) {
	var i int
	switch p := b.s.Policy.(type) {
	case Prefix:
		return b.pickByPrefix(h, c)
	case RoundRobin:
		i = h.nextServer % len(b.engines)
		h.nextServer++
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
	e.inFlight++
	return e, func() {}, func(router.Outcome) { h.inFlight[i]--; e.inFlight-- }
}

// pickByPrefix picks a server with the host's Router.
func (b *simulation) pickByPrefix(h *host, c *call) (*engine, func(), func(router.Outcome)) {
	choice, err := h.router.Choose(router.Request{
		Service: service, Version: "1", PrefixBlocks: c.prompt.blocks,
		PromptTokens: identifier.Tokens(c.prompt.tokens),
		Exclude:      c.tried,
	})
	if err != nil {
		return nil, nil, nil
	}
	picked := &choice
	return b.byName[choice.BackendServer], picked.FirstToken, picked.Release
}

// leastLoaded returns the index of the server with the fewest requests. Ties
// are broken from a random offset.
func (b *simulation) leastLoaded(h *host, exact bool) int {
	load := h.load
	if exact {
		load = func(i int) int { return b.engines[i].inFlight }
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
