package rolloutbench

import (
	"fmt"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/sequencer"
	"cyclamenhub.org/roller"
)

// The names that all scenarios use.
const (
	service          identifier.Service   = "schrijfhulp"
	currentVersion   identifier.Version   = "v1"
	candidateVersion identifier.Version   = "v2"
	rolloutID        identifier.RolloutID = "move-1"
)

// The intervals of the fleet's periodic tasks.
const (
	evaluateInterval = 200 * time.Millisecond
	inFlightPerHost  = 16
)

// fleet runs the policy of package roller: an Evaluator on each host, a
// Controller and a State. Messages between them take time, and are lost while a
// network partition lasts.
type fleet struct {
	s          *Scenario
	q          *sequencer.Queue
	hosts      []*fleetHost
	state      roller.State
	controller *roller.Controller
	directive  roller.Directive
	out        outcome
}

// fleetHost is one entry host.
type fleetHost struct {
	*roller.Evaluator
	index               int
	evaluationScheduled bool
	reports             roller.ReportSchedule
}

func newFleet(s *Scenario, q *sequencer.Queue) *fleet {
	f := &fleet{s: s, q: q, out: outcome{stopped: make(map[int]time.Time)}}
	f.controller = roller.NewController(&f.state)
	names := make([]identifier.Route, len(routes))
	for i, r := range routes {
		names[i] = r.name
	}
	for i := range s.Hosts {
		src := roller.Source{Host: identifier.Host(fmt.Sprintf("h%d", i)), Epoch: 1}
		m := &fleetHost{Evaluator: roller.NewEvaluator(src, service, currentVersion, names), index: i}
		f.hosts = append(f.hosts, m)
		f.callEvery(s.pace.reportInterval, func(now time.Time) { f.report(m, now) })
	}
	if s.hasCutover() {
		f.callEvery(s.pace.decideInterval, f.controller.Refresh)
	}
	return f
}

// callEvery calls g periodically, beginning one interval after the start of the
// warm-up.
func (f *fleet) callEvery(interval time.Duration, g func(now time.Time)) {
	var again func(now time.Time)
	again = func(now time.Time) {
		g(now)
		f.q.Add(now.Add(interval), again)
	}
	f.q.Add(rolloutStart.Add(interval-f.s.pace.warmUp), again)
}

func (f *fleet) begin(now time.Time) {
	rate := float64(f.controller.Requests(service, currentVersion)) / f.s.pace.warmUp.Seconds()
	start := roller.StartRollout{
		ID: rolloutID, Service: service, From: currentVersion, To: candidateVersion, At: now,
		Deadline: f.s.deadline(), Watch: f.s.pace.watch, FirstLevel: roller.FirstLevel(rate),
		InFlight: inFlightPerHost, Hosts: f.s.Hosts, Routes: len(routes) + 1, Thresholds: f.controller.Baseline(service, currentVersion),
	}
	if f.s.hasCutover() {
		start.PlanCutover(f.s.Deadline, f.s.exposure)
		f.controller.Prepare(&start, now)
	}
	f.apply(start, now)
	f.q.Add(now.Add(f.s.pace.decideInterval), f.tick)
}

// tick makes the controller decide, and repeats the directive to all hosts.
func (f *fleet) tick(now time.Time) {
	f.decide(now)
	f.broadcast(now)
	f.q.Add(now.Add(f.s.pace.decideInterval), f.tick)
}

func (f *fleet) decide(now time.Time) {
	for _, e := range f.controller.Decide(now) {
		f.apply(e, now)
	}
}

// apply applies an event to the state, as the control log would, and performs
// its effects.
func (f *fleet) apply(e roller.Event, now time.Time) {
	effects, err := f.state.Apply(e)
	if err != nil {
		panic(err)
	}
	for _, effect := range effects {
		f.perform(effect, now)
	}
}

func (f *fleet) perform(effect roller.Effect, now time.Time) {
	switch effect := effect.(type) {
	case roller.PublishDirective:
		f.directive = effect.Directive
		f.broadcast(now)
	case roller.Notify:
		f.recordNotice(effect.Notice)
	case roller.RecordAudit, roller.ReleaseVersion:
	}
}

// recordNotice records the progress of the rollout that a notice announces.
func (f *fleet) recordNotice(n roller.Notice) {
	switch n.Phase {
	case roller.Watched:
		f.out.moved = n.At
	case roller.Done:
		f.out.done = n.At
	case roller.Reverted:
		f.out.reverted, f.out.cause = n.At, n.Cause
	case roller.Staged:
	}
}

// broadcast sends the directive to every host that lacks it and is not
// partitioned from the controller.
func (f *fleet) broadcast(now time.Time) {
	d := f.directive
	for _, m := range f.hosts {
		if f.s.partitioned(m.index, now) || !m.NeedsDirective(d.Sequence, now) {
			continue
		}
		f.q.Add(now.Add(f.s.ReportLag), func(now time.Time) { m.Apply(d, now) })
	}
}

// report sends a host's counters to the controller if a report is due.
func (f *fleet) report(m *fleetHost, now time.Time) {
	m.Tick(now)
	if f.s.partitioned(m.index, now) || !m.reports.IsDue(m.Evaluator, now) {
		return
	}
	r := m.reports.Report(m.Evaluator, now, f.s.Hosts)
	f.q.Add(now.Add(f.s.ReportLag), func(now time.Time) {
		f.controller.Merge(r)
		f.decide(now)
	})
}

func (f *fleet) pick(host int, id identifier.RequestID, route int, b roller.Band) pickedRequest {
	assignment := f.hosts[host].Pick(id, routes[route].name, b)
	return pickedRequest{host: host, route: route, candidate: assignment.Version() == candidateVersion, assignment: assignment}
}

func (f *fleet) observe(now time.Time, req pickedRequest, e roller.Result) {
	m := f.hosts[req.host]
	m.Observe(req.assignment, e)
	if !m.evaluationScheduled && f.out.reverted.IsZero() {
		m.evaluationScheduled = true
		f.q.Add(now.Add(evaluateInterval), func(now time.Time) { f.evaluate(m, now) })
	}
}

// evaluate runs the tests of a host, and sends a report immediately if they
// gave a verdict against a version.
func (f *fleet) evaluate(m *fleetHost, now time.Time) {
	m.evaluationScheduled = false
	verdicts := m.Evaluate()
	if verdicts == nil {
		return
	}
	for _, v := range verdicts {
		if _, ok := f.out.stopped[m.index]; !ok && v.Scope.AllRoutes {
			f.out.stopped[m.index] = now
		}
	}
	m.reports = roller.ReportSchedule{}
	f.report(m, now)
}

func (f *fleet) share() float64 { return float64(f.directive.Level.Share()) }

func (f *fleet) outcome() outcome { return f.out }
