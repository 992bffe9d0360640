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

// reportsMethod asks a keeper what the hosts have in force.
const reportsMethod messenger.Method = "control.reports"

// HostRevisions returns which host has which revision in force, as the leading
// keeper knows it, or else as this host does.
func (c *control) HostRevisions(ctx context.Context) []administrator.HostRevision {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return revisionsOf(c.reports(ctx))
}

// reports returns the reports of the leading keeper, or else those known here.
func (c *control) reports(ctx context.Context) []distributor.Report {
	var resp wire.ReportsResponse
	var err error
	switch address, known := c.leaderAddress(); {
	case c.keeper == nil:
		err = c.ask(ctx, reportsMethod, &wire.Empty{}, &resp)
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

// revisionsOf returns the operators' form of reports.
func revisionsOf(rs []distributor.Report) []administrator.HostRevision {
	out := make([]administrator.HostRevision, len(rs))
	for i, r := range rs {
		out[i] = administrator.HostRevision{
			Host: r.Host, FailureDomain: r.FailureDomain, Revision: r.Revision, Since: r.InForceSince,
		}
	}
	return out
}

// handleReports answers another host's question for the reports.
func (c *control) handleReports(ctx context.Context, call *messenger.Call) (proto.Message, error) {
	rs := c.dist.Reports()
	if h, ok := c.cfg.HostNamed(call.From); ok && !slices.Contains(c.cfg.Keepers, h.Name) {
		rs = c.reports(ctx)
	}
	return &wire.ReportsResponse{Reports: distributor.EncodeReports(c.clock.Now(), rs)}, nil
}

// leaderAddress returns where the leading keeper is reached, if it is known and
// not the one here.
func (c *control) leaderAddress() (string, bool) {
	if c.keeper == nil {
		return "", false
	}
	s := c.keeper.Status()
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

// leaderFirst returns upstreams with the leading keeper in front, so that it
// hears of all hosts. On the leader there are none, since nobody knows more.
func (c *control) leaderFirst(upstreams []string) []string {
	if c.keeper == nil {
		return upstreams
	}
	if s := c.keeper.Status(); s.Leader != 0 && s.Leader == s.ID {
		return nil
	}
	leader, ok := c.leaderAddress()
	if !ok {
		return upstreams
	}
	others := slices.DeleteFunc(slices.Clone(upstreams), func(a string) bool { return a == leader })
	return slices.Concat([]string{leader}, others)
}
