package rolloutbench

import (
	"fmt"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/roller"
)

// The names in every scenario.
const (
	service   identifier.Service   = "schrijfhulp"
	present   identifier.Version   = "v1"
	next      identifier.Version   = "v2"
	rolloutID identifier.RolloutID = "move-1"
)

// The intervals of the fleet's processes.
const (
	evaluateInterval = 200 * time.Millisecond
	reportInterval   = time.Second
	// idleReportInterval is that of a host on which nothing spoke against any
	// version.
	idleReportInterval = 30 * time.Second
	decideInterval     = time.Second
	inFlightPerHost    = 16
)

// fleet runs the policy of package roller: a judge on each host, a controller
// and a book, with messages that take time and get lost in a cut.
type fleet struct {
	s          *Scenario
	q          *queue
	judges     []*member
	book       roller.Book
	controller *roller.Controller
	directive  roller.Directive
	out        outcome
}

// member is one entry host.
type member struct {
	*roller.Judge
	index int
	// signs is the number of signs in the last report.
	signs    uint64
	evaluate bool
	reported time.Time
	// interval is the time from the last report to the next.
	interval time.Duration
}

// due reports whether the host's next report is due: after its interval where
// something may speak against a version, and now and then in any case.
func (m *member) due(now time.Time) bool {
	waited := now.Sub(m.reported)
	return waited >= idleReportInterval || m.Signs() != m.signs && waited >= m.interval
}

func newFleet(s *Scenario, q *queue) *fleet {
	f := &fleet{s: s, q: q, out: outcome{stopped: make(map[int]time.Time)}}
	f.controller = roller.NewController(&f.book)
	names := make([]identifier.Route, len(routes))
	for i, r := range routes {
		names[i] = r.name
	}
	for i := range s.Hosts {
		src := roller.Source{Host: identifier.Host(fmt.Sprintf("h%d", i)), Epoch: 1}
		m := &member{Judge: roller.NewJudge(src, service, present, names), index: i}
		f.judges = append(f.judges, m)
		f.every(reportInterval, func(now time.Time) { f.report(m, now) })
	}
	return f
}

// every has g called at each interval from now on.
func (f *fleet) every(interval time.Duration, g func(now time.Time)) {
	var again func(now time.Time)
	again = func(now time.Time) {
		g(now)
		f.q.add(now.Add(interval), again)
	}
	f.q.add(start.Add(interval-f.s.warmUp()), again)
}

func (f *fleet) begin(now time.Time) {
	rate := float64(f.controller.Requests(service, present)) / f.s.warmUp().Seconds()
	f.apply(roller.StartRollout{
		ID: rolloutID, Service: service, From: present, To: next, At: now,
		Deadline: f.s.deadline(), Watch: watch, FirstLevel: roller.FirstLevel(rate),
		InFlight: inFlightPerHost, Hosts: f.s.Hosts, Routes: len(routes) + 1, Thresholds: f.controller.Baseline(service, present),
	}, now)
	f.q.add(now.Add(decideInterval), f.tick)
}

// tick has the controller decide and repeats the directive to all hosts.
func (f *fleet) tick(now time.Time) {
	f.decide(now)
	f.broadcast(now)
	f.q.add(now.Add(decideInterval), f.tick)
}

func (f *fleet) decide(now time.Time) {
	for _, e := range f.controller.Decide(now) {
		f.apply(e, now)
	}
}

// apply plays the control log.
func (f *fleet) apply(e roller.Event, now time.Time) {
	effects, err := f.book.Apply(e)
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
		f.note(effect.Notice)
	case roller.RecordAudit, roller.ReleaseVersion:
	}
}

// note keeps what became of the rollout.
func (f *fleet) note(n roller.Notice) {
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

// broadcast sends the directive to every host that is not cut off.
func (f *fleet) broadcast(now time.Time) {
	d := f.directive
	for _, m := range f.judges {
		if f.s.cutOff(m.index, now) || !m.Behind(d.Sequence, now) {
			continue
		}
		f.q.add(now.Add(f.s.ReportLag), func(now time.Time) { m.Apply(d, now) })
	}
}

// report sends a host's counters to the controller.
func (f *fleet) report(m *member, now time.Time) {
	m.Tick(now)
	if f.s.cutOff(m.index, now) || !m.due(now) {
		return
	}
	m.signs, m.reported = m.Signs(), now
	r := m.Report()
	m.interval = roller.ReportInterval(f.s.Hosts, len(r.Encode()))
	f.q.add(now.Add(f.s.ReportLag), func(now time.Time) {
		f.controller.Merge(r)
		f.decide(now)
	})
}

func (f *fleet) draw(host int, id identifier.RequestID, route int, b roller.Band) drawn {
	t := f.judges[host].Draw(id, routes[route].name, b)
	return drawn{host: host, route: route, candidate: t.Arm() == roller.Candidate, ticket: t}
}

func (f *fleet) observe(now time.Time, d drawn, e roller.Ending) {
	m := f.judges[d.host]
	m.Observe(d.ticket, e)
	if !m.evaluate && f.out.reverted.IsZero() {
		m.evaluate = true
		f.q.add(now.Add(evaluateInterval), func(now time.Time) { f.evaluate(m, now) })
	}
}

// evaluate has a host run its tests, and report at once where they condemned.
func (f *fleet) evaluate(m *member, now time.Time) {
	m.evaluate = false
	vs := m.Evaluate()
	if vs == nil {
		return
	}
	for _, v := range vs {
		if _, ok := f.out.stopped[m.index]; !ok && v.Scope.AllRoutes {
			f.out.stopped[m.index] = now
		}
	}
	m.signs, m.interval = 0, 0
	f.report(m, now)
}

func (f *fleet) share() float64 { return float64(f.directive.Level.Share()) }

func (f *fleet) outcome() outcome { return f.out }
