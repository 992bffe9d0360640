package dispatcher

import (
	"sync"
	"sync/atomic"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/router"
)

// promptTokenBytes approximates the bytes of one token of a prompt.
const promptTokenBytes = 4

// Routed is the Chooser that asks a router. It is safe for concurrent use.
type Routed struct {
	router *router.Router

	published atomic.Pointer[routedTable]
	mu        sync.Mutex
	// incarnations rise when a notice to leave is taken back.
	incarnations map[identifier.BackendServer]uint64
}

// routedTable is what the router was last told.
type routedTable struct {
	table   *Table
	servers map[identifier.BackendServer]configurer.BackendServer
}

// NewRouted returns a Chooser that asks r.
func NewRouted(r *router.Router) *Routed {
	return &Routed{router: r, incarnations: make(map[identifier.BackendServer]uint64)}
}

// Choose asks the router.
func (c *Routed) Choose(q Query) (Pick, bool) {
	t := c.publish(q.Table)
	choice, err := c.router.Choose(router.Request{
		Service: q.Request.Service.Name, Version: q.Version,
		PrefixBlocks: q.Request.prefix(), PromptTokens: q.Request.promptTokens(),
		FirstTokenTarget: q.Request.Service.FirstTokenTarget.Std(), Exclude: q.Excluded, Avoid: q.Avoid,
	})
	if err != nil {
		return nil, false
	}
	return &routedPick{choice: choice, server: t.servers[choice.BackendServer]}, true
}

// SetLeaving tells the router that a server leaves, or is back.
func (c *Routed) SetLeaving(b identifier.BackendServer, leaving bool) {
	if leaving {
		c.router.Observe(router.Leaving{BackendServer: b})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.incarnations[b]++
	if p := c.published.Load(); p != nil {
		c.put(p.table)
	}
}

// publish tells the router of t, once.
func (c *Routed) publish(t *Table) *routedTable {
	if p := c.published.Load(); p != nil && p.table == t {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.published.Load(); p != nil && p.table == t {
		return p
	}
	return c.put(t)
}

// put publishes t. The caller holds mu.
func (c *Routed) put(t *Table) *routedTable {
	p := &routedTable{table: t, servers: make(map[identifier.BackendServer]configurer.BackendServer)}
	out := new(router.Table)
	for _, list := range t.servers {
		for _, b := range list {
			p.servers[b.Name] = b
			out.Candidates = append(out.Candidates, router.Candidate{
				BackendServer: b.Name, Service: b.Service, Version: b.Version, FailureDomain: b.FailureDomain,
				Incarnation: c.incarnations[b.Name], Concurrency: b.Concurrency, Price: b.Price,
			})
		}
	}
	c.router.Publish(out)
	c.published.Store(p)
	return p
}

// prefix returns the blocks of the request's prompt.
func (r *Request) prefix() []router.Block {
	if len(r.Prompt) == 0 {
		return nil
	}
	if r.blocks == nil {
		r.blocks = router.Blocks(make([]router.Block, 0, len(r.Prompt)/router.BlockBytes), r.Prompt)
	}
	return r.blocks
}

// promptTokens estimates the length of the prompt.
func (r *Request) promptTokens() identifier.Tokens {
	return identifier.Tokens(len(r.Prompt) / promptTokenBytes)
}

// routedPick is a Pick of Routed.
type routedPick struct {
	choice router.Choice
	server configurer.BackendServer
}

// Server returns the server.
func (p *routedPick) Server() configurer.BackendServer { return p.server }

// FirstToken tells the router.
func (p *routedPick) FirstToken() { p.choice.FirstToken() }

// Finished tells the router.
func (p *routedPick) Finished(o Outcome) {
	switch o {
	case Succeeded:
		p.choice.Release(router.Succeeded)
	case Erred:
		p.choice.Release(router.Failed)
	case Unanswered:
		p.choice.Release(router.Silent)
	case Unreached, Broken:
		p.choice.Release(router.Refused)
	case Reclaimed, Neutral:
		p.choice.Release(router.Cancelled)
	}
}
