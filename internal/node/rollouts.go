package node

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"cyclamenhub.org/discoverer"
	"cyclamenhub.org/distributor"
	"cyclamenhub.org/forwarder"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/wire"
	"cyclamenhub.org/messenger"
	"cyclamenhub.org/platform"
	"cyclamenhub.org/reducer"
	"cyclamenhub.org/refuser"
	"cyclamenhub.org/roller"
	"cyclamenhub.org/timer"
)

// rolloutTopic carries the directives of the rollouts.
const rolloutTopic distributor.TopicName = "rollouts"

// rolloutReportMethod is the call by which a host reports its counters of a
// rollout to the leading keeper.
const rolloutReportMethod messenger.Method = "node.judge"

const (
	// activePollInterval is the time between two evaluations of the rollouts while
	// one is in progress, idlePollInterval the time otherwise.
	activePollInterval = 200 * time.Millisecond
	idlePollInterval   = time.Second
	// initialShare is the share of traffic that an unproven version gets before
	// the cutover: half of what the platform allows over a rollout.
	initialShare identifier.Share = 0.05
	// cutoverLeadDivisor divides a rollout's duration to get the time between the
	// cutover and the end, within minCutoverLead and maxCutoverLead. In that time
	// calls on the old version complete, or the new version is reverted.
	cutoverLeadDivisor = 6
	minCutoverLead     = 2 * time.Second
	maxCutoverLead     = 30 * time.Second
	// resendWindow is how long after the start of a rollout an equal order counts
	// as the same order, sent again.
	resendWindow = 15 * time.Second
	// rolloutOperator is the operator that the audit trail names for a rollout.
	rolloutOperator identifier.Operator = "platform"
)

// StartRollout starts to move a service to a version, unless that rollout is
// already in progress. It implements platform.Control.
func (n *keeperNode) StartRollout(ctx context.Context, s identifier.Service, to identifier.Version, within time.Duration) error {
	v, err := n.readState(ctx)
	if err != nil {
		return err
	}
	now := n.clock.Now()
	last := lastRollout(v, s)
	if last != nil && last.Start.To == to && (!last.Phase.Ended() || now.Sub(last.Start.At) < resendWindow) {
		return nil
	}
	if !n.hasService(s) {
		return refuser.NotRun(refuser.NotFound, fmt.Sprintf("service %q is unknown", s), "name one of the document")
	}
	from, err := n.currentVersion(ctx, s, to, last)
	if err != nil {
		return err
	}
	cutoverLead := min(max(within/cutoverLeadDivisor, minCutoverLead), maxCutoverLead)
	start := roller.StartRollout{
		ID: identifier.RolloutID(fmt.Sprintf("%s-%s-%d", s, to, len(v.Rollouts))), Service: s, From: from, To: to, At: now,
		Deadline: now.Add(within - cutoverLead/2), Cutover: now.Add(within - cutoverLead), Watch: cutoverLead / 4,
		FirstLevel: roller.LevelOf(initialShare), Hosts: n.hostCount(now), Routes: 1,
		Operator: rolloutOperator, Reason: "ordered by the platform",
	}
	n.mu.Lock()
	start.Thresholds = n.rollouts.Baseline(s, from)
	n.mu.Unlock()
	return n.propose(ctx, reducer.Rollout{Event: start})
}

// lastRollout returns the last rollout of a service, or nil if there is none.
func lastRollout(v reducer.View, s identifier.Service) *roller.Record {
	for i := len(v.Rollouts) - 1; i >= 0; i-- {
		if v.Rollouts[i].Start.Service == s {
			return &v.Rollouts[i]
		}
	}
	return nil
}

// hasService reports whether the document contains a service.
func (n *keeperNode) hasService(s identifier.Service) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.document == nil {
		return false
	}
	for i := range n.document.Services {
		if n.document.Services[i].Name == s {
			return true
		}
	}
	return false
}

// hostCount returns the number of known entry hosts, at least 1.
func (n *keeperNode) hostCount(now time.Time) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(n.divider.Hosts(now), 1)
}

// currentVersion returns the version that a service is moved from: that of its
// last rollout or, without one, the most common listed version other than the
// target.
func (n *keeperNode) currentVersion(ctx context.Context, s identifier.Service, to identifier.Version, last *roller.Record) (identifier.Version, error) {
	if last != nil && last.Phase == roller.Done {
		return last.Start.To, nil
	}
	if last != nil {
		return last.Start.From, nil
	}
	l, err := n.readList(ctx)
	if err != nil {
		return "", refuser.NotRun(refuser.NoBackendServer, "the list of backend servers is not read: "+err.Error(), "ask again later")
	}
	versions := l.Versions(s)
	delete(versions, to)
	return forwarder.CommonVersion(versions), nil
}

// Rollout returns the state and the target version of a service's last rollout.
// It implements platform.Control.
func (n *keeperNode) Rollout(ctx context.Context, s identifier.Service) (platform.RolloutState, identifier.Version, error) {
	v, err := n.readState(ctx)
	if err != nil {
		return "", "", err
	}
	last := lastRollout(v, s)
	if last == nil {
		return "", "", refuser.NotRun(refuser.NotFound, fmt.Sprintf("service %q was never moved", s), "start a rollout")
	}
	switch last.Phase {
	case roller.Done:
		return platform.RolloutDone, last.Start.To, nil
	case roller.Reverted:
		return platform.RolloutReverted, last.Start.To, nil
	default:
		return platform.RolloutRunning, last.Start.To, nil
	}
}

// performRollout carries out an effect of a rollout. The caller holds mu.
func (n *keeperNode) performRollout(e roller.Effect) {
	switch e := e.(type) {
	case roller.PublishDirective:
		book := n.machine.Rollouts()
		// Offer returns the error of OnUpdate, which is always nil on a keeper.
		_ = n.dist.Offer(distributor.Topic{
			Name: rolloutTopic, Revision: identifier.Revision(book.Sequence), Body: roller.EncodeDirectives(book.Directives()),
		})
	case roller.Notify:
		n.log.Info("rollout "+string(e.Notice.Phase), "rollout", e.Notice.Rollout, "service", e.Notice.Service, "from", e.Notice.From,
			"to", e.Notice.To, "cause", e.Notice.Cause, "candidateRequests", e.Notice.Summary.Candidate.Requests,
			"candidateFailed", e.Notice.Summary.Candidate.Failed, "controlRequests", e.Notice.Summary.Control.Requests)
	case roller.ReleaseVersion, roller.RecordAudit:
		// The platform releases servers when it reads the rollout's state, and the
		// reducer has written the audit record.
	}
}

// runRollouts proposes the rollout events that are due while this keeper leads,
// until ctx ends.
func (n *keeperNode) runRollouts(ctx context.Context) {
	timer.Repeat(ctx, 0, func() time.Duration {
		events, running := n.dueRollouts()
		for _, e := range events {
			if err := n.propose(ctx, reducer.Rollout{Event: e}); err != nil {
				n.log.Warn("rollout event not proposed", "event", fmt.Sprintf("%T", e), "error", err)
			}
		}
		return pollInterval(running)
	})
}

// pollInterval returns the time until the rollouts are evaluated again.
func pollInterval(running bool) time.Duration {
	if running {
		return activePollInterval
	}
	return idlePollInterval
}

// dueRollouts returns the events that are due, and whether a rollout is in
// progress. A keeper that does not lead returns no events.
func (n *keeperNode) dueRollouts() ([]roller.Event, bool) {
	holdsLease, now := n.holdsLease(), n.clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	running := n.rollouts.Running()
	if !holdsLease {
		n.rollouts.Refresh(now)
		return nil, running
	}
	var due []roller.Event
	for _, e := range n.rollouts.Decide(now) {
		if e = n.requireServers(e, now); e != nil {
			due = append(due, e)
		}
	}
	return due, running
}

// requireServers returns nil for an event that would move all traffic to a
// version without a backend server, and a revert instead once the deadline of
// the rollout has passed. It returns any other event unchanged. The caller
// holds mu.
func (n *keeperNode) requireServers(e roller.Event, now time.Time) roller.Event {
	stage, ok := e.(roller.StageReached)
	if !ok || stage.Level != roller.TopLevel {
		return e
	}
	r := n.machine.Rollouts().Records[stage.ID]
	if n.listings.last == nil || hasServers(n.listings.last, r) {
		return e
	}
	if now.Before(r.Start.Deadline) {
		return nil
	}
	return roller.RevertRollout{ID: stage.ID, Operator: rolloutOperator, Reason: "no backend server has the version", At: now}
}

// hasServers reports whether the target version of a rollout has backend
// servers.
func hasServers(l *discoverer.Listing, r *roller.Record) bool {
	return r != nil && l.Versions(r.Start.Service)[r.Start.To] > 0
}

// handleRolloutReport merges the counters that an entry host reports.
func (n *keeperNode) handleRolloutReport(_ context.Context, c *messenger.Call) (proto.Message, error) {
	var req wire.RolloutReport
	if err := c.Decode(&req); err != nil {
		return nil, err
	}
	r, err := roller.DecodeReport(req.GetReport())
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rollouts.Merge(r)
	return &wire.Empty{}, nil
}

// runEvaluators evaluates this host's counters of the rollouts and reports them to
// the leading keeper until ctx ends.
func (e *entry) runEvaluators(ctx context.Context) {
	timer.Repeat(ctx, idlePollInterval, func() time.Duration {
		lastContact := e.clock.Now()
		if age, ok := e.leaseStart.age(e.clock); ok {
			lastContact = lastContact.Add(-age)
		}
		for _, r := range e.evaluators.Tick(e.clock.Now(), lastContact) {
			e.sendRolloutReport(ctx, r)
		}
		return pollInterval(e.evaluators.Running())
	})
}

// sendRolloutReport sends one report, if a leader is known. A lost report needs
// no retry, since the next one covers it.
func (e *entry) sendRolloutReport(ctx context.Context, r roller.Report) {
	address := e.leader.Load()
	if address == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	if err := e.messenger.Call(ctx, *address, rolloutReportMethod, &wire.RolloutReport{Report: r.Encode()}, &wire.Empty{}); err != nil {
		e.log.Warn("rollout counters not reported", "service", r.Service, "error", err)
	}
}

// applyListing puts a listing in force.
func (e *entry) applyListing(l *discoverer.Listing) {
	e.forwarder.SetListing(l)
	e.configureEvaluators()
}

// configureEvaluators sets the current version of each service in the
// evaluators. Until a rollout moves the service, it is the most common listed
// one.
func (e *entry) configureEvaluators() {
	t, l := e.forwarder.Table(), e.discoverer.Listing()
	if t == nil || l == nil {
		return
	}
	services := t.Document().Services
	for i := range services {
		if versions := l.Versions(services[i].Name); len(versions) > 0 {
			e.evaluators.Configure(services[i].Name, forwarder.CommonVersion(versions), nil)
		}
	}
}
