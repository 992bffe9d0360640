package router

import (
	"time"

	"cyclamenhub.org/identifier"
)

// Event is an observation about a backend server: a LoadReport, CacheEvent,
// Leaving or Unreachable.
type Event interface{ isEvent() }

// LoadReport is a backend server's own report of its load. It arrives with a
// delay. It omits the prompt tokens that are waiting: they are usually
// processed before a report of them arrives, and as all hosts would act on the
// same outdated number, they would all send to the same servers.
type LoadReport struct {
	BackendServer identifier.BackendServer
	// Running and Waiting count the requests of all hosts.
	Running, Waiting int
}

// CacheEvent is a backend server's report of changes to its prefix cache. Cache
// events arrive late, and some are lost.
type CacheEvent struct {
	BackendServer   identifier.BackendServer
	Stored, Evicted []Block
}

// Leaving is a notice that a backend server is leaving. It applies to the
// server's current incarnation, even if the routing table lists the server as
// live.
type Leaving struct {
	BackendServer identifier.BackendServer
}

// Unreachable reports that a backend server refused a connection or did not
// answer in time.
type Unreachable struct {
	BackendServer identifier.BackendServer
}

func (LoadReport) isEvent()  {}
func (CacheEvent) isEvent()  {}
func (Leaving) isEvent()     {}
func (Unreachable) isEvent() {}

// Observe processes an event. It ignores events of servers that are not in the
// current routing table.
func (r *Router) Observe(e Event) {
	switch e := e.(type) {
	case LoadReport:
		r.observeLoad(e)
	case CacheEvent:
		r.observeCache(e)
	case Leaving:
		if s := r.serverByName(e.BackendServer); s != nil {
			s.goneBelow.Store(s.incarnation.Load() + 1)
		}
	case Unreachable:
		if s := r.serverByName(e.BackendServer); s != nil {
			s.recordFailure(r.cfg.Clock.Now())
		}
	}
}

// observeLoad stores the part of the reported load that other hosts cause.
func (r *Router) observeLoad(e LoadReport) {
	s := r.serverByName(e.BackendServer)
	if s == nil {
		return
	}
	s.report.Store(&report{
		at:       r.cfg.Clock.Now(),
		requests: max(int64(e.Running+e.Waiting)-s.inFlight.Load(), 0),
	})
}

// observeCache updates the cache hints of a server.
func (r *Router) observeCache(e CacheEvent) {
	s := r.serverByName(e.BackendServer)
	if s == nil {
		return
	}
	for _, b := range e.Stored {
		r.hints.add(b, s.id)
	}
	for _, b := range e.Evicted {
		r.hints.remove(b, s.id)
	}
}

// freshReport returns the latest load report, or nil if there is none or it is
// older than ttl.
func (s *server) freshReport(now time.Time, ttl time.Duration) *report {
	p := s.report.Load()
	if p == nil || now.Sub(p.at) > ttl {
		return nil
	}
	return p
}
