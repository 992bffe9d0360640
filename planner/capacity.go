package planner

import (
	"cmp"
	"slices"
	"time"

	"cyclamenhub.org/identifier"
)

// capacity sums the slots of a service that are there or on their way.
type capacity struct {
	slots, ready int
	// reclaimable holds the reclaimable slots by domain.
	reclaimable map[identifier.FailureDomain]int
}

// add counts a host or a start.
func (c *capacity) add(o *Offer) {
	c.slots += o.Slots
	if o.Reclaimable {
		c.reclaimable[o.FailureDomain] += o.Slots
	}
}

// capacityOf sums up a service.
func (p *Planner) capacityOf(n *Need) capacity {
	c := capacity{reclaimable: make(map[identifier.FailureDomain]int)}
	for _, h := range p.hosts {
		if h.service != n.Service || h.leaving || h.stop != nil {
			continue
		}
		c.add(&h.offer)
		if h.loaded != "" {
			c.ready += h.offer.Slots
		}
	}
	for _, s := range p.starts {
		if s.service == n.Service {
			c.add(&s.order.Offer)
		}
	}
	return c
}

// lacks reports whether slots are missing, now or after a reclaim of any one
// domain.
func (c *capacity) lacks(n *Need) bool {
	if c.slots < n.Slots {
		return true
	}
	for _, r := range c.reclaimable {
		if c.slots-r < n.Floor {
			return true
		}
	}
	return false
}

// planStarts orders hosts until the service has its slots and its floor.
func (p *Planner) planStarts(n *Need, now time.Time) []Order {
	var orders []Order
	c := p.capacityOf(n)
	for c.lacks(n) && len(p.starts) < p.cfg.Starts {
		o, ok := p.best(n, &c, now)
		if !ok {
			break
		}
		s := &start{order: StartOrder{OrderID: p.nextID("start"), Fencing: p.term, Offer: o}, service: n.Service, sent: now}
		p.starts[s.order.OrderID] = s
		c.add(&o)
		orders = append(orders, s.order)
	}
	return orders
}

// best returns the cheapest offer that may be started now. Reclaimable hosts
// are allowed in a domain as long as all slots, less those that its reclaim
// would take, leave the floor.
func (p *Planner) best(n *Need, c *capacity, now time.Time) (Offer, bool) {
	var allowed []Offer
	for _, o := range p.offers {
		most := max(n.Slots, c.slots+o.Slots) - n.Floor
		if o.Reclaimable && c.reclaimable[o.FailureDomain]+o.Slots > most {
			continue
		}
		if !p.market.waits(o.OfferKey, now) {
			allowed = append(allowed, o)
		}
	}
	if len(allowed) == 0 {
		return Offer{}, false
	}
	return slices.MinFunc(allowed, func(a, b Offer) int {
		return cmp.Or(
			cmp.Compare(p.market.cost(&a, p.cfg.ReplaceHours), p.market.cost(&b, p.cfg.ReplaceHours)),
			// Of equal offers the domain with fewer slots to lose goes first.
			cmp.Compare(c.reclaimable[a.FailureDomain], c.reclaimable[b.FailureDomain]),
			cmp.Compare(a.FailureDomain, b.FailureDomain),
			cmp.Compare(a.Class, b.Class),
		)
	}), true
}

// planStop orders the dearest host to stop that the service can do without,
// one at a time.
func (p *Planner) planStop(n *Need, now time.Time) []Order {
	c := p.capacityOf(n)
	var dearest *host
	for _, h := range p.sortedHosts(n.Service) {
		if h.stop != nil {
			return nil
		}
		if h.leaving || !p.spare(n, &c, h) {
			continue
		}
		if dearest == nil || p.market.cost(&h.offer, p.cfg.ReplaceHours) > p.market.cost(&dearest.offer, p.cfg.ReplaceHours) {
			dearest = h
		}
	}
	if dearest == nil {
		return nil
	}
	dearest.stop = &StopOrder{OrderID: p.nextID("stop"), Fencing: p.term, BackendServer: dearest.name}
	dearest.sent = now
	return []Order{*dearest.stop}
}

// spare reports whether the service keeps its slots, loaded, and its floor
// without h.
func (p *Planner) spare(n *Need, c *capacity, h *host) bool {
	ready, slots := c.ready, c.slots-h.offer.Slots
	if h.loaded != "" {
		ready -= h.offer.Slots
	}
	if ready < n.Slots {
		return false
	}
	for d, r := range c.reclaimable {
		if h.offer.Reclaimable && h.offer.FailureDomain == d {
			r -= h.offer.Slots
		}
		if slots-r < n.Floor {
			return false
		}
	}
	return true
}

// planLoads orders loads of empty hosts, up to what the weight store bears, those first whose
// service lacks the largest part of its slots.
func (p *Planner) planLoads(now time.Time) []Order {
	loading := make(map[identifier.BackendServer]bool)
	coming := make(map[identifier.Service]int)
	for _, l := range p.loads {
		loading[l.order.BackendServer] = true
		coming[l.order.Service] += p.hosts[l.order.BackendServer].offer.Slots
	}
	var orders []Order
	for len(p.loads) < p.cfg.Loads {
		h, n := p.nextLoad(loading, coming)
		if h == nil {
			break
		}
		l := &load{sent: now, order: LoadOrder{
			OrderID: p.nextID("load"), Fencing: p.term, BackendServer: h.name, Service: n.Service, Version: n.Version,
		}}
		p.loads[l.order.OrderID] = l
		loading[h.name] = true
		coming[n.Service] += h.offer.Slots
		orders = append(orders, l.order)
	}
	return orders
}

// nextLoad returns the host whose load unblocks most.
func (p *Planner) nextLoad(loading map[identifier.BackendServer]bool, coming map[identifier.Service]int) (*host, *Need) {
	var best *host
	var need *Need
	var most float64
	for i := range p.needs {
		n := &p.needs[i]
		c := p.capacityOf(n)
		lack := float64(n.Slots-c.ready-coming[n.Service]) / float64(max(n.Slots, 1))
		for _, h := range p.sortedHosts(n.Service) {
			if h.leaving || h.stop != nil || h.loaded != "" || loading[h.name] {
				continue
			}
			if best == nil || lack > most || lack == most && need == n && h.offer.Slots > best.offer.Slots {
				best, need, most = h, n, lack
			}
		}
	}
	return best, need
}
