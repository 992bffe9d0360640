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

	directive Directive
	// heard is when a directive last came, new or repeated.
	heard time.Time
	// ceiling bounds the level while the controller is silent.
	ceiling  Level
	verdicts []Verdict
	// examined is the number of signs when the tests last ran.
	examined uint64
}

// NewJudge returns a judge that draws the present version for every request.
// Routes are those that are judged one by one; all others are taken together.
func NewJudge(s Source, service identifier.Service, present identifier.Version, routes []identifier.Route) *Judge {
	j := &Judge{source: s, service: service, routes: routes, ceiling: TopLevel}
	j.directive = Directive{Service: service, Control: present}
	j.table.Store(&drawTable{trial: newTrial(&j.directive, routes)})
	return j
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

// DrawRetry draws for a further attempt at a request. Its outcome tells
// nothing, since attempts at one request may fail for one reason: only the
// first one is evidence.
func (j *Judge) DrawRetry(id identifier.RequestID, r identifier.Route, b Band) Ticket {
	t := j.Draw(id, r, b)
	t.level = NoLevel
	return t
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
func (j *Judge) Observe(t Ticket, e Ending) {
	if t.trial == nil {
		return
	}
	if t.arm == Candidate {
		t.trial.inFlight.Add(-1)
	}
	t.trial.observe(t, e)
}

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
	if d.Rollout != j.directive.Rollout || d.Control != j.directive.Control {
		j.verdicts, j.examined = nil, 0
	}
	j.directive, j.ceiling = d, TopLevel
	j.publish()
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
	for _, v := range Examine(t.trial.cells(), len(j.routes), logLimitLocal(j.directive.Hosts)) {
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
	return Report{Source: j.source, Service: j.service, Rollout: t.rollout, Cells: t.cells(), Verdicts: j.verdicts}
}

// publish makes a new draw table for the directive and the verdicts.
func (j *Judge) publish() {
	tr := j.table.Load().trial
	if tr.rollout != j.directive.Rollout || tr.control != j.directive.Control {
		tr = newTrial(&j.directive, j.routes)
	}
	t := &drawTable{trial: tr, level: min(j.directive.Level, j.ceiling), inFlight: int64(j.directive.InFlight)}
	for _, v := range j.verdicts {
		t.stop(v.Scope)
	}
	j.table.Store(t)
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
