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

// sharesMethod takes a host's demand at a keeper and answers with its shares.
const sharesMethod messenger.Method = "limits.shares"

const (
	// shareInterval is the time between two divisions, and between two reports
	// of a host, in a fleet of up to hostsPerInterval hosts. It grows with the
	// fleet, so that the leader's work does not.
	shareInterval    = 2 * time.Second
	hostsPerInterval = 32
	// idleReports is how many intervals pass between reports of a host that
	// has nothing to say.
	idleReports = 15
	// shareTimeout bounds one report.
	shareTimeout = 3 * time.Second
	// floorShare is the part of every rate that is divided equally.
	floorShare identifier.Share = 0.25
)

var shareReportsFailed = metrics.NewCounter("cyclamen_limits_reports_failed_total")

// newAdmitter returns the point of acceptance of this run of the process. Until
// it hears of a division it grants this host's part of the floor.
func newAdmitter(cfg *configurer.Settings, opts Options) *admitter.Admitter {
	return admitter.New(admitter.Config{
		Clock: opts.Clock, Metrics: metrics.GetDefaultSet(),
		StartShare:  startShare(len(cfg.Hosts)),
		Incarnation: uint64(opts.Clock.Now().UnixNano()),
	})
}

// startShare returns the share of a host that has not heard of a division.
func startShare(hosts int) identifier.Share {
	if hosts <= 1 {
		return 1
	}
	return floorShare / identifier.Share(hosts)
}

// intervalOf returns the time between two divisions in a fleet of n hosts.
func intervalOf(n int) time.Duration {
	return shareInterval * time.Duration((n+hostsPerInterval-1)/hostsPerInterval)
}

// runShares reports this host's demand and takes its shares until ctx ends. A
// host that reaches no leader keeps the shares it has.
func (d *Daemon) runShares(ctx context.Context) {
	if len(d.cfg.Hosts) <= 1 {
		return
	}
	t := time.NewTicker(intervalOf(len(d.cfg.Hosts)))
	defer t.Stop()
	var acknowledged map[identifier.Customer]identifier.Share
	for n := 0; ; n++ {
		report := d.admitter.TakeDemand()
		isNews := len(report.Demands) > 0 || report.Epoch == 0 || !maps.Equal(report.Shares, acknowledged)
		if isNews || n%idleReports == 0 {
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

// exchangeShares reports once.
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
		resp, err = d.control.shareOut(ctx, req)
	} else {
		err = d.control.ask(ctx, sharesMethod, req, resp)
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

// sharing divides the customers' rates between the hosts where this host leads.
type sharing struct {
	mu      sync.Mutex
	term    identifier.Term
	divider *admitter.Divider
	at      time.Time
	latest  map[identifier.Host]admitter.Shares
}

// handleShares takes the demand of another host.
func (c *control) handleShares(ctx context.Context, call *messenger.Call) (proto.Message, error) {
	var req wire.SharesRequest
	if err := call.Decode(&req); err != nil {
		return nil, err
	}
	return c.shareOut(ctx, &req)
}

// shareOut answers a host's demand where this host leads, and else passes it on
// to the leader.
func (c *control) shareOut(ctx context.Context, req *wire.SharesRequest) (*wire.SharesResponse, error) {
	if c.leads() {
		return c.divide(req)
	}
	address, ok := c.leaderAddress()
	if !ok {
		return nil, refuser.NotRun(refuser.NoMajority, "no keeper leads", "the host keeps the shares it has; look at 'cyclamenctl members list'")
	}
	resp := &wire.SharesResponse{}
	return resp, c.messenger.Call(ctx, address, sharesMethod, req, resp)
}

// divide takes a host's demand in and returns its shares.
func (c *control) divide(req *wire.SharesRequest) (*wire.SharesResponse, error) {
	var report admitter.DemandReport
	if err := json.Unmarshal(req.Report, &report); err != nil {
		return nil, refuser.NotRun(refuser.Malformed, "the demand does not decode: "+err.Error(), "run the same release on all hosts")
	}
	if err := report.Check(); err != nil {
		return nil, refuser.NotRun(refuser.Malformed, err.Error(), "run the same release on all hosts")
	}
	s, ok := c.sharing.answer(c, identifier.Host(req.Host), report)
	if !ok {
		return &wire.SharesResponse{}, nil
	}
	b, err := json.Marshal(s)
	return &wire.SharesResponse{Shares: b}, err
}

// answer takes a report in and returns the host's latest shares, dividing anew
// once every shareInterval.
func (s *sharing) answer(c *control, h identifier.Host, r admitter.DemandReport) (admitter.Shares, bool) {
	customers := c.customers()
	s.mu.Lock()
	defer s.mu.Unlock()
	if term := c.keeper.Status().Term; s.divider == nil || term != s.term {
		s.term, s.at, s.latest = term, time.Time{}, nil
		s.divider = admitter.NewDivider(hostNames(c.cfg), floorShare, term)
	}
	s.divider.Report(h, r)
	if now := c.clock.Now(); now.Sub(s.at) >= intervalOf(len(c.cfg.Hosts)) {
		s.at, s.latest = now, s.divider.Divide(customers)
	}
	shares, ok := s.latest[h]
	return shares, ok
}

// customers returns the names of the customers in force here.
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
