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
	// maxMargin bounds the safety margin at the end of a notice.
	maxMargin = 2 * time.Second
	// marginDivisor sets the safety margin to 1/marginDivisor of the notice, at
	// most maxMargin.
	marginDivisor = 4
	// finishDivisor sets the time that requests on a leaving host have to
	// finish before their handover to 1/finishDivisor of the notice.
	finishDivisor = 3
	// maxHandovers is the maximum number of concurrent handovers.
	maxHandovers = 32
)

// Event is an input of the plan. It is one of ServerLeaves, ServerStays,
// HostLeaves, HostStops, HandoverEnded and Tick.
type Event interface{ isEvent() }

// ServerLeaves means that a backend server is reclaimed at Deadline. At is the
// time of the notice.
type ServerLeaves struct {
	Server   identifier.BackendServer
	At       time.Time
	Deadline time.Time
	// Forwarded means that another host forwarded the notice, so the plan does
	// not notify the other hosts.
	Forwarded bool
}

// ServerStays cancels a ServerLeaves.
type ServerStays struct{ Server identifier.BackendServer }

// HostLeaves means that this host is reclaimed at Deadline. At is the time of
// the notice.
type HostLeaves struct{ At, Deadline time.Time }

// HostStops means that this host stops when its requests have ended.
type HostStops struct{}

// HandoverEnded means that a HandOver has ended.
type HandoverEnded struct {
	Request identifier.RequestID
	// Failed means that no peer took the request, so it resumes on this host.
	Failed bool
}

// Tick carries the current time and the active requests.
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

// Effect is an output of the plan, to be performed by its user. It is one of
// SetServerLeaving, NotifyHosts, MarkUnready, RefuseNew, Move, HandOver and
// ReportUnknown.
type Effect interface{ isEffect() }

// SetServerLeaving sets whether a backend server is leaving. A leaving server
// gets no new requests.
type SetServerLeaving struct {
	Server  identifier.BackendServer
	Leaving bool
}

// NotifyHosts notifies the other hosts that a backend server leaves, or this
// host if Server is empty, and how much time remains.
type NotifyHosts struct {
	Server    identifier.BackendServer
	Remaining time.Duration
}

// MarkUnready reports this host as not ready, so that the load balancer sends
// it no more requests.
type MarkUnready struct{}

// RefuseNew makes this host refuse new requests.
type RefuseNew struct{}

// Move moves a request to another backend server.
type Move struct{ Request identifier.RequestID }

// HandOver hands over a request to a peer.
type HandOver struct{ Request identifier.RequestID }

// ReportUnknown reports to a peer that the outcome of a request is unknown.
type ReportUnknown struct{ Request identifier.RequestID }

func (SetServerLeaving) isEffect() {}
func (NotifyHosts) isEffect()      {}
func (MarkUnready) isEffect()      {}
func (RefuseNew) isEffect()        {}
func (Move) isEffect()             {}
func (HandOver) isEffect()         {}
func (ReportUnknown) isEffect()    {}

// notice is a reclaim notice with its time and its deadline.
type notice struct{ at, deadline time.Time }

// margin returns the safety margin: the time before the deadline by which all
// requests should have moved.
func (n notice) margin() time.Duration {
	return min(n.deadline.Sub(n.at)/marginDivisor, maxMargin)
}

// Plan decides which requests to move or hand over, and when. In its zero
// value, nothing leaves.
type Plan struct {
	servers     map[identifier.BackendServer]notice
	host        notice
	leaving     bool
	stopping    bool
	handingOver map[identifier.RequestID]bool
	// queue holds the requests to hand over next, as of the last Tick.
	queue       []identifier.RequestID
	reported    map[identifier.RequestID]bool
	lastTick    time.Time
	refusingNew bool
}

// Leaving reports whether this host is leaving or stopping.
func (p *Plan) Leaving() bool { return p.leaving || p.stopping }

// Idle reports whether neither this host nor a backend server leaves.
func (p *Plan) Idle() bool { return !p.Leaving() && len(p.servers) == 0 }

// Reduce processes an event and returns the effects to perform.
func (p *Plan) Reduce(e Event) []Effect {
	switch e := e.(type) {
	case ServerLeaves:
		return p.serverLeaves(e)
	case ServerStays:
		delete(p.servers, e.Server)
		return []Effect{SetServerLeaving{Server: e.Server}}
	case HostLeaves:
		return p.hostLeaves(e)
	case HostStops:
		return p.hostStops()
	case HandoverEnded:
		delete(p.handingOver, e.Request)
		return p.startHandovers()
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
	effects := []Effect{SetServerLeaving{Server: e.Server, Leaving: true}}
	if !e.Forwarded {
		effects = append(effects, NotifyHosts{Server: e.Server, Remaining: e.Deadline.Sub(e.At)})
	}
	return effects
}

func (p *Plan) hostLeaves(e HostLeaves) []Effect {
	if p.leaving && !e.Deadline.Before(p.host.deadline) {
		return nil
	}
	was := p.Leaving()
	p.leaving, p.host = true, notice{e.At, e.Deadline}
	effects := []Effect{NotifyHosts{Remaining: e.Deadline.Sub(e.At)}}
	if !was {
		effects = append(effects, MarkUnready{})
	}
	return effects
}

func (p *Plan) hostStops() []Effect {
	if p.Leaving() {
		return nil
	}
	p.stopping = true
	return []Effect{MarkUnready{}}
}

// tick returns the moves and handovers that are due.
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

// sortedServers returns the leaving servers, sorted by name.
func (p *Plan) sortedServers() []identifier.BackendServer {
	list := make([]identifier.BackendServer, 0, len(p.servers))
	for s := range p.servers {
		list = append(list, s)
	}
	slices.Sort(list)
	return list
}

// moveFrom returns the moves that are due for a leaving server. It spreads them
// evenly over the notice so that the last request moves before the margin
// begins. Non-idempotent requests do not move.
func (p *Plan) moveFrom(s identifier.BackendServer, e Tick) []Effect {
	var list []dispatcher.Active
	for _, a := range e.Active {
		if a.Server == s && !a.NonIdempotent && !p.handingOver[a.ID] {
			list = append(list, a)
		}
	}
	sortByProgress(list)
	n := p.servers[s]
	remaining := n.deadline.Sub(e.Now) - n.margin()
	due := len(list)
	if since := e.Now.Sub(p.lastTick); remaining > 0 && !p.lastTick.IsZero() {
		due = min(due, int(math.Ceil(float64(len(list))*float64(since)/float64(remaining))))
	}
	effects := make([]Effect, 0, due)
	for _, a := range list[:due] {
		effects = append(effects, Move{a.ID})
	}
	return effects
}

// sortByProgress sorts the requests with the most events, which have the most
// progress to lose, to the front.
func sortByProgress(list []dispatcher.Active) {
	slices.SortFunc(list, func(a, b dispatcher.Active) int {
		return cmp.Or(cmp.Compare(b.Events, a.Events), cmp.Compare(a.ID, b.ID))
	})
}

// handOver returns the handovers that are due on a leaving host, once the time
// for requests to finish has passed. It first stops the acceptance of new
// requests.
func (p *Plan) handOver(e Tick) []Effect {
	if e.Now.Before(p.host.at.Add(p.host.deadline.Sub(p.host.at) / finishDivisor)) {
		return nil
	}
	list := slices.Clone(e.Active)
	sortByProgress(list)
	var effects []Effect
	if !p.refusingNew {
		p.refusingNew = true
		effects = append(effects, RefuseNew{})
	}
	p.queue = p.queue[:0]
	for _, a := range list {
		switch {
		case a.NonIdempotent:
			effects = append(effects, p.reportUnknown(a.ID, e.Now)...)
		case !a.HandedOver && !p.handingOver[a.ID]:
			p.queue = append(p.queue, a.ID)
		}
	}
	return append(effects, p.startHandovers()...)
}

// startHandovers starts queued handovers, up to maxHandovers at a time.
func (p *Plan) startHandovers() []Effect {
	n := min(maxHandovers-len(p.handingOver), len(p.queue))
	effects := make([]Effect, 0, n)
	for _, id := range p.queue[:n] {
		if p.handingOver == nil {
			p.handingOver = make(map[identifier.RequestID]bool)
		}
		p.handingOver[id] = true
		effects = append(effects, HandOver{id})
	}
	p.queue = p.queue[n:]
	return effects
}

// reportUnknown returns the report of a non-idempotent request to a peer, once,
// when at most half of the margin remains.
func (p *Plan) reportUnknown(id identifier.RequestID, now time.Time) []Effect {
	if p.reported[id] || now.Before(p.host.deadline.Add(-p.host.margin()/2)) {
		return nil
	}
	if p.reported == nil {
		p.reported = make(map[identifier.RequestID]bool)
	}
	p.reported[id] = true
	return []Effect{ReportUnknown{id}}
}
