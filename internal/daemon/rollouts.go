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

// rolloutReportMethod takes the counters of a host at a keeper.
const rolloutReportMethod messenger.Method = "rollout.report"

const (
	// judgeInterval is the time between two runs of a host's own tests.
	judgeInterval = 100 * time.Millisecond
	// decideInterval is the time between two decisions of the leading keeper.
	decideInterval = 200 * time.Millisecond
	// idleInterval is the time between two looks while no rollout is under way.
	idleInterval = time.Second
	// reportTimeout bounds one report and one proposal.
	reportTimeout = 2 * time.Second
)

// generationRoutes are the routes of every model service.
var generationRoutes = []identifier.Route{"POST /v1/chat/completions", "POST /v1/completions"}

var rolloutReportsFailed = metrics.NewCounter("cyclamen_rollout_reports_failed_total")

// newJudges returns the judges of this run of the process.
func newJudges(cfg *configurer.Settings, started time.Time) *roller.Judges {
	return roller.NewJudges(roller.Source{Host: cfg.Host, Epoch: roller.Epoch(started.UnixNano())})
}

// configureJudges tells the judges what a fleet document says of the services.
func configureJudges(js *roller.Judges, f *configurer.Fleet) {
	for _, s := range f.Defaults.Services {
		js.Configure(s.Name, s.Version, judgedRoutes(s))
	}
}

// judgedRoutes returns the routes of a service that are judged one by one.
func judgedRoutes(s configurer.Service) []identifier.Route {
	if s.Kind == configurer.ModelService {
		return generationRoutes
	}
	return s.NonIdempotentRoutes
}

// drawVersion draws the version of a request. Only its first attempt is drawn,
// since attempts at one request may fail for one reason; further ones go to the
// present version.
func (d *Daemon) drawVersion(r *dispatcher.Request, l dispatcher.Load, again bool) dispatcher.Draw {
	if again {
		return drawnVersion{version: d.judges.Present(r.Service.Name, r.Service.Version)}
	}
	t := d.judges.Draw(r.Service.Name, r.ID, r.Route, roller.BandOf(l.InFlight, l.Capacity))
	return drawnVersion{ticket: t, version: cmp.Or(t.Version(), r.Service.Version)}
}

// drawnVersion is a version that the judges drew.
type drawnVersion struct {
	ticket  roller.Ticket
	version identifier.Version
}

// Version returns the version.
func (v drawnVersion) Version() identifier.Version { return v.version }

// Ended tells the judges.
func (v drawnVersion) Ended(e dispatcher.Ending) {
	v.ticket.End(roller.Ending{Outcome: e.Evidence, Latency: e.Latency, Server: e.Server})
}

// runJudges runs this host's tests and reports to the keepers until ctx ends.
func (d *Daemon) runJudges(ctx context.Context) {
	timer.Repeat(ctx, 0, func() time.Duration {
		for _, r := range d.judges.Tick(d.clock.Now(), d.dist.Confirmed()) {
			d.reportRollout(ctx, r)
		}
		return pause(d.judges.Running(), judgeInterval)
	})
}

// pause returns the time until the next look at the rollouts.
func pause(running bool, interval time.Duration) time.Duration {
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

// handleReport takes the report of another host.
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

// mergeReport takes a report in where this host is a keeper.
func (c *control) mergeReport(r roller.Report) {
	if c.keeper == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rollouts.Merge(r)
}

// runRollouts proposes the events that are due while this host leads, until ctx
// ends.
func (c *control) runRollouts(ctx context.Context, now func() time.Time) {
	if c.keeper == nil {
		return
	}
	timer.Repeat(ctx, 0, func() time.Duration {
		for _, e := range c.decideRollouts(now()) {
			c.proposeRollout(ctx, e)
		}
		return pause(c.hasRollouts(), decideInterval)
	})
}

// hasRollouts reports whether a rollout is under way.
func (c *control) hasRollouts() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rollouts.Running()
}

// decideRollouts returns the events that are due while this host leads.
func (c *control) decideRollouts(now time.Time) []roller.Event {
	leads := c.leads()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !leads {
		c.rollouts.Note(now)
		return nil
	}
	return c.rollouts.Decide(now)
}

// proposeRollout puts an event of the controller's into the control log. What
// fails is decided anew.
func (c *control) proposeRollout(ctx context.Context, e roller.Event) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	_, _ = c.Propose(ctx, reducer.Rollout{Event: e})
}

// leads reports whether the keeper here leads.
func (c *control) leads() bool {
	_, err := c.keeper.Lease()
	return err == nil
}

// prepare fills in what only a keeper knows of a rollout that an operator
// starts, and returns other entries as they are.
func (c *control) prepare(entry []byte, now time.Time) ([]byte, error) {
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
	if err := c.fillStart(&start, now); err != nil {
		return nil, err
	}
	change.Event = start
	return reducer.EncodeEvent(change)
}

// PlanRollout returns start as it is: the keeper that takes the proposal in
// fills in the rest, since it alone knows the traffic.
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
		noteRollout(c.log, e.Notice)
	case roller.ReleaseVersion, roller.RecordAudit:
		// Operators take the servers out of the fleet document; the reducer has
		// written the audit record.
	}
}

// fillStart fills a start in. The caller holds mu.
func (c *control) fillStart(start *roller.StartRollout, now time.Time) error {
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
	start.Routes = len(judgedRoutes(s)) + 1
	start.From, start.Hosts, start.At = c.machine.Rollouts().Present(start.Service, s.Version), len(c.cfg.Hosts), now
	c.rollouts.Prepare(start, now)
	return nil
}

// hasServers reports whether a version of a service has backend servers.
func hasServers(f *configurer.Fleet, s identifier.Service, v identifier.Version) bool {
	for _, b := range f.Defaults.BackendServers {
		if b.Service == s && b.Version == v {
			return true
		}
	}
	return false
}

// noteRollout logs and counts a notice.
func noteRollout(log *slog.Logger, n roller.Notice) {
	metrics.GetOrCreateCounter(fmt.Sprintf("cyclamen_rollouts_total{phase=%q}", n.Phase)).Inc()
	log.Info("rollout "+string(n.Phase), "rollout", n.Rollout, "service", n.Service, "from", n.From, "to", n.To,
		"cause", n.Cause, "candidateRequests", n.Summary.Candidate.Requests, "candidateFailed", n.Summary.Candidate.Failed,
		"controlRequests", n.Summary.Control.Requests, "controlFailed", n.Summary.Control.Failed)
}
