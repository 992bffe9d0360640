package daemon

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"cyclamenhub.org/admitter"
	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/wire"
	"cyclamenhub.org/messenger"
	"cyclamenhub.org/refuser"
)

// sharesMethod sends a host's demand to a keeper, which answers with the host's
// shares.
const sharesMethod messenger.Method = "limits.shares"

const (
	// shareInterval is the time between two divisions of the rates, and between
	// two reports of a host, in a fleet of up to hostsPerInterval hosts. It
	// grows with the fleet, so that the load on the leader does not.
	shareInterval    = 2 * time.Second
	hostsPerInterval = 32
	// idleReportIntervals is the number of intervals between reports of a host
	// that has nothing new to report.
	idleReportIntervals = 15
	// shareTimeout limits one report.
	shareTimeout = 3 * time.Second
	// guaranteedShare is the part of every rate that is divided equally between
	// the hosts.
	guaranteedShare identifier.Share = 0.25
)

var shareReportsFailed = metrics.NewCounter("cyclamen_limits_reports_failed_total")

// newAdmitter returns the admitter of this process. Until it receives its
// shares it grants this host's part of the guaranteed share.
func newAdmitter(cfg *configurer.Settings, opts Options) *admitter.Admitter {
	return admitter.New(admitter.Config{
		Clock: opts.Clock, Metrics: metrics.GetDefaultSet(),
		StartShare:  initialShare(len(cfg.Hosts)),
		Incarnation: uint64(opts.Clock.Now().UnixNano()),
	})
}

// initialShare returns the share of a host that has not received its shares
// yet.
func initialShare(hosts int) identifier.Share {
	if hosts <= 1 {
		return 1
	}
	return guaranteedShare / identifier.Share(hosts)
}

// intervalOf returns the time between two divisions in a fleet of n hosts.
func intervalOf(n int) time.Duration {
	return shareInterval * time.Duration((n+hostsPerInterval-1)/hostsPerInterval)
}

// runShares reports this host's demand and applies its shares until ctx ends. A
// host that reaches no leader keeps its shares.
func (d *Daemon) runShares(ctx context.Context) {
	if len(d.cfg.Hosts) <= 1 {
		return
	}
	t := time.NewTicker(intervalOf(len(d.cfg.Hosts)))
	defer t.Stop()
	var acknowledged map[identifier.Customer]identifier.Share
	for n := 0; ; n++ {
		report := d.admitter.TakeDemand()
		changed := len(report.Demands) > 0 || report.Epoch == 0 || !maps.Equal(report.Shares, acknowledged)
		if changed || n%idleReportIntervals == 0 {
			if err := d.exchangeShares(ctx, report); err != nil {
				shareReportsFailed.Inc()
			} else {
				acknowledged = report.Shares
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// exchangeShares sends one report and applies the shares in the answer, if any.
func (d *Daemon) exchangeShares(ctx context.Context, demand admitter.DemandReport) error {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	report, err := json.Marshal(demand)
	if err != nil {
		return err
	}
	req := &wire.SharesRequest{Host: string(d.cfg.Host), Report: report}
	resp := &wire.SharesResponse{}
	if d.control.keeper != nil {
		resp, err = d.control.answerDemand(ctx, req)
	} else {
		err = d.control.callKeepers(ctx, sharesMethod, req, resp)
	}
	if err != nil || len(resp.Shares) == 0 {
		return err
	}
	var s admitter.Shares
	if err := json.Unmarshal(resp.Shares, &s); err != nil {
		return err
	}
	if err := s.Check(); err != nil {
		return err
	}
	d.admitter.SetShares(s)
	return nil
}

// shareDivision divides the customers' rates between the hosts on the leading
// keeper.
type shareDivision struct {
	mu        sync.Mutex
	term      identifier.Term
	divider   *admitter.Divider
	dividedAt time.Time
	latest    map[identifier.Host]admitter.Shares
}

// handleShares serves sharesMethod.
func (c *control) handleShares(ctx context.Context, call *messenger.Call) (proto.Message, error) {
	var req wire.SharesRequest
	if err := call.Decode(&req); err != nil {
		return nil, err
	}
	return c.answerDemand(ctx, &req)
}

// answerDemand answers a host's demand if this host is the leader, and forwards
// it to the leader otherwise.
func (c *control) answerDemand(ctx context.Context, req *wire.SharesRequest) (*wire.SharesResponse, error) {
	if c.isLeader() {
		return c.updateDemand(req)
	}
	address, ok := c.leaderAddress()
	if !ok {
		return nil, refuser.NotRun(refuser.NoMajority, "no keeper leads", "the host keeps the shares it has; look at 'cyclamenctl members list'")
	}
	resp := &wire.SharesResponse{}
	return resp, c.messenger.Call(ctx, address, sharesMethod, req, resp)
}

// updateDemand records a host's demand and returns the host's shares.
func (c *control) updateDemand(req *wire.SharesRequest) (*wire.SharesResponse, error) {
	var report admitter.DemandReport
	if err := json.Unmarshal(req.Report, &report); err != nil {
		return nil, refuser.NotRun(refuser.Malformed, "the demand does not decode: "+err.Error(), "run the same release on all hosts")
	}
	if err := report.Check(); err != nil {
		return nil, refuser.NotRun(refuser.Malformed, err.Error(), "run the same release on all hosts")
	}
	s, ok := c.shareDivision.update(c, identifier.Host(req.Host), report)
	if !ok {
		return &wire.SharesResponse{}, nil
	}
	b, err := json.Marshal(s)
	return &wire.SharesResponse{Shares: b}, err
}

// update records a report and returns the host's latest shares. It divides the
// rates again once per interval.
func (s *shareDivision) update(c *control, h identifier.Host, r admitter.DemandReport) (admitter.Shares, bool) {
	customers := c.customers()
	s.mu.Lock()
	defer s.mu.Unlock()
	if term := c.keeper.Load().Status().Term; s.divider == nil || term != s.term {
		s.term, s.dividedAt, s.latest = term, time.Time{}, nil
		s.divider = admitter.NewDivider(hostNames(c.cfg), guaranteedShare, term)
	}
	s.divider.Report(h, r)
	if now := c.clock.Now(); now.Sub(s.dividedAt) >= intervalOf(len(c.cfg.Hosts)) {
		s.dividedAt, s.latest = now, s.divider.Divide(customers)
	}
	shares, ok := s.latest[h]
	return shares, ok
}

// customers returns the names of the customers in the current configuration.
func (c *control) customers() []identifier.Customer {
	t := c.table()
	if t == nil {
		return nil
	}
	return t.CustomerNames()
}

// hostNames returns the names of all hosts.
func hostNames(cfg *configurer.Settings) []identifier.Host {
	names := make([]identifier.Host, len(cfg.Hosts))
	for i, h := range cfg.Hosts {
		names[i] = h.Name
	}
	return names
}
