package forwarder

import (
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/roller"
)

// Versions picks the version of a service that a call is sent to. Only the
// first attempt gets a picked version, since later attempts at the same call
// may fail for the same reason.
type Versions interface {
	Pick(s identifier.Service, id identifier.RequestID, r identifier.Route, b roller.Band) roller.Assignment
	CurrentVersion(s identifier.Service, configured identifier.Version) identifier.Version
}

// chooseVersion returns the version of the next attempt. If the picked version
// has no backend server, it returns the present one.
func (x *exchange) chooseVersion(fl *fleet) identifier.Version {
	configured := fl.versions[x.service]
	if x.f.opts.Versions == nil {
		return configured
	}
	present := x.f.opts.Versions.CurrentVersion(x.service, configured)
	if x.sends > 0 {
		return present
	}
	x.ticket = x.f.opts.Versions.Pick(x.service, identifier.RequestID(x.call.ID), x.route.Name, roller.LightLoad)
	x.ticketOpen = true
	if v := x.ticket.Version(); v != "" && fl.hasVersion(x.service, v) {
		return v
	}
	x.endTicket(callerLeft, 0) // No attempt at this call uses the picked version.
	return present
}

// endTicket reports the result of the attempt with the picked version.
func (x *exchange) endTicket(result attemptResult, firstAfter time.Duration) {
	if !x.ticketOpen || x.sends > 1 {
		return
	}
	x.ticketOpen = false
	e := roller.Result{Server: x.server, Latency: firstAfter}
	switch result {
	case answered:
		e.Outcome = roller.Succeeded
	case failed, broken:
		e.Outcome = roller.Failed
	case refused, unsent:
		e.Outcome = roller.Unreachable
	case callerLeft:
		e.Outcome = roller.Withdrawn
	}
	x.ticket.End(e)
}
