package roller

import (
	"sync/atomic"
	"time"

	"cyclamenhub.org/identifier"
)

// Judge draws versions for one service on one entry host, counts the outcomes
// and reaches verdicts by itself. Draw and Observe may be called from any
// goroutine and take no lock; the other methods belong to the control
// goroutine.
type Judge struct {
	source  Source
	service identifier.Service
	routes  []identifier.Route
	table   atomic.Pointer[drawTable]

	// configured is the version that the fleet document names.
	configured identifier.Version
	directive  Directive
	// idle holds the counters from outside any rollout, by version.
	idle map[identifier.Version]*trial
	// heard is when a directive last came, new or repeated.
	heard time.Time
	// ceiling bounds the level while the controller is silent.
	ceiling  Level
	verdicts []Verdict
	// examined is the number of signs when the tests last ran.
	examined uint64
}

// maxIdleVersions bounds the versions whose counters from outside any rollout
// are kept.
const maxIdleVersions = 4

// NewJudge returns a judge that draws the present version for every request.
// Routes are those that are judged one by one; all others are taken together.
func NewJudge(s Source, service identifier.Service, present identifier.Version, routes []identifier.Route) *Judge {
	j := &Judge{
		source: s, service: service, routes: routes, configured: present, ceiling: TopLevel,
		directive: Directive{Service: service}, idle: make(map[identifier.Version]*trial),
	}
	j.publish()
	return j
}

// Configure tells the version that the fleet document names. It counts where no
// rollout moves the service or has moved it away from just that version.
func (j *Judge) Configure(present identifier.Version) {
	if present != j.configured {
		j.configured = present
		j.publish()
	}
}

// control returns the present version.
func (j *Judge) control() identifier.Version {
	d := &j.directive
	if d.Rollout != "" || d.Replaces != "" && d.Replaces == j.configured {
		return d.Control
	}
	return j.configured
}

// Draw returns which version a request goes to. The same request id gets the
// same version as long as the share does not fall.
func (j *Judge) Draw(id identifier.RequestID, r identifier.Route, b Band) Ticket {
	t := j.table.Load()
	hash := position(t.trial.rollout, id)
	out := Ticket{trial: t.trial, slot: uint16(t.trial.slotOf(r, b)), shard: shardOf(hash), losses: t.trial.losses.count.Load()}
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

// admit draws the candidate, unless another goroutine took the last place in
// flight meanwhile.
func (t *drawTable) admit(out Ticket) Ticket {
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
// decide the draw.
func shardOf(hash float64) uint8 {
	const fineDigits = 1 << 40
	return uint8(uint64(hash*fineDigits) % numShards)
}

// Observe counts how a drawn request ended.
func (j *Judge) Observe(t Ticket, e Ending) { t.End(e) }

// Apply obeys a directive from the controller, unless a later one was seen.
func (j *Judge) Apply(d Directive, now time.Time) {
	if d.Sequence < j.directive.Sequence {
		return
	}
	j.heard = now
	if d.Sequence == j.directive.Sequence {
		j.lower(now)
		return
	}
	if d.Rollout != j.directive.Rollout {
		j.verdicts, j.examined = nil, 0
	}
	j.directive, j.ceiling = d, TopLevel
	j.publish()
}

// Heard tells that the controller was heard from and had no other directive
// than the last one.
func (j *Judge) Heard(at time.Time) {
	if at.After(j.heard) {
		j.heard = at
	}
}

// Tick lowers the share of a host that the controller has been silent to, and
// gives it back once it is heard again.
func (j *Judge) Tick(now time.Time) { j.lower(now) }

// lower sets the ceiling that the controller's silence asks for.
func (j *Judge) lower(now time.Time) {
	c := ceilingAfter(now.Sub(j.heard), j.directive.Level)
	if c != j.ceiling {
		j.ceiling = c
		j.publish()
	}
}

// Evaluate runs the tests on this host's own counters, acts on what they say
// before it returns, and returns the verdicts that are new.
func (j *Judge) Evaluate() []Verdict {
	t := j.table.Load()
	signs := t.trial.signs.Load()
	if t.trial.rollout == "" || signs == j.examined {
		return nil
	}
	j.examined = signs
	var fresh []Verdict
	for _, v := range Examine(t.trial.cells(), len(j.routes)+1, logLimitLocal(j.directive.Hosts)) {
		if !j.judged(v) {
			fresh = append(fresh, v)
		}
	}
	if fresh != nil {
		j.verdicts = append(j.verdicts, fresh...)
		j.publish()
	}
	return fresh
}

// Signs returns how many outcomes so far may speak against a version. A report
// holds nothing new for the tests while it stays the same.
func (j *Judge) Signs() uint64 { return j.table.Load().trial.signs.Load() }

// judged reports whether a verdict on the same scope stands already.
func (j *Judge) judged(v Verdict) bool {
	for _, w := range j.verdicts {
		if w.Scope == v.Scope && w.Sign == v.Sign {
			return true
		}
	}
	return false
}

// Report returns the counters of the present rollout and the verdicts reached.
func (j *Judge) Report() Report {
	t := j.table.Load().trial
	return Report{
		Source: j.source, Service: j.service, Rollout: t.rollout, Control: t.control,
		Cells: t.cells(), Verdicts: j.verdicts,
	}
}

// publish makes a new draw table for the directive and the verdicts.
func (j *Judge) publish() {
	t := &drawTable{trial: j.trial(), level: min(j.directive.Level, j.ceiling), inFlight: int64(j.directive.InFlight)}
	for _, v := range j.verdicts {
		t.stop(v.Scope)
	}
	j.table.Store(t)
}

// trial returns the counters that go with the directive: those at work, those
// of an earlier time without a rollout, or new ones.
func (j *Judge) trial() *trial {
	d := j.directive
	d.Control = j.control()
	if t := j.table.Load(); t != nil && t.trial.rollout == d.Rollout && t.trial.control == d.Control {
		return t.trial
	}
	if d.Rollout != "" {
		return newTrial(&d, j.routes)
	}
	t := j.idle[d.Control]
	if t == nil {
		if len(j.idle) >= maxIdleVersions {
			clear(j.idle)
		}
		t = newTrial(&d, j.routes)
		j.idle[d.Control] = t
	}
	return t
}

// stop ends the draw for a scope: for its route, or altogether where the scope
// spans all routes.
func (t *drawTable) stop(s Scope) {
	if s.AllRoutes {
		t.stopped = true
		return
	}
	if t.stoppedRoutes == nil {
		t.stoppedRoutes = make(map[identifier.Route]bool)
	}
	t.stoppedRoutes[s.Route] = true
}

// Behind reports whether the host has not heard the directive of a sequence
// number, or needs to hear it again to know that the controller is there.
func (j *Judge) Behind(sequence uint64, now time.Time) bool {
	return j.directive.Sequence < sequence || now.Sub(j.heard) >= keepAliveInterval
}
