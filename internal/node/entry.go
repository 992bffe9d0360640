package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenhub.org/accountant"
	"cyclamenhub.org/configurer"
	"cyclamenhub.org/connector"
	"cyclamenhub.org/discoverer"
	"cyclamenhub.org/distributor"
	"cyclamenhub.org/forwarder"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/matcher"
	"cyclamenhub.org/messenger"
	"cyclamenhub.org/placer"
	"cyclamenhub.org/platform"
	"cyclamenhub.org/roller"
	"cyclamenhub.org/sharer"
	"cyclamenhub.org/timer"
)

const (
	// leasePart is the part of the time for withdrawing keys for which the
	// leader's word holds. The rest covers a call's way to a backend server.
	leasePart = 0.8
	// peerSilence is how long a call between the system's processes waits
	// without a byte before it probes the connection.
	peerSilence = 500 * time.Millisecond
	// listInterval is the time between two readings of the list of backend
	// servers.
	listInterval = 700 * time.Millisecond
	// dialTimeout bounds a new connection to a backend server, which takes a few
	// milliseconds where nothing is lost.
	dialTimeout = 250 * time.Millisecond
	// unreadyWait is how long a stopping host goes on taking connections, so
	// that the balancer sees that it is not ready before it refuses any.
	unreadyWait = 2500 * time.Millisecond
	// stopMargin is how long before the kill a stopping host gives up what is
	// still at work.
	stopMargin = 400 * time.Millisecond
	// unknownHosts is how many entry hosts there are thought to be until the
	// leader tells it: too many leaves each too few retries, which is safe.
	unknownHosts = 64
	// retryPart is the part of the allowed retries that is used.
	retryPart = 0.8
)

// entry is a process that forwards calls.
type entry struct {
	cfg   *platform.Settings
	log   *slog.Logger
	steps timer.Clock // counts suspensions too
	run   uint64

	contacts   contacts
	messenger  *messenger.Messenger
	dist       *distributor.Distributor
	discoverer *discoverer.Discoverer
	forwarder  *forwarder.Forwarder
	judges     *roller.Judges
	limiter    *sharer.Limiter
	placer     *placer.Placer
	meter      *accountant.Meter
	leader     atomic.Pointer[string] // its address
	hosts      atomic.Int64           // how many hosts the leader counts, 0 before its first word
	searches   int                    // for a leader, since the last was lost; only follow uses it
	confirmed  moment
	// firstWord is closed with the first confirmation.
	firstWord chan struct{}
	announce  sync.Once
	lease     time.Duration
	stopping  atomic.Bool
	isReady   atomic.Bool
	// syncing is held by the one sync at a time: a host that stops makes its last
	// one beside the others.
	syncing sync.Mutex
	// pending is the use that no leader has been told yet. syncing guards it.
	pending map[identifier.Customer]sharer.Use
}

// RunEntry runs an entry host until ctx ends, and then stops it gracefully.
func RunEntry(ctx context.Context, cfg *platform.Settings, opts Options) error {
	fitRuntime(cfg)
	e := newEntry(cfg, opts)
	frontend, err := listen("frontend", cfg.Callers)
	if err != nil {
		return err
	}
	readiness, err := listen("readiness", cfg.Readiness)
	if err != nil {
		return err
	}
	return e.serve(ctx, frontend, readiness, opts)
}

// newEntry returns an entry host that does not run yet.
func newEntry(cfg *platform.Settings, opts Options) *entry {
	opts.Log = opts.Log.With("host", cfg.Name)
	boot := timer.NewBoot()
	e := &entry{
		cfg: cfg, log: opts.Log, steps: boot, run: uint64(time.Now().UnixNano()),
		contacts: contacts{self: cfg.Host, seeds: cfg.Seeds},
		limiter:  sharer.NewLimiter(timer.System{}), meter: accountant.NewMeter(cfg.Bounds.Window),
		placer:    placer.New(placer.Options{FailureDomain: cfg.FailureDomain, Metrics: metrics.GetDefaultSet()}),
		firstWord: make(chan struct{}),
		lease:     time.Duration(leasePart * float64(cfg.Bounds.WithdrawKeys)),
	}
	e.judges = roller.NewJudges(roller.Source{Host: cfg.Host, Epoch: roller.Epoch(e.run)})
	e.messenger = messenger.New(messenger.Options{Host: cfg.Host, Silence: peerSilence, Clock: boot})
	e.dist = distributor.New(distributor.Options{
		Self:      configurer.HostAddress{Name: cfg.Host, FailureDomain: cfg.FailureDomain},
		Upstreams: e.upstreams, Call: e.messenger.Call, OnNews: e.take, Clock: boot,
	})
	e.forwarder = forwarder.New(forwarder.Options{
		Codec: platform.Codec{}, Pool: connector.NewPool(connector.Options{Metrics: metrics.GetDefaultSet(), DialTimeout: dialTimeout}),
		Placer:  e.placer,
		Limiter: e.limiter, Meter: e.meter, Versions: e.judges, Retries: retriesOf(cfg), Hosts: unknownHosts, Tolerance: cfg.Bounds.Rates, Current: e.isCurrent, FirstWord: e.firstWord, TimeOfDay: boot, Log: opts.Log,
	})
	e.discoverer = discoverer.New(discoverer.Options{
		Source: platform.NewClient(cfg.API.Address, cfg.Name), Interval: listInterval,
		OnChange: e.takeListing, Log: opts.Log,
	})
	return e
}

// retriesOf returns the retry budget of all hosts.
func retriesOf(cfg *platform.Settings) forwarder.RetryBudget {
	return forwarder.RetryBudget{Ratio: retryPart * cfg.Bounds.RetryRatio, Reserve: retryPart * cfg.Bounds.RetrySlack}
}

// serve serves until ctx ends and then stops.
func (e *entry) serve(ctx context.Context, frontend, readiness net.Listener, opts Options) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer e.messenger.Close()
	serveMetrics(background, e.cfg, e.log)
	callers := newServer(e.closing(e.forwarder), e.log)
	probes := newServer(http.HandlerFunc(e.ready), e.log)
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { serve(callers, frontend, e.log) })
	wg.Go(func() { serve(probes, readiness, e.log) })
	wg.Go(func() { e.discoverer.Run(background) })
	wg.Go(func() { e.follow(background) })
	wg.Go(func() { e.dist.Run(background) })
	wg.Go(func() { e.runJudges(background) })
	wg.Go(func() { e.contacts.reload(background, opts) })
	e.log.Info("started", "address", e.cfg.Host, "failureDomain", e.cfg.FailureDomain, "seeds", e.cfg.Seeds)

	<-ctx.Done()
	e.stop(callers)
	cancel()
	_ = probes.Close()
	e.log.Info("stopped", "active", e.forwarder.Active())
	return nil
}

// stop stops taking calls: readiness goes first, then new connections, and what
// is at work gets its answers.
func (e *entry) stop(callers *http.Server) {
	e.stopping.Store(true)
	e.log.Info("stopping", "active", e.forwarder.Active())
	began := time.Now()
	time.Sleep(unreadyWait)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(e.cfg.Bounds.StopGrace-stopMargin))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		e.log.Warn("calls are cut off at the stop", "active", e.forwarder.Active(), "error", err)
		_ = callers.Close()
	}
	e.handOver()
}

// closing asks callers to use another connection once the host stops.
func (e *entry) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// ready answers whether this host should get new connections.
func (e *entry) ready(w http.ResponseWriter, _ *http.Request) {
	why := e.unreadyBecause()
	if was := e.isReady.Swap(why == ""); was != (why == "") {
		e.log.Info("readiness changed", "ready", why == "", "why", why)
	}
	if why != "" {
		http.Error(w, why, http.StatusServiceUnavailable)
	}
}

// unreadyBecause tells why this host should get no new connections, or nothing.
func (e *entry) unreadyBecause() string {
	l := e.discoverer.Listing()
	switch {
	case e.stopping.Load():
		return "stopping"
	case e.forwarder.Table() == nil:
		return "no document yet"
	case l == nil || len(l.Instances) == 0:
		return "no backend server is known"
	case !e.isCurrent():
		return "the leading keeper is out of reach"
	default:
		return ""
	}
}

// isCurrent reports whether the leader's word still holds.
func (e *entry) isCurrent() bool {
	age, ok := e.confirmed.age(e.steps)
	return ok && age < e.lease
}

// take puts a newer document in force.
func (e *entry) take(t distributor.Topic) error {
	switch t.Name {
	case distributor.FleetTopic:
	case listingTopic:
		l, err := discoverer.DecodeListing(t.Body)
		if err == nil {
			e.discoverer.Offer(l)
		}
		return err
	case rolloutTopic:
		return e.judges.Obey(t.Body, e.steps.Now())
	default:
		return nil
	}
	revision, document, err := platform.DecodeDocument(t.Body)
	if err != nil {
		e.log.Error("document not in force", "revision", t.Revision, "error", err)
		return err
	}
	if revision != t.Revision {
		return fmt.Errorf("document %d says that it is revision %d: look at the keepers' logs", t.Revision, revision)
	}
	e.forwarder.SetTable(matcher.NewTable(revision, document))
	e.configureJudges()
	e.log.Info("document in force", "revision", revision, "routes", len(document.Routes), "customers", len(document.Customers))
	return nil
}
