package placer

import (
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/reserver"
)

// placed returns the server as one that has places while it is brittle.
func (s *Server) placed() reserver.Server {
	return reserver.Server{Run: s.run(), Service: s.Service, Places: max(s.Slots, 1)}
}

// unplacedError returns the error of a call for which this host has no free place, and
// counts the call as one that needs a place at one of the servers. The caller holds mu.
func (p *Placer) unplacedError(servers []*serverState, r *Request, now time.Time) *LimitedError {
	e := &LimitedError{Service: r.Service, Version: r.Version, Limited: len(servers)}
	if !r.HasAsked {
		e.Asks = p.places.Need(now, reserver.Pool{Service: r.Service, Version: r.Version}, p.placeCandidates(servers, now))
	}
	if !e.Asks {
		p.limited.Inc()
		e.Wait = p.places.Wait(now, r.Service)
	}
	return e
}

// maxPlaceCandidates bounds the servers that a call names to the leader.
const maxPlaceCandidates = 96

// placeCandidates returns the servers at which the leader may issue a place, from a random
// one on, without those that seem to be down unless all do.
func (p *Placer) placeCandidates(servers []*serverState, now time.Time) []reserver.Server {
	first := p.opts.Random.IntN(len(servers))
	var up, down []reserver.Server
	for i := range servers {
		s := servers[(first+i)%len(servers)]
		if p.isSuspect(s, now) {
			down = append(down, s.placed())
		} else if up = append(up, s.placed()); len(up) == maxPlaceCandidates {
			break
		}
	}
	if len(up) == 0 {
		return down[:min(len(down), maxPlaceCandidates)]
	}
	return up
}

// RecordBrittle records what a response of the server says about how many refusals
// in a second it survives; nil means that it does not say that it is brittle.
func (r Responder) RecordBrittle(refusals *identifier.RequestRate) {
	r.p.mu.Lock()
	defer r.p.mu.Unlock()
	r.p.places.Record(r.p.opts.Clock.Now(), r.state.placed(), refusals)
	r.p.tellPlaces()
}

// endPlace records that the choice no longer takes up a place. The caller holds mu.
func (c *Choice) endPlace(now time.Time, o Outcome) {
	s := c.state.placed()
	isDue := o == Full && c.p.places.Refused(now, s)
	if c.p.places.Ended(now, s, c.state.own.Running, o != Failed && o != Cancelled) || isDue {
		c.p.opts.PlacesNow()
	}
}

// tellPlaces makes this host report on places soon if there are news. The caller holds mu.
func (p *Placer) tellPlaces() {
	if p.places.HasNews() {
		p.opts.PlacesNow()
	}
}

// NeedsPlaces reports whether calls wait for the next report on places.
func (p *Placer) NeedsPlaces() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.places.HasNeeds()
}

// PlaceInterval returns the shortest time between two reports on places without a call that
// waits. It returns false if no report is due, since no service is or was brittle.
func (p *Placer) PlaceInterval() (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.places.Interval(), p.places.IsConcerned()
}

// PlaceReport returns the next report on places.
func (p *Placer) PlaceReport() reserver.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	var calls []reserver.Running
	for _, s := range p.servers {
		if p.places.Concerns(s.Service) {
			calls = append(calls, reserver.Running{Server: s.placed(), Calls: s.own.Running})
		}
	}
	return p.places.Report(p.opts.Clock.Now(), calls)
}

// ApplyPlaces applies the leader's answer to the last report on places.
func (p *Placer) ApplyPlaces(g reserver.Grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.places.Apply(p.opts.Clock.Now(), g)
}

// LearnBrittle records what the leader knows of brittle services, in an answer to a message
// sent the given time ago.
func (p *Placer) LearnBrittle(took time.Duration, services map[identifier.Service]reserver.ServiceGrant) {
	if len(services) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, s := range services {
		p.places.Learn(p.opts.Clock.Now().Add(-took), name, s.Notice, s.BrittleFor)
	}
	p.tellPlaces()
}

// BrittleChanges returns the changes of what is known of brittle services since the last
// call.
func (p *Placer) BrittleChanges() []reserver.Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.places.Changes()
}
