package dispatcher

import (
	"sync"
	"sync/atomic"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/router"
)

// promptTokenBytes is the approximate number of bytes in one token of a prompt.
const promptTokenBytes = 4

// RouterChooser is a Chooser that uses a router. It is safe for concurrent use.
type RouterChooser struct {
	router *router.Router

	published atomic.Pointer[publishedTable]
	mu        sync.Mutex
	// incarnations holds a number for each server that increases when its
	// notice to leave is withdrawn.
	incarnations map[identifier.BackendServer]uint64
}

// publishedTable is the table that was last published to the router.
type publishedTable struct {
	table   *Table
	servers map[identifier.BackendServer]configurer.BackendServer
}

// NewRouterChooser returns a Chooser that uses r.
func NewRouterChooser(r *router.Router) *RouterChooser {
	return &RouterChooser{router: r, incarnations: make(map[identifier.BackendServer]uint64)}
}

// Choose publishes the table of q to the router and requests a server from it.
func (c *RouterChooser) Choose(q Query) (Pick, bool) {
	t := c.publish(q.Table)
	choice, err := c.router.Choose(router.Request{
		Service: q.Request.Service.Name, Version: q.Version,
		PrefixBlocks: q.Request.prefix(), PromptTokens: q.Request.promptTokens(),
		FirstTokenTarget: q.Request.Service.FirstTokenTarget.Std(), Exclude: q.Excluded, Avoid: q.Avoid,
	})
	if err != nil {
		return nil, false
	}
	return &routerPick{choice: choice, server: t.servers[choice.BackendServer]}, true
}

// SetLeaving reports to the router that a server is leaving or is available
// again.
func (c *RouterChooser) SetLeaving(b identifier.BackendServer, leaving bool) {
	if leaving {
		c.router.Observe(router.Leaving{BackendServer: b})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.incarnations[b]++
	if p := c.published.Load(); p != nil {
		c.publishLocked(p.table)
	}
}

// publish publishes t to the router unless it is the current table.
func (c *RouterChooser) publish(t *Table) *publishedTable {
	if p := c.published.Load(); p != nil && p.table == t {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.published.Load(); p != nil && p.table == t {
		return p
	}
	return c.publishLocked(t)
}

// publishLocked publishes t. The caller must hold mu.
func (c *RouterChooser) publishLocked(t *Table) *publishedTable {
	p := &publishedTable{table: t, servers: make(map[identifier.BackendServer]configurer.BackendServer)}
	out := new(router.Table)
	for _, list := range t.servers {
		for _, b := range list {
			p.servers[b.Name] = b
			candidate := router.Candidate{
				BackendServer: b.Name, Service: b.Service, Version: b.Version, FailureDomain: b.FailureDomain,
				Incarnation: c.incarnations[b.Name], Concurrency: b.Concurrency, Price: b.Price,
			}
			if t.isEvacuated(b.FailureDomain) {
				candidate.State = router.Gone
			}
			out.Candidates = append(out.Candidates, candidate)
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

// promptTokens returns an estimate of the prompt's length in tokens.
func (r *Request) promptTokens() identifier.Tokens {
	return identifier.Tokens(len(r.Prompt) / promptTokenBytes)
}

// routerPick is the Pick of a RouterChooser.
type routerPick struct {
	choice router.Choice
	server configurer.BackendServer
}

// Server returns the server.
func (p *routerPick) Server() configurer.BackendServer { return p.server }

// FirstToken reports the first token to the router.
func (p *routerPick) FirstToken() { p.choice.FirstToken() }

// Finished reports the outcome to the router.
func (p *routerPick) Finished(o Outcome) {
	switch o {
	case Succeeded:
		p.choice.Release(router.Succeeded)
	case Erred:
		p.choice.Release(router.Failed)
	case TimedOut:
		p.choice.Release(router.TimedOut)
	case Unreachable, ConnectionLost:
		p.choice.Release(router.Refused)
	case Reclaimed, Neutral:
		p.choice.Release(router.Cancelled)
	}
}
