package planner

import (
	"cmp"
	"slices"
	"time"

	"cyclamenhub.org/identifier"
)

// capacity sums the slots of a service, those of its hosts and those of pending
// starts.
type capacity struct {
	slots, ready int
	// reclaimable holds the reclaimable slots by failure domain.
	reclaimable map[identifier.FailureDomain]int
}

// add counts the slots of one host or of one pending start.
func (c *capacity) add(o *Offer) {
	c.slots += o.Slots
	if o.Reclaimable {
		c.reclaimable[o.FailureDomain] += o.Slots
	}
}

// capacityOf returns the capacity of the service of n. It leaves out hosts that
// are being reclaimed or stopped.
func (p *Planner) capacityOf(n *Need) capacity {
	c := capacity{reclaimable: make(map[identifier.FailureDomain]int)}
	for _, h := range p.hosts {
		if h.service != n.Service || h.reclaimed || h.stop != nil {
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

// insufficientFor reports whether there are fewer slots than n needs, or fewer
// than its floor after a reclaim of any one domain.
func (c *capacity) insufficientFor(n *Need) bool {
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

// planStarts orders starts until the service has its slots and its floor.
func (p *Planner) planStarts(n *Need, now time.Time) []Order {
	var orders []Order
	c := p.capacityOf(n)
	for c.insufficientFor(n) && len(p.starts) < p.cfg.MaxStarts {
		o, ok := p.cheapestOffer(n, &c, now)
		if !ok {
			break
		}
		s := &start{order: StartOrder{OrderID: p.nextID("start"), Fencing: p.fencing, Offer: o}, service: n.Service, sent: now}
		p.starts[s.order.OrderID] = s
		c.add(&o)
		orders = append(orders, s.order)
	}
	return orders
}

// cheapestOffer returns the cheapest offer that may be started now, and whether
// there is one. A reclaimable offer is allowed only if a reclaim of its whole
// domain would leave the floor, counting as present the slots that the service
// needs or, if more, those it has with the new host.
func (p *Planner) cheapestOffer(n *Need, c *capacity, now time.Time) (Offer, bool) {
	var allowed []Offer
	for _, o := range p.offers {
		maxReclaimable := max(n.Slots, c.slots+o.Slots) - n.Floor
		if o.Reclaimable && c.reclaimable[o.FailureDomain]+o.Slots > maxReclaimable {
			continue
		}
		if !p.history.backingOff(o.OfferKey, now) {
			allowed = append(allowed, o)
		}
	}
	if len(allowed) == 0 {
		return Offer{}, false
	}
	return slices.MinFunc(allowed, func(a, b Offer) int {
		return cmp.Or(
			cmp.Compare(p.history.cost(&a, p.cfg.ReplaceHours), p.history.cost(&b, p.cfg.ReplaceHours)),
			// Among offers of equal cost, the domain with fewer reclaimable
			// slots goes first.
			cmp.Compare(c.reclaimable[a.FailureDomain], c.reclaimable[b.FailureDomain]),
			cmp.Compare(a.FailureDomain, b.FailureDomain),
			cmp.Compare(a.Class, b.Class),
		)
	}), true
}

// planStop orders the stop of the most expensive host that the service does not
// need, one host at a time.
func (p *Planner) planStop(n *Need, now time.Time) []Order {
	c := p.capacityOf(n)
	var costliest *host
	for _, h := range p.sortedHosts(n.Service) {
		if h.stop != nil {
			return nil
		}
		if h.reclaimed || !p.canStop(n, &c, h) {
			continue
		}
		if costliest == nil || p.history.cost(&h.offer, p.cfg.ReplaceHours) > p.history.cost(&costliest.offer, p.cfg.ReplaceHours) {
			costliest = h
		}
	}
	if costliest == nil {
		return nil
	}
	costliest.stop = &StopOrder{OrderID: p.nextID("stop"), Fencing: p.fencing, BackendServer: costliest.name}
	costliest.sent = now
	return []Order{*costliest.stop}
}

// canStop reports whether the service, without h, keeps its slots on loaded
// hosts and keeps its floor.
func (p *Planner) canStop(n *Need, c *capacity, h *host) bool {
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

// planLoads orders loads of empty hosts, at most MaxLoads at a time to protect
// the weight store. The service that lacks the largest part of its slots goes
// first.
func (p *Planner) planLoads(now time.Time) []Order {
	loading := make(map[identifier.BackendServer]bool)
	loadingSlots := make(map[identifier.Service]int)
	for _, l := range p.loads {
		loading[l.order.BackendServer] = true
		loadingSlots[l.order.Service] += p.hosts[l.order.BackendServer].offer.Slots
	}
	var orders []Order
	for len(p.loads) < p.cfg.MaxLoads {
		h, n := p.nextLoad(loading, loadingSlots)
		if h == nil {
			break
		}
		l := &load{sent: now, order: LoadOrder{
			OrderID: p.nextID("load"), Fencing: p.fencing, BackendServer: h.name, Service: n.Service, Version: n.Version,
		}}
		p.loads[l.order.OrderID] = l
		loading[h.name] = true
		loadingSlots[n.Service] += h.offer.Slots
		orders = append(orders, l.order)
	}
	return orders
}

// nextLoad returns the empty host to load next and the need that it serves: the
// largest host of the service that lacks the largest part of its slots. It
// returns nil if there is no empty host. It counts the slots of pending loads,
// in loadingSlots, as present.
func (p *Planner) nextLoad(loading map[identifier.BackendServer]bool, loadingSlots map[identifier.Service]int) (*host, *Need) {
	var best *host
	var need *Need
	var maxShortfall float64
	for i := range p.needs {
		n := &p.needs[i]
		c := p.capacityOf(n)
		shortfall := float64(n.Slots-c.ready-loadingSlots[n.Service]) / float64(max(n.Slots, 1))
		for _, h := range p.sortedHosts(n.Service) {
			if h.reclaimed || h.stop != nil || h.loaded != "" || loading[h.name] {
				continue
			}
			if best == nil || shortfall > maxShortfall || shortfall == maxShortfall && need == n && h.offer.Slots > best.offer.Slots {
				best, need, maxShortfall = h, n, shortfall
			}
		}
	}
	return best, need
}
