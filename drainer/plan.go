package drainer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cyclamenhub.org/dispatcher"
	"cyclamenhub.org/identifier"
)

const (
	// maxMargin bounds the part of a notice that is kept for accidents.
	maxMargin = 2 * time.Second
	// marginShare is that part, as 1/marginShare of the notice.
	marginShare = 4
	// finishShare is the part of a host's notice, as 1/finishShare, that
	// requests have to finish before they are handed over.
	finishShare = 3
	// maxHandovers bounds the handovers at work at one time.
	maxHandovers = 32
)

// Event is something that the plan reacts to. It is one of ServerLeaves,
// ServerStays, HostLeaves, HostStops, HandoverEnded and Tick.
type Event interface{ isEvent() }

// ServerLeaves tells that a backend server is reclaimed at Deadline.
type ServerLeaves struct {
	Server   identifier.BackendServer
	At       time.Time
	Deadline time.Time
	// Heard tells that another host passed the notice on.
	Heard bool
}

// ServerStays takes a ServerLeaves back.
type ServerStays struct{ Server identifier.BackendServer }

// HostLeaves tells that this host is reclaimed at Deadline.
type HostLeaves struct{ At, Deadline time.Time }

// HostStops tells that this host stops when its requests have ended.
type HostStops struct{}

// HandoverEnded tells how a HandOver ended.
type HandoverEnded struct {
	Request identifier.RequestID
	// Failed tells that no peer took the request, so that it goes on here.
	Failed bool
}

// Tick tells the time and what is at work.
type Tick struct {
	Now    time.Time
	Active []dispatcher.Active
}

func (ServerLeaves) isEvent()  {}
func (ServerStays) isEvent()   {}
func (HostLeaves) isEvent()    {}
func (HostStops) isEvent()     {}
func (HandoverEnded) isEvent() {}
func (Tick) isEvent()          {}

// Effect is something to be done. It is one of Avoid, Tell, BecomeUnready,
// RefuseNew, Move, HandOver and TellUnknown.
type Effect interface{ isEffect() }

// Avoid tells whether a backend server gets new work.
type Avoid struct {
	Server  identifier.BackendServer
	Leaving bool
}

// Tell tells the other hosts that a backend server, or where Server is empty
// this host, leaves.
type Tell struct {
	Server identifier.BackendServer
	Left   time.Duration
}

// BecomeUnready tells the balancer to send nothing more.
type BecomeUnready struct{}

// RefuseNew ends the acceptance of new requests.
type RefuseNew struct{}

// Move moves a request to another backend server.
type Move struct{ Request identifier.RequestID }

// HandOver hands a request to a peer.
type HandOver struct{ Request identifier.RequestID }

// TellUnknown tells a peer that a request's outcome is unknown.
type TellUnknown struct{ Request identifier.RequestID }

func (Avoid) isEffect()         {}
func (Tell) isEffect()          {}
func (BecomeUnready) isEffect() {}
func (RefuseNew) isEffect()     {}
func (Move) isEffect()          {}
func (HandOver) isEffect()      {}
func (TellUnknown) isEffect()   {}

// notice is a reclaim notice.
type notice struct{ at, deadline time.Time }

// margin returns the time before the deadline at which all must be done.
func (n notice) margin() time.Duration {
	return min(n.deadline.Sub(n.at)/marginShare, maxMargin)
}

// Plan decides what to move when. Its zero value knows of nothing that leaves.
type Plan struct {
	servers  map[identifier.BackendServer]notice
	host     notice
	leaving  bool
	stopping bool
	handing  map[identifier.RequestID]bool
	// queue holds what is to be handed over next, as of the last Tick.
	queue    []identifier.RequestID
	told     map[identifier.RequestID]bool
	lastTick time.Time
	refusing bool
}

// Leaving reports whether this host leaves or stops.
func (p *Plan) Leaving() bool { return p.leaving || p.stopping }

// Idle reports whether nothing leaves.
func (p *Plan) Idle() bool { return !p.Leaving() && len(p.servers) == 0 }

// Reduce takes an event in and returns what is to be done.
func (p *Plan) Reduce(e Event) []Effect {
	switch e := e.(type) {
	case ServerLeaves:
		return p.serverLeaves(e)
	case ServerStays:
		delete(p.servers, e.Server)
		return []Effect{Avoid{Server: e.Server}}
	case HostLeaves:
		return p.hostLeaves(e)
	case HostStops:
		return p.hostStops()
	case HandoverEnded:
		delete(p.handing, e.Request)
		return p.fill()
	case Tick:
		return p.tick(e)
	default:
		return nil
	}
}

func (p *Plan) serverLeaves(e ServerLeaves) []Effect {
	if p.servers == nil {
		p.servers = make(map[identifier.BackendServer]notice)
	}
	if old, ok := p.servers[e.Server]; ok && !e.Deadline.Before(old.deadline) {
		return nil
	}
	p.servers[e.Server] = notice{e.At, e.Deadline}
	effects := []Effect{Avoid{Server: e.Server, Leaving: true}}
	if !e.Heard {
		effects = append(effects, Tell{Server: e.Server, Left: e.Deadline.Sub(e.At)})
	}
	return effects
}

func (p *Plan) hostLeaves(e HostLeaves) []Effect {
	if p.leaving && !e.Deadline.Before(p.host.deadline) {
		return nil
	}
	was := p.Leaving()
	p.leaving, p.host = true, notice{e.At, e.Deadline}
	effects := []Effect{Tell{Left: e.Deadline.Sub(e.At)}}
	if !was {
		effects = append(effects, BecomeUnready{})
	}
	return effects
}

func (p *Plan) hostStops() []Effect {
	if p.Leaving() {
		return nil
	}
	p.stopping = true
	return []Effect{BecomeUnready{}}
}

// tick moves what is due.
func (p *Plan) tick(e Tick) []Effect {
	var effects []Effect
	if p.leaving {
		effects = p.handOver(e)
	}
	for _, s := range p.sortedServers() {
		effects = append(effects, p.moveFrom(s, e)...)
	}
	p.lastTick = e.Now
	return effects
}

// sortedServers returns the leaving servers in a fixed order.
func (p *Plan) sortedServers() []identifier.BackendServer {
	list := make([]identifier.BackendServer, 0, len(p.servers))
	for s := range p.servers {
		list = append(list, s)
	}
	slices.Sort(list)
	return list
}

// moveFrom moves the share of a leaving server's requests that is due, so that
// the last has moved when only the margin is left.
func (p *Plan) moveFrom(s identifier.BackendServer, e Tick) []Effect {
	var list []dispatcher.Active
	for _, a := range e.Active {
		if a.Server == s && !a.NonIdempotent && !p.handing[a.ID] {
			list = append(list, a)
		}
	}
	sortByLoss(list)
	n := p.servers[s]
	left := n.deadline.Sub(e.Now) - n.margin()
	due := len(list)
	if since := e.Now.Sub(p.lastTick); left > 0 && !p.lastTick.IsZero() {
		due = min(due, int(math.Ceil(float64(len(list))*float64(since)/float64(left))))
	}
	effects := make([]Effect, 0, due)
	for _, a := range list[:due] {
		effects = append(effects, Move{a.ID})
	}
	return effects
}

// sortByLoss puts first what would lose most.
func sortByLoss(list []dispatcher.Active) {
	slices.SortFunc(list, func(a, b dispatcher.Active) int {
		return cmp.Or(cmp.Compare(b.Events, a.Events), cmp.Compare(a.ID, b.ID))
	})
}

// handOver hands over what did not finish in its part of the notice.
func (p *Plan) handOver(e Tick) []Effect {
	if e.Now.Before(p.host.at.Add(p.host.deadline.Sub(p.host.at) / finishShare)) {
		return nil
	}
	list := slices.Clone(e.Active)
	sortByLoss(list)
	var effects []Effect
	if !p.refusing {
		p.refusing = true
		effects = append(effects, RefuseNew{})
	}
	p.queue = p.queue[:0]
	for _, a := range list {
		switch {
		case a.NonIdempotent:
			effects = append(effects, p.tellUnknown(a.ID, e.Now)...)
		case !a.Handed && !p.handing[a.ID]:
			p.queue = append(p.queue, a.ID)
		}
	}
	return append(effects, p.fill()...)
}

// fill begins as many handovers as the bound allows.
func (p *Plan) fill() []Effect {
	n := min(maxHandovers-len(p.handing), len(p.queue))
	effects := make([]Effect, 0, n)
	for _, id := range p.queue[:n] {
		if p.handing == nil {
			p.handing = make(map[identifier.RequestID]bool)
		}
		p.handing[id] = true
		effects = append(effects, HandOver{id})
	}
	p.queue = p.queue[n:]
	return effects
}

// tellUnknown tells a peer of a non-idempotent request, once, when only half
// of the margin is left.
func (p *Plan) tellUnknown(id identifier.RequestID, now time.Time) []Effect {
	if p.told[id] || now.Before(p.host.deadline.Add(-p.host.margin()/2)) {
		return nil
	}
	if p.told == nil {
		p.told = make(map[identifier.RequestID]bool)
	}
	p.told[id] = true
	return []Effect{TellUnknown{id}}
}
