package forwarder

import (
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/roller"
)

// Versions draws the version of a service that a call goes to. Only the first
// attempt is drawn, since attempts at one call may fail for one reason.
type Versions interface {
	Draw(s identifier.Service, id identifier.RequestID, r identifier.Route, b roller.Band) roller.Ticket
	Present(s identifier.Service, configured identifier.Version) identifier.Version
}

// draw returns the version of the next attempt. A drawn version without a
// backend server gives way to the present one.
func (x *exchange) draw(fl *fleet) identifier.Version {
	configured := fl.versions[x.service]
	if x.f.opts.Versions == nil {
		return configured
	}
	present := x.f.opts.Versions.Present(x.service, configured)
	if x.sends > 0 {
		return present
	}
	x.ticket = x.f.opts.Versions.Draw(x.service, identifier.RequestID(x.call.ID), x.route.Name, roller.LightLoad)
	x.drawn = true
	if v := x.ticket.Version(); v != "" && fl.has(x.service, v) {
		return v
	}
	x.ended(left, 0) // What follows says nothing of the drawn version.
	return present
}

// ended tells how the drawn attempt ended.
func (x *exchange) ended(end ending, firstAfter time.Duration) {
	if !x.drawn || x.sends > 1 {
		return
	}
	x.drawn = false
	e := roller.Ending{Server: x.server, Latency: firstAfter}
	switch end {
	case answered:
		e.Outcome = roller.Succeeded
	case failed, broken:
		e.Outcome = roller.Failed
	case refused, unsent:
		e.Outcome = roller.Unreachable
	case left:
		e.Outcome = roller.Withdrawn
	}
	x.ticket.End(e)
}
