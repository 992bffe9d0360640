package node

import (
	"context"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/forwarder"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/wire"
	"cyclamenhub.org/messenger"
	"cyclamenhub.org/platform"
	"cyclamenhub.org/reducer"
	"cyclamenhub.org/refuser"
	"cyclamenhub.org/roller"
	"cyclamenhub.org/scaler"
)

// startRolloutMethod is the call by which a keeper passes an operator's order to
// the leading one.
const startRolloutMethod messenger.Method = "node.startRollout"

const (
	// resendWindow is how long after the start of a rollout an equal order counts
	// as the same order, sent again.
	resendWindow = 15 * time.Second
	// rolloutOperator is the operator that the audit trail names for a rollout.
	rolloutOperator identifier.Operator = "platform"
)

// StartRollout starts to move a service to a version, unless that rollout is
// already in progress. A keeper that does not lead asks the leading one. It
// implements platform.Control.
func (n *keeperNode) StartRollout(ctx context.Context, s identifier.Service, to identifier.Version, within time.Duration) error {
	if n.holdsLease() {
		return n.startRollout(ctx, s, to, within)
	}
	leader := n.syncStatus().GetLeader()
	if leader == "" || leader == string(n.cfg.Host) {
		return refuser.NotRun(refuser.NoMajority, "no keeper is known to lead", "ask again later")
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	req := &wire.StartRolloutRequest{Service: string(s), Target: string(to), WithinMs: within.Milliseconds()}
	return n.messenger.Call(ctx, n.cfg.PeerAddress(identifier.Host(leader)), startRolloutMethod, req, &wire.Empty{})
}

// handleStartRollout starts a rollout on behalf of another keeper.
func (n *keeperNode) handleStartRollout(ctx context.Context, c *messenger.Call) (proto.Message, error) {
	var req wire.StartRolloutRequest
	if err := c.Decode(&req); err != nil {
		return nil, err
	}
	if !n.holdsLease() {
		return nil, refuser.NotRun(refuser.NoMajority, "this keeper does not lead", "ask again later")
	}
	within := time.Duration(req.GetWithinMs()) * time.Millisecond
	if err := n.startRollout(ctx, identifier.Service(req.GetService()), identifier.Version(req.GetTarget()), within); err != nil {
		return nil, err
	}
	return &wire.Empty{}, nil
}

// startRollout starts a rollout on the leading keeper. Only this keeper has the
// reports of the hosts, from which the thresholds and the limits of the tests
// are computed.
func (n *keeperNode) startRollout(ctx context.Context, s identifier.Service, to identifier.Version, within time.Duration) error {
	v, err := n.readState(ctx)
	if err != nil {
		return err
	}
	now := n.clock.Now()
	last := lastRollout(v, s)
	if last != nil && last.Start.To == to && (!last.Phase.Ended() || now.Sub(last.Start.At) < resendWindow) {
		return nil
	}
	routes, ok := n.routesOf(s)
	if !ok {
		return refuser.NotRun(refuser.NotFound, fmt.Sprintf("service %q is unknown", s), "name one of the document")
	}
	from, err := n.currentVersion(ctx, s, to, last)
	if err != nil {
		return err
	}
	start := roller.StartRollout{
		ID: identifier.RolloutID(fmt.Sprintf("%s-%s-%d", s, to, len(v.Rollouts))), Service: s, From: from, To: to, At: now,
		Hosts: n.hostCount(now), Routes: routes + 1, Operator: rolloutOperator, Reason: "ordered by the platform",
	}
	start.PlanCutover(within, roller.Exposure{Share: identifier.Share(n.cfg.Bounds.ExposureShare), Requests: n.cfg.Bounds.ExposureSlack})
	n.mu.Lock()
	n.rollouts.Prepare(&start, now)
	n.mu.Unlock()
	n.log.Info("rollout started", "rollout", start.ID, "service", s, "from", from, "to", to, "within", within, "hosts", start.Hosts,
		"firstShare", start.FirstLevel.Share(), "thresholds", len(start.Thresholds))
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

// maxRolloutRoutes is the maximum number of routes of a service that the tests of
// a rollout distinguish. It bounds the counters and reports of a host.
const maxRolloutRoutes = 6

// rolloutRoutes returns the routes of a service that the tests of a rollout
// distinguish. Routes differ in the time that an answer takes, so that one
// threshold for all of them does not show that short answers got slower.
func rolloutRoutes(d *describer.Document, s identifier.Service) []identifier.Route {
	var out []identifier.Route
	for i := range d.Routes {
		leads := slices.ContainsFunc(d.Routes[i].Split, func(to describer.Destination) bool { return to.Service == s })
		if leads && len(out) < maxRolloutRoutes {
			out = append(out, d.Routes[i].Name)
		}
	}
	return out
}

// candidatesOf returns the versions of services whose last rollout is in
// progress or was reverted.
func candidatesOf(v reducer.View, services []describer.Service) scaler.Candidates {
	out := make(scaler.Candidates)
	for i := range services {
		if last := lastRollout(v, services[i].Name); last != nil && last.Phase != roller.Done {
			c := scaler.Candidate{Version: last.Start.To}
			if last.EndedAt.IsZero() {
				c.StartedAt = last.Start.At
			}
			out[services[i].Name] = c
		}
	}
	return out
}

// routesOf returns the number of routes of a service that the tests of a rollout
// distinguish, and false if the document does not contain the service.
func (n *keeperNode) routesOf(s identifier.Service) (int, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.document == nil {
		return 0, false
	}
	known := slices.ContainsFunc(n.document.Services, func(in describer.Service) bool { return in.Name == s })
	return len(rolloutRoutes(n.document, s)), known
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
	l, err := n.listReader.Read(ctx)
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
