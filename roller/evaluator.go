package roller

import (
	"sync/atomic"
	"time"

	"cyclamenhub.org/identifier"
)

// Evaluator picks the version of each request of one service on one entry host,
// counts the outcomes and reaches verdicts from the host's own counters. Pick
// and Observe may be called from any goroutine. Pick takes no lock, and Observe
// takes one only for the outcome Lost. The other methods must be called from
// the control goroutine.
type Evaluator struct {
	source  Source
	service identifier.Service
	routes  []identifier.Route
	split   atomic.Pointer[trafficSplit]

	// configured is the version that the fleet document names.
	configured identifier.Version
	directive  Directive
	// baselines holds the counters from outside any rollout, by version.
	baselines map[identifier.Version]*trial
	// lastContact is when the host last received a directive, new or repeated,
	// or was otherwise in contact with the controller.
	lastContact time.Time
	// ceiling limits the level while the host has no contact with the
	// controller.
	ceiling  Level
	verdicts []Verdict
	// evaluatedAdverse is the adverse count when the tests last ran.
	evaluatedAdverse uint64
}

// maxBaselineVersions is the maximum number of versions whose counters from
// outside any rollout are kept.
const maxBaselineVersions = 4

// NewEvaluator returns an evaluator that picks the current version for every
// request. The tests distinguish the given routes and combine all others under
// OtherRoute.
func NewEvaluator(s Source, service identifier.Service, version identifier.Version, routes []identifier.Route) *Evaluator {
	e := &Evaluator{
		source: s, service: service, routes: routes, configured: version, ceiling: TopLevel,
		directive: Directive{Service: service}, baselines: make(map[identifier.Version]*trial),
	}
	e.publish()
	return e
}

// Configure sets the version that the fleet document names. That version is
// used unless a rollout is in progress or a finished one has moved the service
// away from just that version.
func (e *Evaluator) Configure(version identifier.Version) {
	if version != e.configured {
		e.configured = version
		e.publish()
	}
}

// control returns the service's current version.
func (e *Evaluator) control() identifier.Version {
	d := &e.directive
	if d.Rollout != "" || d.Replaces != "" && d.Replaces == e.configured {
		return d.Control
	}
	return e.configured
}

// Pick returns the version that a request goes to. Within a rollout, a request
// id that was assigned to the candidate is assigned to it again, unless the
// share has fallen, a verdict stops the candidate or the limit on in-flight
// requests is reached.
func (e *Evaluator) Pick(id identifier.RequestID, r identifier.Route, b Band) Assignment {
	t := e.split.Load()
	hash := hashPosition(t.trial.rollout, id)
	out := Assignment{trial: t.trial, slot: uint16(t.trial.slotOf(r, b)), shard: shardOf(hash), losses: t.trial.losses.count.Load()}
	out.level = t.levelFor(r)
	if out.level == NoLevel {
		return out
	}
	if t.inFlight > 0 && t.trial.inFlight.Load() >= t.inFlight {
		out.level = NoLevel
		return out
	}
	if hash < float64(out.level.Share()) {
		return t.admit(out)
	}
	return out
}

// admit assigns the request to the candidate, unless another goroutine has
// taken the last in-flight slot in the meantime.
func (t *trafficSplit) admit(out Assignment) Assignment {
	n := t.trial.inFlight.Add(1)
	if t.inFlight > 0 && n > t.inFlight {
		t.trial.inFlight.Add(-1)
		out.level = NoLevel
		return out
	}
	out.arm = Candidate
	return out
}

// shardOf spreads requests over the shards by digits of the hash that do not
// determine the version.
func shardOf(hash float64) uint8 {
	const fineDigits = 1 << 40
	return uint8(uint64(hash*fineDigits) % numShards)
}

// Observe counts how a request ended.
func (e *Evaluator) Observe(a Assignment, r Result) { a.End(r) }

// Apply applies a directive from the controller, unless a later one was applied
// before.
func (e *Evaluator) Apply(d Directive, now time.Time) {
	if d.Sequence < e.directive.Sequence {
		return
	}
	e.lastContact = now
	if d.Sequence == e.directive.Sequence {
		e.updateCeiling(now)
		return
	}
	if d.Rollout != e.directive.Rollout {
		e.verdicts, e.evaluatedAdverse = nil, 0
	}
	e.directive, e.ceiling = d, TopLevel
	e.publish()
}

// RecordContact records that the controller was in contact at the given time
// and had no newer directive.
func (e *Evaluator) RecordContact(at time.Time) {
	if at.After(e.lastContact) {
		e.lastContact = at
	}
}

// Tick lowers the share while the host has no contact with the controller, and
// restores it once contact is back.
func (e *Evaluator) Tick(now time.Time) { e.updateCeiling(now) }

// updateCeiling sets the ceiling from the time since the last contact with the
// controller.
func (e *Evaluator) updateCeiling(now time.Time) {
	c := ceilingAfter(now.Sub(e.lastContact), e.directive.Level)
	if c != e.ceiling {
		e.ceiling = c
		e.publish()
	}
}

// Evaluate runs the tests on this host's own counters and returns the new
// verdicts. It has applied them before it returns.
func (e *Evaluator) Evaluate() []Verdict {
	t := e.split.Load()
	adverse := t.trial.adverse.Load()
	if t.trial.rollout == "" || adverse == e.evaluatedAdverse {
		return nil
	}
	e.evaluatedAdverse = adverse
	var fresh []Verdict
	for _, v := range Examine(t.trial.cells(), len(e.routes)+1, logLimitLocal(e.directive.Hosts)) {
		if !e.hasVerdict(v) {
			fresh = append(fresh, v)
		}
	}
	if fresh != nil {
		e.verdicts = append(e.verdicts, fresh...)
		e.publish()
	}
	return fresh
}

// AdverseCount returns the number of failures and slow answers so far. A report
// contains nothing new for the tests while it stays the same.
func (e *Evaluator) AdverseCount() uint64 { return e.split.Load().trial.adverse.Load() }

// hasVerdict reports whether there is already a verdict on the same scope and
// metric.
func (e *Evaluator) hasVerdict(v Verdict) bool {
	for _, w := range e.verdicts {
		if w.Scope == v.Scope && w.Metric == v.Metric {
			return true
		}
	}
	return false
}

// Report returns the counters of the current rollout and the verdicts reached.
func (e *Evaluator) Report() Report {
	t := e.split.Load().trial
	return Report{
		Source: e.source, Service: e.service, Rollout: t.rollout, Control: t.control,
		Cells: t.cells(), Verdicts: e.verdicts,
	}
}

// publish stores a new traffic split made from the directive and the verdicts.
func (e *Evaluator) publish() {
	t := &trafficSplit{trial: e.trial(), level: min(e.directive.Level, e.ceiling), inFlight: int64(e.directive.InFlight)}
	for _, v := range e.verdicts {
		t.stop(v.Scope)
	}
	e.split.Store(t)
}

// trial returns the counters that belong to the directive: those in use, those
// of an earlier period without a rollout, or new ones.
func (e *Evaluator) trial() *trial {
	d := e.directive
	d.Control = e.control()
	if t := e.split.Load(); t != nil && t.trial.rollout == d.Rollout && t.trial.control == d.Control {
		return t.trial
	}
	if d.Rollout != "" {
		return newTrial(&d, e.routes)
	}
	t := e.baselines[d.Control]
	if t == nil {
		if len(e.baselines) >= maxBaselineVersions {
			clear(e.baselines)
		}
		t = newTrial(&d, e.routes)
		e.baselines[d.Control] = t
	}
	return t
}

// stop ends the assignment of requests to the candidate: for the scope's route,
// or for all routes if the scope spans them all.
func (t *trafficSplit) stop(s Scope) {
	if s.AllRoutes {
		t.stopped = true
		return
	}
	if t.stoppedRoutes == nil {
		t.stoppedRoutes = make(map[identifier.Route]bool)
	}
	t.stoppedRoutes[s.Route] = true
}

// NeedsDirective reports whether the host needs the directive with the given
// sequence number: because it has not received it yet, or because its last
// contact with the controller was keepAliveInterval ago or earlier.
func (e *Evaluator) NeedsDirective(sequence uint64, now time.Time) bool {
	return e.directive.Sequence < sequence || now.Sub(e.lastContact) >= keepAliveInterval
}
