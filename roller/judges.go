package roller

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cyclamenhub.org/identifier"
)

// Judges holds one Judge for each service of an entry host. Draw may be called
// from any goroutine and takes no lock; the other methods may be called from
// any goroutine too, and take one.
type Judges struct {
	source Source
	read   atomic.Pointer[map[identifier.Service]*Judge]

	mu         sync.Mutex
	directives map[identifier.Service]Directive
	pace       map[identifier.Service]*pace
}

// pace is when a service's counters were last reported.
type pace struct {
	at    time.Time
	next  time.Duration
	signs uint64
}

// NewJudges returns judges for no service yet.
func NewJudges(s Source) *Judges {
	js := &Judges{source: s, directives: make(map[identifier.Service]Directive), pace: make(map[identifier.Service]*pace)}
	js.read.Store(&map[identifier.Service]*Judge{})
	return js
}

// Configure tells a service's present version and routes, as the fleet document
// names them. The routes of a known service stay as they were first told.
func (js *Judges) Configure(s identifier.Service, present identifier.Version, routes []identifier.Route) {
	js.mu.Lock()
	defer js.mu.Unlock()
	if j, ok := (*js.read.Load())[s]; ok {
		j.Configure(present)
		return
	}
	j := NewJudge(js.source, s, present, routes)
	if d, ok := js.directives[s]; ok {
		j.Apply(d, time.Time{})
	}
	m := maps.Clone(*js.read.Load())
	m[s] = j
	js.read.Store(&m)
	js.pace[s] = &pace{}
}

// Draw returns which version a request goes to. For an unknown service the
// ticket names no version.
//
// Only the first attempt at a request may be drawn, since attempts at one
// request may fail for one reason. Further ones go to the present version.
func (js *Judges) Draw(s identifier.Service, id identifier.RequestID, r identifier.Route, b Band) Ticket {
	j, ok := (*js.read.Load())[s]
	if !ok {
		return Ticket{}
	}
	return j.Draw(id, r, b)
}

// Present returns the present version of a service, or configured where the
// service is not known.
func (js *Judges) Present(s identifier.Service, configured identifier.Version) identifier.Version {
	j, ok := (*js.read.Load())[s]
	if !ok {
		return configured
	}
	return j.table.Load().trial.control
}

// Obey applies the directives of a document that EncodeDirectives made.
func (js *Judges) Obey(document []byte, now time.Time) error {
	var ds []Directive
	if err := json.Unmarshal(document, &ds); err != nil {
		return fmt.Errorf("rollout directives: %w: run one version of cyclamend on all hosts", err)
	}
	for _, d := range ds {
		if err := d.check(); err != nil {
			return err
		}
	}
	js.mu.Lock()
	defer js.mu.Unlock()
	for _, d := range ds {
		js.directives[d.Service] = d
		if j, ok := (*js.read.Load())[d.Service]; ok {
			j.Apply(d, now)
		}
	}
	return nil
}

// EncodeDirectives returns the document that Obey reads.
func EncodeDirectives(ds []Directive) []byte {
	b, err := json.Marshal(ds)
	if err != nil {
		// Every field has a marshalable type.
		panic(fmt.Sprintf("rollout directives: %v", err))
	}
	return b
}

// Tick runs the tests of all services, lowers the shares that the controller's
// silence asks for, and returns the reports that are due. Heard is when the
// controller was last heard from.
func (js *Judges) Tick(now, heard time.Time) []Report {
	js.mu.Lock()
	defer js.mu.Unlock()
	var due []Report
	for _, s := range js.services() {
		j := (*js.read.Load())[s]
		j.Heard(heard)
		j.Tick(now)
		if condemned := j.Evaluate() != nil; condemned || js.pace[s].isDue(j, now) {
			due = append(due, js.pace[s].report(j, now))
		}
	}
	return due
}

// Running reports whether a rollout is under way, so that Tick has tests to run.
func (js *Judges) Running() bool {
	js.mu.Lock()
	defer js.mu.Unlock()
	for _, d := range js.directives {
		if d.Rollout != "" {
			return true
		}
	}
	return false
}

// services lists the services in order.
func (js *Judges) services() []identifier.Service { return slices.Sorted(maps.Keys(*js.read.Load())) }

// isDue reports whether a report is due: after its interval where something may
// speak against a version, and now and then in any case.
func (p *pace) isDue(j *Judge, now time.Time) bool {
	waited := now.Sub(p.at)
	return waited >= idleReportInterval || j.Signs() != p.signs && waited >= p.next
}

// report makes a report and sets when the next is due.
func (p *pace) report(j *Judge, now time.Time) Report {
	r := j.Report()
	*p = pace{at: now, next: ReportInterval(j.directive.Hosts, len(r.Encode())), signs: j.Signs()}
	return r
}
