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
	"cyclamenhub.org/reducer"
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
)

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
			"candidateFailed", e.Notice.Summary.Candidate.Failed, "candidateSlow", e.Notice.Summary.Candidate.Slow,
			"controlRequests", e.Notice.Summary.Control.Requests, "controlFailed", e.Notice.Summary.Control.Failed,
			"controlSlow", e.Notice.Summary.Control.Slow)
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

// configureEvaluators sets the current version and the routes of each service in
// the evaluators. Until a rollout moves the service, the current version is the
// most common listed one.
func (e *entry) configureEvaluators() {
	t, l := e.forwarder.Table(), e.discoverer.Listing()
	if t == nil || l == nil {
		return
	}
	services := t.Document().Services
	for i := range services {
		name := services[i].Name
		versions := l.Versions(name)
		delete(versions, e.evaluators.Unproven(name))
		if len(versions) > 0 {
			e.evaluators.Configure(name, forwarder.CommonVersion(versions), rolloutRoutes(t.Document(), name))
		}
	}
}
