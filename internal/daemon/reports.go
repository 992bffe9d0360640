package daemon

import (
	"context"
	"slices"

	"google.golang.org/protobuf/proto"

	"cyclamenhub.org/administrator"
	"cyclamenhub.org/distributor"
	"cyclamenhub.org/internal/wire"
	"cyclamenhub.org/messenger"
)

// reportsMethod queries a keeper for the revision that each host has in force.
const reportsMethod messenger.Method = "control.reports"

// HostRevisions returns the revision that each host has in force, as the leader
// of the control log knows it. If the leader does not answer, it returns what
// this host knows.
func (c *control) HostRevisions(ctx context.Context) []administrator.HostRevision {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return revisionsOf(c.reports(ctx))
}

// reports returns the reports of the leader, or those of this host if the
// leader does not answer.
func (c *control) reports(ctx context.Context) []distributor.Report {
	var resp wire.ReportsResponse
	var err error
	switch address, known := c.leaderAddress(); {
	case c.keeper == nil:
		err = c.callKeepers(ctx, reportsMethod, &wire.Empty{}, &resp)
	case known:
		err = c.messenger.Call(ctx, address, reportsMethod, &wire.Empty{}, &resp)
	default:
		return c.dist.Reports()
	}
	if err != nil {
		return c.dist.Reports()
	}
	return distributor.DecodeReports(c.clock.Now(), resp.Reports)
}

// revisionsOf converts reports to the form for operators.
func revisionsOf(rs []distributor.Report) []administrator.HostRevision {
	out := make([]administrator.HostRevision, len(rs))
	for i, r := range rs {
		out[i] = administrator.HostRevision{
			Host: r.Host, FailureDomain: r.FailureDomain, Revision: r.Revision, Since: r.InForceSince,
		}
	}
	return out
}

// handleReports serves reportsMethod. If the caller is a host that is not a
// keeper, it answers with the reports of the leader, otherwise with its own.
func (c *control) handleReports(ctx context.Context, call *messenger.Call) (proto.Message, error) {
	rs := c.dist.Reports()
	if h, ok := c.cfg.HostNamed(call.From); ok && !slices.Contains(c.cfg.Keepers, h.Name) {
		rs = c.reports(ctx)
	}
	return &wire.ReportsResponse{Reports: distributor.EncodeReports(c.clock.Now(), rs)}, nil
}

// leaderAddress returns the address of the leading keeper, and false if the
// leader is unknown or is the keeper on this host.
func (c *control) leaderAddress() (string, bool) {
	if c.keeper == nil {
		return "", false
	}
	s := c.keeper.Load().Status()
	if s.Leader == 0 || s.Leader == s.ID {
		return "", false
	}
	for _, m := range s.Members {
		if m.ID == s.Leader {
			return c.addressOf(m.Host)
		}
	}
	return "", false
}

// leaderFirst returns upstreams with the leading keeper first, so that the
// leader receives the reports of all hosts. The leader itself has no upstreams,
// since no other host has newer data.
func (c *control) leaderFirst(upstreams []string) []string {
	if c.keeper == nil {
		return upstreams
	}
	if s := c.keeper.Load().Status(); s.Leader != 0 && s.Leader == s.ID {
		return nil
	}
	leader, ok := c.leaderAddress()
	if !ok {
		return upstreams
	}
	others := slices.DeleteFunc(slices.Clone(upstreams), func(a string) bool { return a == leader })
	return slices.Concat([]string{leader}, others)
}
