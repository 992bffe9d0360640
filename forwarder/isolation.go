package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"

	"cyclamenhub.org/concluder"
	"cyclamenhub.org/describer"
	"cyclamenhub.org/isolator"
)

// maxLossesOfCall is how many backend servers may break the connection of a call,
// which they had only begun to answer, before it is not sent to another one.
const maxLossesOfCall = 2

// errIsolated cancels a call one of whose suspects is isolated while it waits for an
// answer.
var errIsolated = errors.New("the request or a part of its prompt was isolated while the call waited")

// admitSuspects refuses a call if one of its suspects is isolated, unless the call may
// pass as a probe.
func (x *exchange) admitSuspects() *refusal {
	if x.f.opts.Isolation.UseProbe(x.service, x.suspects) {
		x.isProbe = true
		x.f.opts.Log.Info("an isolated call is let through", "id", x.call.ID)
	}
	return x.refuseIsolated()
}

// refuseIsolated returns a refusal if a suspect of the call is isolated, or nil. It
// gives no time to come back, since the same call will not be served later.
func (x *exchange) refuseIsolated() *refusal {
	if x.isProbe {
		return nil
	}
	id, ok := x.f.opts.Isolation.Isolated(x.service, x.suspects)
	if !ok {
		return nil
	}
	return &refusal{status: http.StatusBadRequest, reason: fmt.Sprintf(
		"the call was not run: %s is isolated, since backend servers ended when they answered calls with it; change the call", isolator.Key{Part: id}.Subject())}
}

// track makes the call end when one of its suspects is isolated, until it has
// survived or untrack is called.
func (x *exchange) track(cancel context.CancelCauseFunc) {
	if x.isProbe {
		x.untrack = func() {}
		return
	}
	x.untrack = x.f.opts.Isolation.Track(x.service, x.suspects, func() { cancel(errIsolated) })
}

// whyEnded returns why this host has ended the call before its deadline, since one of its
// suspects is isolated or the host stops, or nil.
func (x *exchange) whyEnded() error {
	if cause := context.Cause(x.ctx); errors.Is(cause, errIsolated) || errors.Is(cause, errStopping) {
		return cause
	}
	return nil
}

// recordSurvival records that the backend server has survived the call, once it has
// answered for isolator.SurvivalTime or completely. An answer that is only assumed to be whole
// is not known to be complete.
func (x *exchange) recordSurvival(complete bool) {
	if x.survived {
		return
	}
	if complete || x.f.opts.Clock.Now().Sub(x.contentAt) >= isolator.SurvivalTime {
		x.survived = true
		x.untrack()
		x.f.opts.Isolation.Survived(x.service, x.suspects)
	}
}

// isConnectionLoss reports whether an error says that the other side has closed or
// reset the connection.
func isConnectionLoss(err error) bool {
	for _, loss := range []error{io.EOF, io.ErrUnexpectedEOF, errCutInEvent, errNoEvent, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, loss) {
			return true
		}
	}
	return false
}

// recordLoss records that the connection to a backend server broke before the
// call had survived, and finds out in the background whether the process of the
// server has ended. Servers that leave end without the call's doing.
func (x *exchange) recordLoss(in describer.Instance) {
	if x.survived || in.Draining {
		return
	}
	x.losses++
	run := in.Run()
	end := isolator.End{Server: run, Service: x.service, Version: in.Version}
	if x.f.opts.Isolation.Lost(end, x.suspects) {
		go x.f.confirmEnd(in)
	} else {
		x.f.opts.EndConfirmed()
	}
}

// confirmEnd finds out whether the process of a backend server has ended.
func (f *Forwarder) confirmEnd(in describer.Instance) {
	run := in.Run()
	ended := f.findProcess(context.Background(), in) == concluder.Ended
	f.opts.Isolation.Confirm(run, ended)
	f.opts.Log.Info("backend server broke connections", "server", run.ID, "incarnation", run.Incarnation, "ended", ended)
	if ended {
		f.opts.EndConfirmed()
	}
}

// maySendAfterLoss reports whether a call may be sent to another backend server
// although it lost the connection to one or more.
func (x *exchange) maySendAfterLoss() bool {
	return x.losses == 0 || !x.isProbe && x.losses < maxLossesOfCall && !x.f.opts.Isolation.IsSuspect(x.service, x.suspects)
}
