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
	defaultResendInterval = 30 * time.Second
	defaultMaxLoads       = 2
	defaultReplaceHours   = 0.1
	defaultMaxStarts      = 64
)

// Config configures a Planner.
type Config struct {
	// ResendInterval is the time after which an unanswered order is sent again;
	// 0 means 30 s.
	ResendInterval time.Duration
	// MaxLoads bounds the pending loads, to protect the weight store; 0 means
	// 2.
	MaxLoads int
	// MaxStarts bounds the pending starts; 0 means 64.
	MaxStarts int
	// ReplaceHours is the time for which a reclaimed host is paid for but does
	// not serve, until its replacement is loaded; 0 means 0.1 hours.
	ReplaceHours float64
}

// Planner plans the hosts of one fleet. It is not safe for concurrent use; the
// control goroutine owns it.
type Planner struct {
	cfg     Config
	offers  map[OfferKey]Offer
	needs   []Need
	hosts   map[identifier.BackendServer]*host
	starts  map[identifier.OrderID]*start
	loads   map[identifier.OrderID]*load
	history offerHistory
	seq     uint64
	// fencing is the fencing number of the last plan. It is part of the order
	// ids, so that two leaders never use one id for two orders.
	fencing identifier.FencingNumber
}

// host is a host that has started.
type host struct {
	name      identifier.BackendServer
	offer     Offer
	service   identifier.Service
	loaded    identifier.Version
	reclaimed bool
	stop      *StopOrder
	sent      time.Time
}

// start is an unanswered start order.
type start struct {
	order   StartOrder
	service identifier.Service
	sent    time.Time
}

// load is an unanswered load order.
type load struct {
	order LoadOrder
	sent  time.Time
}

// New returns a Planner for an empty fleet.
func New(cfg Config) *Planner {
	if cfg.ResendInterval <= 0 {
		cfg.ResendInterval = defaultResendInterval
	}
	if cfg.MaxLoads <= 0 {
		cfg.MaxLoads = defaultMaxLoads
	}
	if cfg.MaxStarts <= 0 {
		cfg.MaxStarts = defaultMaxStarts
	}
	if cfg.ReplaceHours <= 0 {
		cfg.ReplaceHours = defaultReplaceHours
	}
	return &Planner{
		cfg:     cfg,
		hosts:   make(map[identifier.BackendServer]*host),
		starts:  make(map[identifier.OrderID]*start),
		loads:   make(map[identifier.OrderID]*load),
		history: newOfferHistory(),
	}
}

// SetOffers replaces the offers of the platform.
func (p *Planner) SetOffers(offers []Offer) {
	p.offers = make(map[OfferKey]Offer, len(offers))
	for _, o := range offers {
		p.offers[o.OfferKey] = o
	}
}

// SetNeeds replaces the needs of the services.
func (p *Planner) SetNeeds(needs []Need) { p.needs = slices.Clone(needs) }

// Adopt adds a host that is already running, such as after a change of the
// leader.
func (p *Planner) Adopt(name identifier.BackendServer, o Offer, s identifier.Service, v identifier.Version) {
	p.hosts[name] = &host{name: name, offer: o, service: s, loaded: v}
}

// Observe applies an event. Repeated events have no effect.
func (p *Planner) Observe(now time.Time, e Event) {
	switch e := e.(type) {
	case Started:
		if s, ok := p.starts[e.OrderID]; ok {
			delete(p.starts, e.OrderID)
			p.hosts[e.BackendServer] = &host{name: e.BackendServer, offer: s.order.Offer, service: s.service}
			p.history.recordStart(s.order.Offer.OfferKey)
		}
	case StartRefused:
		if s, ok := p.starts[e.OrderID]; ok {
			delete(p.starts, e.OrderID)
			p.history.recordRefusal(s.order.Offer.OfferKey, now)
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
		if h, ok := p.hosts[e.BackendServer]; ok && !h.reclaimed {
			h.reclaimed = true
			p.history.recordReclaim(h.offer.OfferKey)
		}
	case Gone:
		p.remove(e.BackendServer)
	}
}

// remove deletes a host and its pending loads.
func (p *Planner) remove(name identifier.BackendServer) {
	delete(p.hosts, name)
	maps.DeleteFunc(p.loads, func(_ identifier.OrderID, l *load) bool { return l.order.BackendServer == name })
}

// Plan returns the orders to send now: new ones, and those that have been
// unanswered for ResendInterval.
func (p *Planner) Plan(now time.Time, fencing identifier.FencingNumber) []Order {
	p.fencing = fencing
	p.history.account(p.hosts, now)
	orders := p.resend(now)
	for i := range p.needs {
		orders = append(orders, p.planStarts(&p.needs[i], now)...)
		orders = append(orders, p.planStop(&p.needs[i], now)...)
	}
	return append(orders, p.planLoads(now)...)
}

// resend returns the orders that have been unanswered for ResendInterval, with
// their ids unchanged and the current fencing number.
func (p *Planner) resend(now time.Time) []Order {
	var orders []Order
	due := func(sent *time.Time) bool {
		if now.Sub(*sent) < p.cfg.ResendInterval {
			return false
		}
		*sent = now
		return true
	}
	for _, id := range slices.Sorted(maps.Keys(p.starts)) {
		if s := p.starts[id]; due(&s.sent) {
			s.order.Fencing = p.fencing
			orders = append(orders, s.order)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(p.loads)) {
		if l := p.loads[id]; due(&l.sent) {
			l.order.Fencing = p.fencing
			orders = append(orders, l.order)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.hosts)) {
		if h := p.hosts[name]; h.stop != nil && due(&h.sent) {
			h.stop.Fencing = p.fencing
			orders = append(orders, *h.stop)
		}
	}
	return orders
}

// nextID returns a new order id.
func (p *Planner) nextID(kind string) identifier.OrderID {
	p.seq++
	return identifier.OrderID(fmt.Sprintf("%s-%d-%d", kind, p.fencing, p.seq))
}

// sortedHosts returns the hosts of a service, or all hosts if s is "", ordered
// by name.
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
