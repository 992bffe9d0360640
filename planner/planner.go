package planner

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"cyclamenhub.org/identifier"
)

// Defaults of a Config.
const (
	defaultResend       = 30 * time.Second
	defaultLoads        = 2
	defaultReplaceHours = 0.1
	defaultStarts       = 64
)

// Config configures a Planner.
type Config struct {
	// Resend is after how long an unanswered order is sent again; 0 means 30 s.
	Resend time.Duration
	// Loads bounds the loads under way at once, for the weight store; 0 means 2.
	Loads int
	// Starts bounds the starts under way at once; 0 means 64.
	Starts int
	// ReplaceHours is the time in which a reclaimed host is paid for and does
	// not serve, until its replacement is loaded; 0 means 0.1 hours.
	ReplaceHours float64
}

// Planner is the plan of one fleet. It is not safe for concurrent use; the
// control goroutine owns it.
type Planner struct {
	cfg    Config
	offers map[OfferKey]Offer
	needs  []Need
	hosts  map[identifier.BackendServer]*host
	starts map[identifier.OrderID]*start
	loads  map[identifier.OrderID]*load
	market market
	seq    uint64
	// term is the fencing number of the last plan; order ids carry it, so that
	// two leaders never use one id for two orders.
	term identifier.FencingNumber
}

// host is a started host.
type host struct {
	name    identifier.BackendServer
	offer   Offer
	service identifier.Service
	loaded  identifier.Version
	leaving bool
	stop    *StopOrder
	sent    time.Time
}

// start is a start order that is not answered.
type start struct {
	order   StartOrder
	service identifier.Service
	sent    time.Time
}

// load is a load order that is not answered.
type load struct {
	order LoadOrder
	sent  time.Time
}

// New returns a Planner of an empty fleet.
func New(cfg Config) *Planner {
	if cfg.Resend <= 0 {
		cfg.Resend = defaultResend
	}
	if cfg.Loads <= 0 {
		cfg.Loads = defaultLoads
	}
	if cfg.Starts <= 0 {
		cfg.Starts = defaultStarts
	}
	if cfg.ReplaceHours <= 0 {
		cfg.ReplaceHours = defaultReplaceHours
	}
	return &Planner{
		cfg:    cfg,
		hosts:  make(map[identifier.BackendServer]*host),
		starts: make(map[identifier.OrderID]*start),
		loads:  make(map[identifier.OrderID]*load),
		market: newMarket(),
	}
}

// SetOffers replaces what the platform sells.
func (p *Planner) SetOffers(offers []Offer) {
	p.offers = make(map[OfferKey]Offer, len(offers))
	for _, o := range offers {
		p.offers[o.OfferKey] = o
	}
}

// SetNeeds replaces what the services want.
func (p *Planner) SetNeeds(needs []Need) { p.needs = slices.Clone(needs) }

// Adopt takes in a host that runs already, as after a change of the leader.
func (p *Planner) Adopt(name identifier.BackendServer, o Offer, s identifier.Service, v identifier.Version) {
	p.hosts[name] = &host{name: name, offer: o, service: s, loaded: v}
}

// Observe takes in an event. Events that were seen before change nothing.
func (p *Planner) Observe(now time.Time, e Event) {
	switch e := e.(type) {
	case Started:
		if s, ok := p.starts[e.OrderID]; ok {
			delete(p.starts, e.OrderID)
			p.hosts[e.BackendServer] = &host{name: e.BackendServer, offer: s.order.Offer, service: s.service}
			p.market.succeeded(s.order.Offer.OfferKey)
		}
	case StartRefused:
		if s, ok := p.starts[e.OrderID]; ok {
			delete(p.starts, e.OrderID)
			p.market.refused(s.order.Offer.OfferKey, now)
		}
	case Loaded:
		if l, ok := p.loads[e.OrderID]; ok {
			delete(p.loads, e.OrderID)
			if h, ok := p.hosts[l.order.BackendServer]; ok {
				h.loaded = l.order.Version
			}
		}
	case LoadFailed:
		delete(p.loads, e.OrderID)
	case Reclaimed:
		if h, ok := p.hosts[e.BackendServer]; ok && !h.leaving {
			h.leaving = true
			p.market.reclaimed(h.offer.OfferKey)
		}
	case Gone:
		p.forget(e.BackendServer)
	}
}

// forget drops a host and its loads.
func (p *Planner) forget(name identifier.BackendServer) {
	delete(p.hosts, name)
	maps.DeleteFunc(p.loads, func(_ identifier.OrderID, l *load) bool { return l.order.BackendServer == name })
}

// Plan returns the orders to send now: new ones, and those that were not
// answered for long.
func (p *Planner) Plan(now time.Time, fencing identifier.FencingNumber) []Order {
	p.term = fencing
	p.market.account(p.hosts, now)
	orders := p.resend(now)
	for i := range p.needs {
		orders = append(orders, p.planStarts(&p.needs[i], now)...)
		orders = append(orders, p.planStop(&p.needs[i], now)...)
	}
	return append(orders, p.planLoads(now)...)
}

// resend returns the orders that were not answered for long, under their ids
// and with the present fencing number.
func (p *Planner) resend(now time.Time) []Order {
	var orders []Order
	due := func(sent *time.Time) bool {
		if now.Sub(*sent) < p.cfg.Resend {
			return false
		}
		*sent = now
		return true
	}
	for _, id := range slices.Sorted(maps.Keys(p.starts)) {
		if s := p.starts[id]; due(&s.sent) {
			s.order.Fencing = p.term
			orders = append(orders, s.order)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(p.loads)) {
		if l := p.loads[id]; due(&l.sent) {
			l.order.Fencing = p.term
			orders = append(orders, l.order)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.hosts)) {
		if h := p.hosts[name]; h.stop != nil && due(&h.sent) {
			h.stop.Fencing = p.term
			orders = append(orders, *h.stop)
		}
	}
	return orders
}

// nextID returns a new order id.
func (p *Planner) nextID(kind string) identifier.OrderID {
	p.seq++
	return identifier.OrderID(fmt.Sprintf("%s-%d-%d", kind, p.term, p.seq))
}

// sortedHosts returns the hosts of a service by name, or all for "".
func (p *Planner) sortedHosts(s identifier.Service) []*host {
	var list []*host
	for _, h := range p.hosts {
		if s == "" || h.service == s {
			list = append(list, h)
		}
	}
	slices.SortFunc(list, func(a, b *host) int { return cmp.Compare(a.name, b.name) })
	return list
}
