package distributor

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/wire"
	"cyclamenhub.org/messenger"
	"cyclamenhub.org/timer"
)

// WatchMethod is the RPC method of a watch.
const WatchMethod messenger.Method = "distributor.watch"

const (
	// MaxHold is the longest time that a watch without updates is held open.
	MaxHold = 2 * time.Second
	// responseMargin is added to the hold time to get the time-out of a watch.
	responseMargin = time.Second
	// StaleLimit is the maximum age of an upstream's confirmation. Beyond it
	// the next upstream is tried.
	StaleLimit = 4 * time.Second
	// failedUpstreamBackoff is how long a failed upstream is tried only after
	// the others.
	failedUpstreamBackoff = 5 * time.Second
	// reportInterval is the interval at which an unchanged report is resent.
	reportInterval = 20 * time.Second
	// retryDelay is the delay before a retry when no upstream responds.
	retryDelay = 500 * time.Millisecond
	// startTimeout bounds the initial fetch of a starting host.
	startTimeout = 3 * time.Second
)

// Metrics of this package.
var (
	watchesFailed       = metrics.NewCounter("cyclamen_distributor_watches_failed_total")
	watchesStale        = metrics.NewCounter("cyclamen_distributor_watches_stale_total")
	topicsAccepted      = metrics.NewCounter("cyclamen_distributor_topics_taken_total")
	sentAsFullDocuments = metrics.NewCounter("cyclamen_distributor_sent_whole_total")
	sentAsDeltas        = metrics.NewCounter("cyclamen_distributor_sent_as_deltas_total")
	deltasRejected      = metrics.NewCounter("cyclamen_distributor_deltas_rejected_total")
	topicsNotNewer      = metrics.NewCounter("cyclamen_distributor_topics_not_newer_total")
)

// CallFunc calls a method of another process.
type CallFunc func(ctx context.Context, address string, method messenger.Method, req, resp proto.Message) error

// Options configures a Distributor.
type Options struct {
	// Self identifies this host.
	Self configurer.HostAddress
	// Upstreams returns the addresses that may be watched, in order of
	// preference. It returns none on the leading keeper.
	Upstreams func() []string
	// Call calls other processes.
	Call CallFunc
	// OnUpdate is called with every newer topic before the topic comes into
	// force. Calls are serialized. On an error the old revision stays in force.
	OnUpdate func(Topic) error
	// Clock defaults to timer.System.
	Clock timer.Clock
}

// Distributor keeps the topics of one host up to date and serves them to the
// hosts that watch it.
type Distributor struct {
	opts    Options
	topics  *topics
	reports *reports

	applyMu sync.Mutex // serializes calls of OnUpdate

	mu                sync.Mutex
	confirmed         time.Time            // time of the last confirmation by a majority of keepers; zero if there was none
	avoidUntil        map[string]time.Time // end of the back-off, by upstream address
	selfReport        Report
	needFullDocuments bool // set after a delta mismatch
	sentReports       map[identifier.Host]sentReport
}

// New returns a Distributor without topics.
func New(opts Options) *Distributor {
	if opts.Clock == nil {
		opts.Clock = timer.System{}
	}
	return &Distributor{
		opts:        opts,
		topics:      newTopics(),
		reports:     newReports(),
		avoidUntil:  make(map[string]time.Time),
		sentReports: make(map[identifier.Host]sentReport),
		selfReport:  Report{Host: opts.Self.Name, FailureDomain: opts.Self.FailureDomain},
	}
}

// Register registers the watch handler of d with m.
func (d *Distributor) Register(m *messenger.Messenger) {
	m.Handle(WatchMethod, func(ctx context.Context, c *messenger.Call) (proto.Message, error) {
		var req wire.WatchRequest
		if err := c.Decode(&req); err != nil {
			return nil, err
		}
		return d.handleWatch(ctx, &req), nil
	})
}

// Offer applies a topic if its revision is higher than the one in force, and
// ignores it otherwise. It returns the error of OnUpdate.
func (d *Distributor) Offer(t Topic) error {
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	if t.Revision <= d.topics.revision(t.Name) {
		topicsNotNewer.Inc()
		return nil
	}
	if err := d.opts.OnUpdate(t); err != nil {
		return err
	}
	if t.Name == FleetTopic {
		d.recordInForce(t.Revision)
	}
	d.topics.offer(t)
	topicsAccepted.Inc()
	return nil
}

// recordInForce records that revision r of the fleet document is in force from
// now on.
func (d *Distributor) recordInForce(r identifier.Revision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.selfReport.Revision = r
	d.selfReport.InForceSince = d.opts.Clock.Now()
}

// Confirm records that at time t a majority of keepers confirmed that the topics
// of d are current.
func (d *Distributor) Confirm(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.After(d.confirmed) {
		d.confirmed = t
	}
}

// Confirmed returns when a majority of keepers last confirmed that the topics of
// d are current. It returns the zero time if there was no confirmation.
func (d *Distributor) Confirmed() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.confirmed
}

// Revision returns the revision of a topic that is in force on this host, or 0 if
// there is none.
func (d *Distributor) Revision(name TopicName) identifier.Revision { return d.topics.revision(name) }

// Reports returns the reports of this host and of the hosts that watch it,
// directly or through other hosts.
func (d *Distributor) Reports() []Report {
	now := d.opts.Clock.Now()
	d.reports.merge(now, []*wire.HostReport{encodeReport(now, d.currentSelfReport(now))})
	return d.reports.list()
}

// currentSelfReport returns this host's own report as of now.
func (d *Distributor) currentSelfReport(now time.Time) Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.selfReport
	r.HeardAt = now
	return r
}

// handleWatch responds to a watch as soon as there are updates, or without updates
// when the hold time or ctx ends.
func (d *Distributor) handleWatch(ctx context.Context, req *wire.WatchRequest) *wire.WatchResponse {
	d.reports.merge(d.opts.Clock.Now(), req.Reports)
	hold := min(time.Duration(req.HoldMs)*time.Millisecond, MaxHold)
	t := time.NewTimer(hold)
	defer t.Stop()
	for {
		updates, changed := d.topics.newer(req.Have, req.AcceptsPacked)
		if len(updates) > 0 {
			return &wire.WatchResponse{News: updates, ConfirmedAgoMs: d.confirmationAgeMs()}
		}
		select {
		case <-changed:
		case <-t.C:
			return &wire.WatchResponse{ConfirmedAgoMs: d.confirmationAgeMs()}
		case <-ctx.Done():
			return &wire.WatchResponse{ConfirmedAgoMs: d.confirmationAgeMs()}
		}
	}
}

// confirmationAgeMs returns the age of the last confirmation in milliseconds, or
// -1 if there was none.
func (d *Distributor) confirmationAgeMs() int64 {
	c := d.Confirmed()
	if c.IsZero() {
		return -1
	}
	return max(d.opts.Clock.Now().Sub(c).Milliseconds(), 0)
}
