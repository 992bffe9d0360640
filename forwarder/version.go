package forwarder

import (
	"sync/atomic"
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
// has no backend server, it returns the current one.
func (x *exchange) chooseVersion(fl *fleet) identifier.Version {
	current := x.currentVersion(fl)
	if x.f.opts.Versions == nil || x.sends > 0 {
		return current
	}
	x.assignment = x.f.opts.Versions.Pick(x.service, identifier.RequestID(x.call.ID), x.route.Name, roller.LightLoad)
	x.assignmentOpen = true
	if !fl.hasVersion(x.service, x.assignment.Version()) {
		x.endAssignment(callerLeft, 0) // No attempt at this call uses the picked version.
		return current
	}
	if c := x.assignment.Candidate(); c != "" && !fl.hasVersion(x.service, c) {
		// Calls of the control would count while the candidate gets none.
		x.endAssignment(callerLeft, 0)
	}
	x.watchFirstContent()
	return x.assignment.Version()
}

// currentVersion returns the version that calls are sent to without a rollout.
func (x *exchange) currentVersion(fl *fleet) identifier.Version {
	configured := fl.versions[x.service]
	if x.f.opts.Versions == nil {
		return configured
	}
	return x.f.opts.Versions.CurrentVersion(x.service, configured)
}

// contentWatch counts an assignment as slow when its first content is overdue.
// The calls of a slow version are pending longest: if they counted only once
// content arrives, the version would look better than it is.
type contentWatch struct {
	// counted is set once the first content has arrived or is overdue.
	counted atomic.Bool
	timer   *time.Timer
}

// watchFirstContent starts the watch of the assignment, if a rollout is in
// progress.
func (x *exchange) watchFirstContent() {
	after, ok := x.assignment.SlowAfter()
	if !ok || !x.assignmentOpen {
		return
	}
	a := x.assignment
	left := after - x.f.opts.Clock.Now().Sub(x.start)
	x.watch.timer = time.AfterFunc(left, func() {
		if x.watch.counted.CompareAndSwap(false, true) {
			a.FirstContent(after + 1)
		}
	})
}

// observeFirstContent counts the first content of the assignment, unless it was
// overdue.
func (x *exchange) observeFirstContent() {
	if x.assignmentOpen && x.watch.counted.CompareAndSwap(false, true) {
		x.assignment.FirstContent(x.firstAfter)
	}
}

// endAssignment reports the result of the attempt with the picked version.
func (x *exchange) endAssignment(result attemptResult, firstAfter time.Duration) {
	if !x.assignmentOpen {
		return
	}
	x.assignmentOpen = false
	if x.watch.timer != nil {
		x.watch.timer.Stop()
	}
	if !x.watch.counted.CompareAndSwap(false, true) {
		x.assignment.FirstContent(0) // It has been counted.
	}
	r := roller.Result{Server: x.server, Latency: firstAfter}
	switch result {
	case answered:
		r.Outcome = roller.Succeeded
	case failed, broken:
		r.Outcome = roller.Failed
	case refused, unsent:
		r.Outcome = roller.Unreachable
	case callerLeft:
		r.Outcome = roller.Withdrawn
	}
	x.assignment.End(r)
}
