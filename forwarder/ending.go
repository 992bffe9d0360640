package forwarder

import (
	"context"
	"maps"
	"sync"
	"time"

	"cyclamenhub.org/connector"
	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/placer"
	"cyclamenhub.org/timer"
)

const (
	// goesOnLooks is how often it is looked whether a server that leaves goes on with other
	// answers, one look each witnessInterval: one finds none while all have bytes to read.
	goesOnLooks = 5
	// abruptTime is how long the end of a server amid other answers is remembered.
	abruptTime = 5 * time.Second
)

// answerEnd is what is known of an answer that has ended without an error.
type answerEnd uint8

const (
	// cut: the process of the server has ended, and may have done so amid the answer.
	cut answerEnd = iota
	// assumedWhole: nothing shows that it was cut.
	assumedWhole
	// whole: it has its length or its last chunk, or its server went on after it.
	whole
)

// endOf returns what is known of an answer of an attempt that has ended without an error. One
// without a length ends with its connection, and so does one whose server ends.
func (x *exchange) endOf(res *connector.Response, choice *placer.Choice) answerEnd {
	if res.Delimited {
		return whole
	}
	fl := x.f.fleet.Load()
	in, ok := fl.servers[choice.Server]
	switch {
	case !ok && fl.hasAddress(x.instance.Address):
		return cut // Another server has its address: it has ended some time ago.
	case !ok:
		return x.endAtLeaving(x.instance)
	case in.Draining || choice.IsLeaving():
		return x.endAtLeaving(in)
	}
	switch x.findServer(in) {
	case processEnded:
		return cut
	case processUp:
		return whole
	default:
		return assumedWhole
	}
}

// endAtLeaving is endOf for a server that leaves, or has left the list. It may end in order after
// its last answer, but not while it answers other calls.
func (x *exchange) endAtLeaving(in describer.Instance) answerEnd {
	hasOthers := x.f.opts.Pool.InUse(in.Address) > 1 || x.f.abrupt.has(in.Run(), x.f.opts.Clock.Now())
	switch x.findServer(in) {
	case processUp:
		return whole
	case processUnknown:
		return assumedWhole
	case processEnded:
	}
	if !hasOthers || x.f.goesOn(x.ctx, in) {
		return assumedWhole
	}
	x.f.abrupt.add(in.Run(), x.f.opts.Clock.Now())
	return cut
}

// goesOn reports whether a server that refuses new connections still holds older ones open, once a
// process that ends has had time to close them.
func (f *Forwarder) goesOn(ctx context.Context, in describer.Instance) bool {
	timer.Sleep(ctx, probeHold)
	for range goesOnLooks {
		if f.opts.Pool.HasOpen(in.Address, 0) {
			return true
		}
		timer.Sleep(ctx, witnessInterval)
	}
	return false
}

// findServer finds out whether the process of the backend server of an attempt has ended. If the
// end of the answer may be old, another process may have the address by now.
func (x *exchange) findServer(in describer.Instance) processState {
	mayBeOld := x.conn.MayBeOld()
	state := x.f.findProcess(x.ctx, in)
	if state == processUp && mayBeOld {
		return x.f.identifyProcess(x.ctx, in)
	}
	return state
}

// abruptEnds are the runs of servers that left and were found to have ended amid other answers. The
// calls that they had at the time learn of it one after the other. It is safe for concurrent use.
type abruptEnds struct {
	mu   sync.Mutex
	runs map[identifier.ServerRun]time.Time
}

// add adds a run that was found to have ended.
func (a *abruptEnds) add(run identifier.ServerRun, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.runs == nil {
		a.runs = make(map[identifier.ServerRun]time.Time)
	}
	maps.DeleteFunc(a.runs, func(_ identifier.ServerRun, at time.Time) bool { return now.Sub(at) >= abruptTime })
	a.runs[run] = now
}

// has reports whether a run was found to have ended a short time ago.
func (a *abruptEnds) has(run identifier.ServerRun, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, ok := a.runs[run]
	return ok && now.Sub(at) < abruptTime
}
