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

// Judges holds one Judge for each service of an entry host. All methods may be
// called from any goroutine. Pick and CurrentVersion take no lock; the other
// methods do.
type Judges struct {
	source Source
	judges atomic.Pointer[map[identifier.Service]*Judge]

	mu         sync.Mutex
	directives map[identifier.Service]Directive
	schedules  map[identifier.Service]*reportSchedule
}

// reportSchedule holds when a service's counters were last reported, the
// minimum interval until the next report, and the adverse count at the last
// report.
type reportSchedule struct {
	last     time.Time
	interval time.Duration
	adverse  uint64
}

// NewJudges returns a Judges without services.
func NewJudges(s Source) *Judges {
	js := &Judges{source: s, directives: make(map[identifier.Service]Directive), schedules: make(map[identifier.Service]*reportSchedule)}
	js.judges.Store(&map[identifier.Service]*Judge{})
	return js
}

// Configure sets a service's version and routes as the fleet document names
// them. The routes of a known service do not change.
func (js *Judges) Configure(s identifier.Service, version identifier.Version, routes []identifier.Route) {
	js.mu.Lock()
	defer js.mu.Unlock()
	if j, ok := (*js.judges.Load())[s]; ok {
		j.Configure(version)
		return
	}
	j := NewJudge(js.source, s, version, routes)
	if d, ok := js.directives[s]; ok {
		j.Apply(d, time.Time{})
	}
	m := maps.Clone(*js.judges.Load())
	m[s] = j
	js.judges.Store(&m)
	js.schedules[s] = &reportSchedule{}
}

// Pick returns the version that a request goes to. For an unknown service the
// assignment names no version.
//
// Pick must be called only for the first attempt at a request, since several
// attempts at one request may fail for the same reason. Further attempts go to
// the current version.
func (js *Judges) Pick(s identifier.Service, id identifier.RequestID, r identifier.Route, b Band) Assignment {
	j, ok := (*js.judges.Load())[s]
	if !ok {
		return Assignment{}
	}
	return j.Pick(id, r, b)
}

// CurrentVersion returns the current version of a service, or configured if the
// service is unknown.
func (js *Judges) CurrentVersion(s identifier.Service, configured identifier.Version) identifier.Version {
	j, ok := (*js.judges.Load())[s]
	if !ok {
		return configured
	}
	return j.split.Load().trial.control
}

// ApplyDirectives applies the directives of a document that EncodeDirectives
// returned.
func (js *Judges) ApplyDirectives(document []byte, now time.Time) error {
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
		if j, ok := (*js.judges.Load())[d.Service]; ok {
			j.Apply(d, now)
		}
	}
	return nil
}

// EncodeDirectives returns the document that ApplyDirectives decodes.
func EncodeDirectives(ds []Directive) []byte {
	b, err := json.Marshal(ds)
	if err != nil {
		// Every field has a marshalable type.
		panic(fmt.Sprintf("rollout directives: %v", err))
	}
	return b
}

// Tick runs the tests of all services, lowers the shares if there is no contact
// with the controller, and returns the reports that are due. The parameter
// lastContact is the time of the last contact with the controller.
func (js *Judges) Tick(now, lastContact time.Time) []Report {
	js.mu.Lock()
	defer js.mu.Unlock()
	var due []Report
	for _, s := range js.services() {
		j := (*js.judges.Load())[s]
		j.RecordContact(lastContact)
		j.Tick(now)
		if newVerdict := j.Evaluate() != nil; newVerdict || js.schedules[s].isDue(j, now) {
			due = append(due, js.schedules[s].report(j, now))
		}
	}
	return due
}

// Running reports whether a rollout is in progress, so that Tick has tests to
// run.
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

// services returns the services, sorted by name.
func (js *Judges) services() []identifier.Service { return slices.Sorted(maps.Keys(*js.judges.Load())) }

// isDue reports whether a report is due: after the minimum interval if there
// were new failures or slow answers, and after idleReportInterval in any case.
func (s *reportSchedule) isDue(j *Judge, now time.Time) bool {
	elapsed := now.Sub(s.last)
	return elapsed >= idleReportInterval || j.AdverseCount() != s.adverse && elapsed >= s.interval
}

// report returns a report and schedules the next one.
func (s *reportSchedule) report(j *Judge, now time.Time) Report {
	r := j.Report()
	*s = reportSchedule{last: now, interval: ReportInterval(j.directive.Hosts, len(r.Encode())), adverse: j.AdverseCount()}
	return r
}
