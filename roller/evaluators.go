package roller

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cyclamenhub.org/identifier"
)

// Evaluators holds one Evaluator for each service of an entry host. All methods
// may be called from any goroutine. Pick and CurrentVersion take no lock; the
// other methods do.
type Evaluators struct {
	source     Source
	evaluators atomic.Pointer[map[identifier.Service]*Evaluator]

	mu         sync.Mutex
	directives map[identifier.Service]Directive
	schedules  map[identifier.Service]*ReportSchedule
	// hosts is the number of hosts that share the budget of reports.
	hosts int
}

// NewEvaluators returns an Evaluators without services.
func NewEvaluators(s Source) *Evaluators {
	es := &Evaluators{source: s, directives: make(map[identifier.Service]Directive), schedules: make(map[identifier.Service]*ReportSchedule)}
	es.evaluators.Store(&map[identifier.Service]*Evaluator{})
	return es
}

// Configure sets a service's version and routes as the fleet document names
// them. The routes of a known service do not change.
func (es *Evaluators) Configure(s identifier.Service, version identifier.Version, routes []identifier.Route) {
	es.mu.Lock()
	defer es.mu.Unlock()
	if e, ok := (*es.evaluators.Load())[s]; ok {
		e.Configure(version)
		return
	}
	e := NewEvaluator(es.source, s, version, routes)
	if d, ok := es.directives[s]; ok {
		e.Apply(d, time.Time{})
	}
	m := maps.Clone(*es.evaluators.Load())
	m[s] = e
	es.evaluators.Store(&m)
	es.schedules[s] = &ReportSchedule{}
}

// SetHosts sets the number of hosts that share the budget of reports.
func (es *Evaluators) SetHosts(n int) {
	es.mu.Lock()
	defer es.mu.Unlock()
	es.hosts = n
}

// Pick returns the version that a request goes to. For an unknown service the
// assignment names no version.
//
// Pick must be called only for the first attempt at a request, since several
// attempts at one request may fail for the same reason. Further attempts go to
// the current version.
func (es *Evaluators) Pick(s identifier.Service, id identifier.RequestID, r identifier.Route, b Band) Assignment {
	e, ok := (*es.evaluators.Load())[s]
	if !ok {
		return Assignment{}
	}
	return e.Pick(id, r, b)
}

// CurrentVersion returns the current version of a service, or configured if the
// service is unknown.
func (es *Evaluators) CurrentVersion(s identifier.Service, configured identifier.Version) identifier.Version {
	e, ok := (*es.evaluators.Load())[s]
	if !ok {
		return configured
	}
	return e.split.Load().trial.control
}

// Unproven returns the version that a rollout in progress moves a service to, or
// that a reverted one has withdrawn, or "" if there is none. However many of its
// servers are listed, it is not the service's current version.
func (es *Evaluators) Unproven(s identifier.Service) identifier.Version {
	es.mu.Lock()
	defer es.mu.Unlock()
	d := es.directives[s]
	return cmp.Or(d.Candidate, d.Withdrawn)
}

// ApplyDirectives applies the directives of a document that EncodeDirectives
// returned.
func (es *Evaluators) ApplyDirectives(document []byte, now time.Time) error {
	var ds []Directive
	if err := json.Unmarshal(document, &ds); err != nil {
		return fmt.Errorf("rollout directives: %w: run one version of cyclamend on all hosts", err)
	}
	for _, d := range ds {
		if err := d.check(); err != nil {
			return err
		}
	}
	es.mu.Lock()
	defer es.mu.Unlock()
	for _, d := range ds {
		es.directives[d.Service] = d
		if e, ok := (*es.evaluators.Load())[d.Service]; ok {
			e.Apply(d, now)
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
func (es *Evaluators) Tick(now, lastContact time.Time) []Report {
	es.mu.Lock()
	defer es.mu.Unlock()
	var due []Report
	for _, s := range es.services() {
		e := (*es.evaluators.Load())[s]
		e.RecordContact(lastContact)
		e.Tick(now)
		if newVerdict := e.Evaluate() != nil; newVerdict || es.schedules[s].IsDue(e, now) {
			due = append(due, es.schedules[s].Report(e, now, es.hosts))
		}
	}
	return due
}

// Running reports whether a rollout is in progress, so that Tick has tests to
// run.
func (es *Evaluators) Running() bool {
	es.mu.Lock()
	defer es.mu.Unlock()
	for _, d := range es.directives {
		if d.Rollout != "" {
			return true
		}
	}
	return false
}

// services returns the services, sorted by name.
func (es *Evaluators) services() []identifier.Service {
	return slices.Sorted(maps.Keys(*es.evaluators.Load()))
}
