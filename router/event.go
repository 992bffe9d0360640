package router

import (
	"time"

	"cyclamenhub.org/identifier"
)

// Event is something seen of a backend server. It is one of LoadReport,
// CacheEvent, Leaving and Unreachable.
type Event interface{ isEvent() }

// LoadReport is what a backend server says of its load. It lags. Prompt tokens
// that wait are not in it: they are computed before a report of them arrives,
// and an error that all hosts share sends them all to the same servers.
type LoadReport struct {
	BackendServer identifier.BackendServer
	// Running and Waiting count requests of all hosts.
	Running, Waiting int
}

// CacheEvent is what a backend server says of its prefix cache. It is late, and
// some are lost.
type CacheEvent struct {
	BackendServer   identifier.BackendServer
	Stored, Evicted []Block
}

// Leaving is a notice that a backend server leaves. It holds for the server's
// present incarnation, whatever the table says.
type Leaving struct {
	BackendServer identifier.BackendServer
}

// Unreachable tells that a backend server refused a connection or stayed
// silent.
type Unreachable struct {
	BackendServer identifier.BackendServer
}

func (LoadReport) isEvent()  {}
func (CacheEvent) isEvent()  {}
func (Leaving) isEvent()     {}
func (Unreachable) isEvent() {}

// Observe takes in an event. Events of servers that were never in a table are
// dropped.
func (r *Router) Observe(e Event) {
	switch e := e.(type) {
	case LoadReport:
		r.observeLoad(e)
	case CacheEvent:
		r.observeCache(e)
	case Leaving:
		if s := r.known(e.BackendServer); s != nil {
			s.gone.Store(s.incarnation.Load() + 1)
		}
	case Unreachable:
		if s := r.known(e.BackendServer); s != nil {
			s.strike(r.cfg.Clock.Now())
		}
	}
}

// observeLoad keeps the part of the load that is due to other hosts.
func (r *Router) observeLoad(e LoadReport) {
	s := r.known(e.BackendServer)
	if s == nil {
		return
	}
	s.report.Store(&report{
		at:       r.cfg.Clock.Now(),
		requests: max(int64(e.Running+e.Waiting)-s.inFlight.Load(), 0),
	})
}

// observeCache corrects the guesses of what a server holds.
func (r *Router) observeCache(e CacheEvent) {
	s := r.known(e.BackendServer)
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

// fresh returns the report unless it is too old to say anything.
func (s *server) fresh(now time.Time, ttl time.Duration) *report {
	p := s.report.Load()
	if p == nil || now.Sub(p.at) > ttl {
		return nil
	}
	return p
}
