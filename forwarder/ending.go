package forwarder

import (
	"context"
	"log/slog"

	"cyclamenhub.org/concluder"
	"cyclamenhub.org/connector"
	"cyclamenhub.org/describer"
	"cyclamenhub.org/placer"
	"cyclamenhub.org/timer"
)

// goesOnLooks is how often it is looked whether a server that leaves goes on with other answers,
// one look each witnessInterval: one finds none while all have bytes to read.
const goesOnLooks = 5

// endOf returns how an answer of an attempt ended that has ended without an error. One without a
// length ends with its connection, and so does one whose server ends.
func (x *exchange) endOf(res *connector.Response, choice *placer.Choice) concluder.Verdict {
	if res.Delimited {
		return concluder.Whole
	}
	ctx, cancel := x.judgingContext()
	defer cancel()
	e := x.gatherEnd(ctx, choice)
	verdict := e.Judge()
	if verdict == concluder.Cut && e.MayGoOn() {
		e.GoesOn = x.f.goesOn(ctx, x.instance)
		e.Interrupted = ctx.Err() != nil
		verdict = e.Judge()
	}
	x.logEnd(&e, verdict)
	return verdict
}

// judgingContext returns the context of the judgement of an end. The deadline of the call does not
// end it: the answer came before, and is late by less than a second.
func (x *exchange) judgingContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(x.ctx))
	callerLeaves := context.AfterFunc(x.r.Context(), cancel)
	hostStops := context.AfterFunc(x.f.ending, cancel)
	return ctx, func() {
		callerLeaves()
		hostStops()
		cancel()
	}
}

// gatherEnd collects what is known of the end of the answer of an attempt, but for whether its
// server goes on with others.
func (x *exchange) gatherEnd(ctx context.Context, choice *placer.Choice) concluder.Evidence {
	own := x.conn.End()
	_ = x.f.opts.Pool.OtherEnds(x.conn) // Those that are there now are seen now.
	e := concluder.Evidence{Old: x.conn.MayBeOld(), ServesFor: x.f.opts.LeavingTime}
	fl := x.f.fleet.Load()
	in, isListed := fl.servers[choice.Server]
	if isListed && isOtherRun(in.StartedAtMillis, x.instance.StartedAtMillis) || !isListed && fl.hasAddress(x.instance.Address) {
		e.Identity = concluder.Other // It has ended some time ago.
		return e
	}
	notice, isNoticed := x.f.notices.of(x.instance.Run())
	e.Leaves = isNoticed || !isListed || in.Draining || choice.IsLeaving()
	if isNoticed {
		e.LeavingFor = own.At.Sub(notice.at) + x.f.opts.NoticeLag
		e.IsNamed, e.GoneIn, e.Lag = !notice.goneAt.IsZero(), notice.goneAt.Sub(own.At), x.f.opts.NoticeLag
	}
	e.Process, e.Identity = x.f.findServer(ctx, x.instance, e.Old)
	timer.Sleep(ctx, concluder.ClosingTime-x.f.opts.Clock.Now().Sub(own.At))
	e.Group = concluder.GroupOf(own, x.f.opts.Pool.OtherEnds(x.conn))
	e.Interrupted = ctx.Err() != nil
	e.StoodStill = x.f.pulse.stoodStillAround(own.At, x.f.opts.Clock.Now())
	return e
}

// logEnd logs how an answer ended and what shows it, unless its server went on.
func (x *exchange) logEnd(e *concluder.Evidence, v concluder.Verdict) {
	if v == concluder.Whole {
		return
	}
	x.f.opts.Log.LogAttrs(x.r.Context(), slog.LevelInfo, "answer without a length ended with its connection",
		slog.String("id", string(x.call.ID)), slog.String("server", string(x.server)), slog.String("verdict", v.String()),
		slog.String("process", e.Process.String()), slog.Bool("old", e.Old), slog.Bool("stoodStill", e.StoodStill), slog.Bool("leaves", e.Leaves),
		slog.Duration("leavingFor", e.LeavingFor), slog.Bool("named", e.IsNamed), slog.Duration("goneIn", e.GoneIn),
		slog.Int("together", e.Group.Others), slog.Bool("broken", e.Group.Broken),
		slog.Bool("prompt", e.Group.Prompt), slog.Duration("quiet", x.conn.End().Quiet), slog.Bool("goesOn", e.GoesOn))
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

// isOtherRun reports whether two starts of a server are those of different runs, in milliseconds
// since 1970; 0 means that one is not known.
func isOtherRun(a, b int64) bool { return a > 0 && b > 0 && a != b }

// findServer finds out whether the process of a backend server has ended after an answer. If the end
// of the answer may be old, another process may have the address by now.
func (f *Forwarder) findServer(ctx context.Context, in describer.Instance, mayBeOld bool) (concluder.Process, concluder.Identity) {
	state := f.findProcess(ctx, in)
	if state == concluder.Up && mayBeOld {
		return state, f.identifyProcess(ctx, in)
	}
	return state, concluder.Unasked
}
