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

// WatchMethod is the method of a watch.
const WatchMethod messenger.Method = "distributor.watch"

const (
	// Hold is how long a watch without news is held open.
	Hold = 2 * time.Second
	// answerMargin is how much longer than Hold an answer may take.
	answerMargin = time.Second
	// StaleLimit is how old the confirmation of an upstream may be before
	// another one is tried.
	StaleLimit = 4 * time.Second
	// avoidFor is how long a failed upstream is passed over.
	avoidFor = 5 * time.Second
	// reportInterval is how long an unchanged report is not sent again.
	reportInterval = 20 * time.Second
	// retryPause is the pause when no upstream answers.
	retryPause = 500 * time.Millisecond
	// startTimeout bounds how long a starting host asks around.
	startTimeout = 3 * time.Second
)

// The distributor's counters.
var (
	watchesFailed  = metrics.NewCounter("cyclamen_distributor_watches_failed_total")
	watchesStale   = metrics.NewCounter("cyclamen_distributor_watches_stale_total")
	topicsTaken    = metrics.NewCounter("cyclamen_distributor_topics_taken_total")
	sentWhole      = metrics.NewCounter("cyclamen_distributor_sent_whole_total")
	sentAsDeltas   = metrics.NewCounter("cyclamen_distributor_sent_as_deltas_total")
	deltasRejected = metrics.NewCounter("cyclamen_distributor_deltas_rejected_total")
	topicsRejected = metrics.NewCounter("cyclamen_distributor_topics_not_newer_total")
)

// CallFunc makes a call to another process.
type CallFunc func(ctx context.Context, address string, method messenger.Method, req, resp proto.Message) error

// Options configure a Distributor.
type Options struct {
	// Self is this host.
	Self configurer.HostAddress
	// Upstreams returns the addresses that may be watched, preferred first. A
	// leading keeper has none.
	Upstreams func() []string
	// Call makes calls.
	Call CallFunc
	// OnNews is called with every newer topic before it counts as in force, from
	// one goroutine at a time. An error keeps the old revision in force.
	OnNews func(Topic) error
	// Clock defaults to timer.System.
	Clock timer.Clock
}

// Distributor keeps one host's topics current and serves those that watch it.
type Distributor struct {
	opts    Options
	topics  *topics
	reports *reports

	takeMu sync.Mutex // serializes OnNews

	mu        sync.Mutex
	confirmed time.Time            // zero means never
	avoid     map[string]time.Time // until when an upstream is passed over
	inForce   Report
	wantWhole bool // after a delta that did not fit
	sent      map[identifier.Host]sentReport
}

// New returns a Distributor without topics.
func New(opts Options) *Distributor {
	if opts.Clock == nil {
		opts.Clock = timer.System{}
	}
	return &Distributor{
		opts:    opts,
		topics:  newTopics(),
		reports: newReports(),
		avoid:   make(map[string]time.Time),
		sent:    make(map[identifier.Host]sentReport),
		inForce: Report{Host: opts.Self.Name, FailureDomain: opts.Self.FailureDomain},
	}
}

// Register makes m answer watches from d.
func (d *Distributor) Register(m *messenger.Messenger) {
	m.Handle(WatchMethod, func(ctx context.Context, c *messenger.Call) (proto.Message, error) {
		var req wire.WatchRequest
		if err := c.Decode(&req); err != nil {
			return nil, err
		}
		return d.answer(ctx, &req), nil
	})
}

// Offer takes a topic if it is newer than the one in force. It returns the
// error of OnNews.
func (d *Distributor) Offer(t Topic) error {
	d.takeMu.Lock()
	defer d.takeMu.Unlock()
	if t.Revision <= d.topics.revision(t.Name) {
		topicsRejected.Inc()
		return nil
	}
	if err := d.opts.OnNews(t); err != nil {
		return err
	}
	if t.Name == FleetTopic {
		d.noteInForce(t.Revision)
	}
	d.topics.offer(t)
	topicsTaken.Inc()
	return nil
}

// noteInForce records that a revision came into force now.
func (d *Distributor) noteInForce(r identifier.Revision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inForce.Revision = r
	d.inForce.InForceSince = d.opts.Clock.Now()
}

// Confirm records that at time t a majority of keepers confirmed what d has.
func (d *Distributor) Confirm(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.After(d.confirmed) {
		d.confirmed = t
	}
}

// Confirmed returns when a majority of keepers last confirmed what d has; zero
// means never.
func (d *Distributor) Confirmed() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.confirmed
}

// Revision returns the revision of a topic in force here; 0 means none.
func (d *Distributor) Revision(name TopicName) identifier.Revision { return d.topics.revision(name) }

// Reports returns what this host and those that watch it, directly or through
// others, have in force.
func (d *Distributor) Reports() []Report {
	now := d.opts.Clock.Now()
	d.reports.merge(now, []*wire.HostReport{encodeReport(now, d.self(now))})
	return d.reports.list()
}

// self returns this host's own report.
func (d *Distributor) self(now time.Time) Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.inForce
	r.HeardAt = now
	return r
}

// answer holds a watch until there is news or its time is up.
func (d *Distributor) answer(ctx context.Context, req *wire.WatchRequest) *wire.WatchResponse {
	d.reports.merge(d.opts.Clock.Now(), req.Reports)
	hold := min(time.Duration(req.HoldMs)*time.Millisecond, Hold)
	t := time.NewTimer(hold)
	defer t.Stop()
	for {
		news, changed := d.topics.newer(req.Have)
		if len(news) > 0 {
			return &wire.WatchResponse{News: news, ConfirmedAgoMs: d.confirmedAgo()}
		}
		select {
		case <-changed:
		case <-t.C:
			return &wire.WatchResponse{ConfirmedAgoMs: d.confirmedAgo()}
		case <-ctx.Done():
			return &wire.WatchResponse{ConfirmedAgoMs: d.confirmedAgo()}
		}
	}
}

// confirmedAgo returns the age of the last confirmation in milliseconds;
// negative means that there was none.
func (d *Distributor) confirmedAgo() int64 {
	c := d.Confirmed()
	if c.IsZero() {
		return -1
	}
	return max(d.opts.Clock.Now().Sub(c).Milliseconds(), 0)
}
