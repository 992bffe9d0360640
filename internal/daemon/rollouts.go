package daemon

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"cyclamenhub.org/administrator"
	"cyclamenhub.org/configurer"
	"cyclamenhub.org/dispatcher"
	"cyclamenhub.org/distributor"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/wire"
	"cyclamenhub.org/messenger"
	"cyclamenhub.org/reducer"
	"cyclamenhub.org/refuser"
	"cyclamenhub.org/roller"
	"cyclamenhub.org/timer"
)

var (
	_ administrator.HeadBackend    = (*control)(nil)
	_ administrator.RolloutBackend = (*control)(nil)
)

// rolloutTopic carries the directives of the rollouts.
const rolloutTopic distributor.TopicName = "rollouts"

// rolloutReportMethod sends a host's request counters to a keeper.
const rolloutReportMethod messenger.Method = "rollout.report"

const (
	// evaluationInterval is the time between two evaluations of a host's own
	// request counters.
	evaluationInterval = 100 * time.Millisecond
	// decisionInterval is the time between two decisions of the leading keeper.
	decisionInterval = 200 * time.Millisecond
	// idleInterval replaces both intervals while no rollout runs.
	idleInterval = time.Second
	// reportTimeout limits one report and one proposal.
	reportTimeout = 2 * time.Second
)

// generationRoutes are the routes of every model service.
var generationRoutes = []identifier.Route{"POST /v1/chat/completions", "POST /v1/completions"}

var rolloutReportsFailed = metrics.NewCounter("cyclamen_rollout_reports_failed_total")

// newEvaluators returns the evaluators of this process, one for each service.
func newEvaluators(cfg *configurer.Settings, started time.Time) *roller.Evaluators {
	es := roller.NewEvaluators(roller.Source{Host: cfg.Host, Epoch: roller.Epoch(started.UnixNano())})
	es.SetHosts(len(cfg.Hosts))
	return es
}

// configureEvaluators passes the services of a fleet document to the
// evaluators.
func configureEvaluators(evaluators *roller.Evaluators, f *configurer.Fleet) {
	for _, s := range f.Defaults.Services {
		evaluators.Configure(s.Name, s.Version, evaluatedRoutes(s))
	}
}

// evaluatedRoutes returns the routes of a service that are evaluated
// separately.
func evaluatedRoutes(s configurer.Service) []identifier.Route {
	if s.Kind == configurer.ModelService {
		return generationRoutes
	}
	return s.NonIdempotentRoutes
}

// pickVersion picks the version for a request. Only the first attempt is
// sampled, since several attempts of one request may fail for the same reason;
// later attempts use the current version.
func (d *Daemon) pickVersion(r *dispatcher.Request, l dispatcher.Load, retry bool) dispatcher.VersionPick {
	if retry {
		return pickedVersion{version: d.evaluators.CurrentVersion(r.Service.Name, r.Service.Version)}
	}
	a := d.evaluators.Pick(r.Service.Name, r.ID, r.Route, roller.BandOf(l.InFlight, l.Capacity))
	return pickedVersion{assignment: a, version: cmp.Or(a.Version(), r.Service.Version)}
}

// pickedVersion is a version that the evaluators picked.
type pickedVersion struct {
	assignment roller.Assignment
	version    identifier.Version
}

// Version returns the picked version.
func (v pickedVersion) Version() identifier.Version { return v.version }

// Ended reports the outcome of the attempt to the evaluators.
func (v pickedVersion) Ended(e dispatcher.VersionResult) {
	v.assignment.End(roller.Result{Outcome: e.Evidence, Latency: e.Latency, Server: e.Server})
}

// runEvaluators evaluates this host's counters of the rollouts and reports them
// to the keepers until ctx ends.
func (d *Daemon) runEvaluators(ctx context.Context) {
	timer.Repeat(ctx, 0, func() time.Duration {
		for _, r := range d.evaluators.Tick(d.clock.Now(), d.dist.Confirmed()) {
			d.reportRollout(ctx, r)
		}
		return nextInterval(d.evaluators.Running(), evaluationInterval)
	})
}

// nextInterval returns interval while a rollout runs, and idleInterval
// otherwise.
func nextInterval(running bool, interval time.Duration) time.Duration {
	if running {
		return interval
	}
	return idleInterval
}

// reportRollout sends one report to every keeper.
func (d *Daemon) reportRollout(ctx context.Context, r roller.Report) {
	req := &wire.RolloutReport{Report: r.Encode()}
	for _, k := range d.cfg.Keepers {
		if k == d.cfg.Host {
			d.control.mergeReport(r)
			continue
		}
		h, ok := d.cfg.HostNamed(k)
		if !ok {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			if d.messenger.Call(ctx, h.Address, rolloutReportMethod, req, &wire.Empty{}) != nil {
				rolloutReportsFailed.Inc()
			}
		}()
	}
}

// handleReport serves rolloutReportMethod.
func (c *control) handleReport(_ context.Context, call *messenger.Call) (proto.Message, error) {
	var req wire.RolloutReport
	if err := call.Decode(&req); err != nil {
		return nil, err
	}
	r, err := roller.DecodeReport(req.Report)
	if err != nil {
		return nil, err
	}
	c.mergeReport(r)
	return &wire.Empty{}, nil
}

// mergeReport adds a report to the state of the rollouts if this host is a
// keeper.
func (c *control) mergeReport(r roller.Report) {
	if c.keeper == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rollouts.Merge(r)
}

// runRollouts proposes the events that are due while this host is the leader,
// until ctx ends.
func (c *control) runRollouts(ctx context.Context, now func() time.Time) {
	if c.keeper == nil {
		return
	}
	timer.Repeat(ctx, 0, func() time.Duration {
		for _, e := range c.decideRollouts(now()) {
			c.proposeRollout(ctx, e)
		}
		return nextInterval(c.hasRollouts(), decisionInterval)
	})
}

// hasRollouts reports whether a rollout is running.
func (c *control) hasRollouts() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rollouts.Running()
}

// decideRollouts returns the events that are due, or none if this host is not
// the leader.
func (c *control) decideRollouts(now time.Time) []roller.Event {
	isLeader := c.isLeader()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !isLeader {
		c.rollouts.Refresh(now)
		return nil
	}
	return c.rollouts.Decide(now)
}

// proposeRollout proposes an event of the rollout controller. It ignores
// errors, since the controller decides again at the next interval.
func (c *control) proposeRollout(ctx context.Context, e roller.Event) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	_, _ = c.Propose(ctx, reducer.Rollout{Event: e})
}

// isLeader reports whether the keeper on this host is the leader.
func (c *control) isLeader() bool {
	_, err := c.keeper.Load().Lease()
	return err == nil
}

// prepareEntry adds to the start of a rollout the fields that only a keeper
// knows, and returns other entries unchanged.
func (c *control) prepareEntry(entry []byte, now time.Time) ([]byte, error) {
	ev, err := reducer.DecodeEvent(entry)
	if err != nil {
		return nil, err
	}
	change, ok := ev.(reducer.Rollout)
	if !ok {
		return entry, nil
	}
	start, ok := change.Event.(roller.StartRollout)
	if !ok {
		return entry, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.completeStart(&start, now); err != nil {
		return nil, err
	}
	change.Event = start
	return reducer.EncodeEvent(change)
}

// PlanRollout returns start unchanged: the keeper that receives the proposal
// adds the rest, since only keepers know the traffic.
func (c *control) PlanRollout(_ context.Context, start roller.StartRollout) (roller.StartRollout, error) {
	return start, nil
}

// performRollout carries out an effect of a rollout. The caller holds mu.
func (c *control) performRollout(e roller.Effect) {
	switch e := e.(type) {
	case roller.PublishDirective:
		book := c.machine.Rollouts()
		_ = c.dist.Offer(distributor.Topic{
			Name: rolloutTopic, Revision: identifier.Revision(book.Sequence), Body: roller.EncodeDirectives(book.Directives()),
		})
	case roller.Notify:
		logNotice(c.log, e.Notice)
	case roller.ReleaseVersion, roller.RecordAudit:
		// Operators remove the backend servers from the fleet document, and the
		// reducer has written the audit record.
	}
}

// completeStart checks the start of a rollout and adds the fields that only a
// keeper knows. The caller holds mu.
func (c *control) completeStart(start *roller.StartRollout, now time.Time) error {
	f, err := configurer.LoadFleet(c.machine.View().Document)
	if err != nil {
		return err
	}
	s, ok := f.Defaults.Service(start.Service)
	if !ok {
		return refuser.NotRun(refuser.NotFound, fmt.Sprintf("service %q is unknown", start.Service), "name one of the fleet document")
	}
	if !hasServers(f, start.Service, start.To) {
		return refuser.NotRun(refuser.NoBackendServer, fmt.Sprintf("no backend server of %s has version %s", start.Service, start.To),
			"load it and add its servers to the fleet document first")
	}
	start.Routes = len(evaluatedRoutes(s)) + 1
	start.From, start.Hosts, start.At = c.machine.Rollouts().CurrentVersion(start.Service, s.Version), len(c.cfg.Hosts), now
	c.rollouts.Prepare(start, now)
	return nil
}

// hasServers reports whether the fleet document lists a backend server with
// this version of the service.
func hasServers(f *configurer.Fleet, s identifier.Service, v identifier.Version) bool {
	for _, b := range f.Defaults.BackendServers {
		if b.Service == s && b.Version == v {
			return true
		}
	}
	return false
}

// logNotice logs and counts a notice of a rollout.
func logNotice(log *slog.Logger, n roller.Notice) {
	metrics.GetOrCreateCounter(fmt.Sprintf("cyclamen_rollouts_total{phase=%q}", n.Phase)).Inc()
	log.Info("rollout "+string(n.Phase), "rollout", n.Rollout, "service", n.Service, "from", n.From, "to", n.To,
		"cause", n.Cause, "candidateRequests", n.Summary.Candidate.Requests, "candidateFailed", n.Summary.Candidate.Failed,
		"controlRequests", n.Summary.Control.Requests, "controlFailed", n.Summary.Control.Failed)
}
