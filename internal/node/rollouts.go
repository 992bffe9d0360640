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

// judgeMethod takes the counters of a host at the leading keeper.
const judgeMethod messenger.Method = "node.judge"

const (
	// judgeInterval is the time between two runs of the tests while a rollout is
	// under way, and idleInterval otherwise.
	judgeInterval = 200 * time.Millisecond
	idleInterval  = time.Second
	// firstShare is what an unproven version gets before the leap: half of what
	// the platform allows over a rollout.
	firstShare identifier.Share = 0.05
	// leadPart is the part of a rollout's time that is left after the leap, for
	// the answers of the old version to end and for taking the new one back,
	// within leastLead and mostLead.
	leadPart  = 6
	leastLead = 2 * time.Second
	mostLead  = 30 * time.Second
	// resentWithin is how long after its start an order for the same rollout is
	// the same order, sent again.
	resentWithin = 15 * time.Second
	// rolloutOperator is who the audit trail names for a rollout.
	rolloutOperator identifier.Operator = "platform"
)

// StartRollout begins to move a service, unless it is under way.
func (n *keeperNode) StartRollout(ctx context.Context, s identifier.Service, to identifier.Version, within time.Duration) error {
	v, err := n.read(ctx)
	if err != nil {
		return err
	}
	now := n.clock.Now()
	last := lastRollout(v, s)
	if last != nil && last.Start.To == to && (!last.Phase.Ended() || now.Sub(last.Start.At) < resentWithin) {
		return nil
	}
	if !n.serves(s) {
		return refuser.NotRun(refuser.NotFound, fmt.Sprintf("service %q is unknown", s), "name one of the document")
	}
	from, err := n.presentVersion(ctx, s, to, last)
	if err != nil {
		return err
	}
	lead := min(max(within/leadPart, leastLead), mostLead)
	start := roller.StartRollout{
		ID: identifier.RolloutID(fmt.Sprintf("%s-%s-%d", s, to, len(v.Rollouts))), Service: s, From: from, To: to, At: now,
		Deadline: now.Add(within - lead/2), Leap: now.Add(within - lead), Watch: lead / 4,
		FirstLevel: roller.LevelOf(firstShare), Hosts: n.hosts(now), Routes: 1,
		Operator: rolloutOperator, Reason: "ordered by the platform",
	}
	n.mu.Lock()
	start.Thresholds = n.rollouts.Baseline(s, from)
	n.mu.Unlock()
	return n.propose(ctx, reducer.Rollout{Event: start})
}

// lastRollout returns the last rollout of a service, or nil.
func lastRollout(v reducer.View, s identifier.Service) *roller.Record {
	for i := len(v.Rollouts) - 1; i >= 0; i-- {
		if v.Rollouts[i].Start.Service == s {
			return &v.Rollouts[i]
		}
	}
	return nil
}

// serves reports whether the document names a service.
func (n *keeperNode) serves(s identifier.Service) bool {
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

// hosts returns how many entry hosts are known.
func (n *keeperNode) hosts(now time.Time) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return max(n.divider.Hosts(now), 1)
}

// presentVersion returns the version that a service is moved from: that of its
// last rollout, or the most common other one that is listed.
func (n *keeperNode) presentVersion(ctx context.Context, s identifier.Service, to identifier.Version, last *roller.Record) (identifier.Version, error) {
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

// Rollout returns the state of a service's last rollout.
func (n *keeperNode) Rollout(ctx context.Context, s identifier.Service) (platform.RolloutState, identifier.Version, error) {
	v, err := n.read(ctx)
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
		// OnNews of a keeper accepts everything.
		_ = n.dist.Offer(distributor.Topic{
			Name: rolloutTopic, Revision: identifier.Revision(book.Sequence), Body: roller.EncodeDirectives(book.Directives()),
		})
	case roller.Notify:
		n.log.Info("rollout "+string(e.Notice.Phase), "rollout", e.Notice.Rollout, "service", e.Notice.Service, "from", e.Notice.From,
			"to", e.Notice.To, "cause", e.Notice.Cause, "candidateRequests", e.Notice.Summary.Candidate.Requests,
			"candidateFailed", e.Notice.Summary.Candidate.Failed, "controlRequests", e.Notice.Summary.Control.Requests)
	case roller.ReleaseVersion, roller.RecordAudit:
		// The platform releases servers by the state, and the reducer has written
		// the audit record.
	}
}

// runRollouts proposes the events that are due while this keeper leads, until
// ctx ends.
func (n *keeperNode) runRollouts(ctx context.Context) {
	timer.Repeat(ctx, 0, func() time.Duration {
		events, running := n.dueRollouts()
		for _, e := range events {
			if err := n.propose(ctx, reducer.Rollout{Event: e}); err != nil {
				n.log.Warn("rollout not moved", "event", fmt.Sprintf("%T", e), "error", err)
			}
		}
		return paceOf(running)
	})
}

// paceOf returns the time until rollouts are looked at again.
func paceOf(running bool) time.Duration {
	if running {
		return judgeInterval
	}
	return idleInterval
}

// dueRollouts returns the events that are due, and whether a rollout is under
// way.
func (n *keeperNode) dueRollouts() ([]roller.Event, bool) {
	leads, now := n.leads(), n.clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	running := n.rollouts.Running()
	if !leads {
		n.rollouts.Note(now)
		return nil, running
	}
	var due []roller.Event
	for _, e := range n.rollouts.Decide(now) {
		if e = n.withServers(e, now); e != nil {
			due = append(due, e)
		}
	}
	return due, running
}

// withServers holds back a move of all traffic to a version that has no backend
// server yet, and takes it back once its time is over. The caller holds mu.
func (n *keeperNode) withServers(e roller.Event, now time.Time) roller.Event {
	stage, ok := e.(roller.StageReached)
	if !ok || stage.Level != roller.TopLevel {
		return e
	}
	r := n.machine.Rollouts().Records[stage.ID]
	if n.listings.last == nil || servers(n.listings.last, r) {
		return e
	}
	if now.Before(r.Start.Deadline) {
		return nil
	}
	return roller.RevertRollout{ID: stage.ID, Operator: rolloutOperator, Reason: "no backend server has the version", At: now}
}

// servers reports whether the new version of a rollout has backend servers.
func servers(l *discoverer.Listing, r *roller.Record) bool {
	return r != nil && l.Versions(r.Start.Service)[r.Start.To] > 0
}

// handleJudgement takes the counters of an entry host.
func (n *keeperNode) handleJudgement(_ context.Context, c *messenger.Call) (proto.Message, error) {
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

// runJudges runs this host's own tests and reports to the leading keeper until
// ctx ends.
func (e *entry) runJudges(ctx context.Context) {
	timer.Repeat(ctx, idleInterval, func() time.Duration {
		heard := e.steps.Now()
		if age, ok := e.confirmed.age(e.steps); ok {
			heard = heard.Add(-age)
		}
		for _, r := range e.judges.Tick(e.steps.Now(), heard) {
			e.judge(ctx, r)
		}
		return paceOf(e.judges.Running())
	})
}

// judge sends one report. A lost one is made up for by the next.
func (e *entry) judge(ctx context.Context, r roller.Report) {
	address := e.leader.Load()
	if address == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	if err := e.messenger.Call(ctx, *address, judgeMethod, &wire.RolloutReport{Report: r.Encode()}, &wire.Empty{}); err != nil {
		e.log.Warn("counters of a rollout not reported", "service", r.Service, "error", err)
	}
}

// takeListing puts a listing in force.
func (e *entry) takeListing(l *discoverer.Listing) {
	e.forwarder.SetListing(l)
	e.configureJudges()
}

// configureJudges tells the judges which version of each service is the present
// one where no rollout has moved it.
func (e *entry) configureJudges() {
	t, l := e.forwarder.Table(), e.discoverer.Listing()
	if t == nil || l == nil {
		return
	}
	services := t.Document().Services
	for i := range services {
		if versions := l.Versions(services[i].Name); len(versions) > 0 {
			e.judges.Configure(services[i].Name, forwarder.CommonVersion(versions), nil)
		}
	}
}
