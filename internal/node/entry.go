package node

import (
	"context"
	"errors"
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
	"cyclamenhub.org/evacuator"
	"cyclamenhub.org/expirer"
	"cyclamenhub.org/forwarder"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/isolator"
	"cyclamenhub.org/matcher"
	"cyclamenhub.org/messenger"
	"cyclamenhub.org/placer"
	"cyclamenhub.org/platform"
	"cyclamenhub.org/relayer"
	"cyclamenhub.org/roller"
	"cyclamenhub.org/sharer"
	"cyclamenhub.org/timer"
)

const (
	// leaseFraction is the fraction of the time for withdrawing keys for which a
	// lease holds. The rest covers the time that a call takes to reach a backend
	// server.
	leaseFraction = 0.8
	// peerProbeDelay is how long a call between the system's processes waits
	// without receiving a byte before it probes the connection.
	peerProbeDelay = 500 * time.Millisecond
	// ownListingPercent is the time between two listings that an entry host reads
	// itself, as a percentage of the time within which it must know that a server
	// leaves, and minOwnListingInterval the shortest such time.
	ownListingPercent     = 30
	minOwnListingInterval = 700 * time.Millisecond
	// foundingListingWait is how long a host leaves the list of backend servers to
	// the leading keeper when the system starts for the first time.
	foundingListingWait = 2 * time.Second
	// dialTimeout bounds a new connection to a backend server, which takes a few
	// milliseconds unless packets are lost.
	dialTimeout = 250 * time.Millisecond
	// preStopDelay is how long a stopping host continues to accept connections, so
	// that the load balancer sees that the host is not ready before the host
	// refuses connections.
	preStopDelay = 2500 * time.Millisecond
	// stopMargin is the time left before the platform kills the process when a
	// stopping host closes the connections of calls that still run.
	stopMargin = 400 * time.Millisecond
	// refusalTime is the part of stopMargin in which such calls are refused, if no part
	// of their answer was sent.
	refusalTime = 100 * time.Millisecond
	// defaultHosts is the number of entry hosts assumed until the leader reports
	// it. Too high a number is safe: it leaves each host too few retries, never too
	// many.
	defaultHosts = 64
	// retryFraction is the fraction of the allowed retries that is used.
	retryFraction = 0.8
)

// entry is an entry host: a process that forwards calls.
type entry struct {
	cfg   *platform.Settings
	log   *slog.Logger
	clock timer.Clock // also advances while the machine is suspended
	run   uint64      // identifies this run of the process; it is its start time

	contacts   contacts
	messenger  *messenger.Messenger
	dist       *distributor.Distributor
	discoverer *discoverer.Discoverer
	forwarder  *forwarder.Forwarder
	evaluators *roller.Evaluators
	limiter    *sharer.Limiter
	isolation  *isolator.Watcher
	reach      *relayer.Reach
	placer     *placer.Placer
	meter      *accountant.Meter
	// expirer and peerExpirer bound connections of callers and of peers.
	expirer, peerExpirer *expirer.Expirer
	// evacuated are the evacuations in force. Only applyTopic uses it.
	evacuated evacuator.Book
	leader    atomic.Pointer[string] // address of the leading keeper, nil while unknown
	hostCount atomic.Int64           // number of entry hosts that the leader reported, 0 before the first sync
	searches  int                    // leader searches since the last leader was lost; only runSync uses it
	// leaseStart is when the sync request that last renewed the lease was sent.
	leaseStart latestTime
	// firstLease is closed when the first lease begins.
	firstLease     chan struct{}
	firstLeaseOnce sync.Once
	leaseDuration  time.Duration
	stopping       atomic.Bool
	reportedReady  atomic.Bool
	// syncMu serializes syncs: a stopping host makes its last sync while others
	// may be running.
	syncMu sync.Mutex
	// permitMu serializes the requests for permits, so that one sync asks for all
	// calls that wait.
	permitMu sync.Mutex
	// placesMu serializes the reports on places at brittle backend servers, and newPlaces
	// has an element while one is due.
	placesMu  sync.Mutex
	newPlaces chan struct{}
	// peers are the hosts that reach services which this one does not.
	peers atomic.Pointer[map[identifier.Service][]identifier.Host]
	// newEvidence has an element while evidence of the isolation waits to be
	// reported.
	newEvidence chan struct{}
	// pendingUse is the use that has not been reported to any leader yet. syncMu
	// guards it.
	pendingUse map[identifier.Customer]sharer.Use
}

// RunEntry runs an entry host until ctx ends and then stops it gracefully,
// within the grace period of the settings.
func RunEntry(ctx context.Context, cfg *platform.Settings, opts Options) error {
	configureRuntime(cfg)
	e := newEntry(cfg, opts)
	frontend, readiness, err := listenBoth(ctx, e.log, listenSetting{"frontend", cfg.Callers}, listenSetting{"readiness", cfg.Readiness})
	if err != nil {
		return err
	}
	peers, err := listen(ctx, e.log, listenSetting{"internalPorts", cfg.PeerAddress(cfg.Host)})
	if err != nil {
		return errors.Join(err, frontend.Close(), readiness.Close())
	}
	return e.serve(ctx, listeners{frontend, readiness, peers}, opts)
}

// newEntry returns an entry host that is not running yet.
func newEntry(cfg *platform.Settings, opts Options) *entry {
	opts.Log = opts.Log.With("host", cfg.Name)
	boot := timer.NewBoot()
	e := &entry{
		cfg: cfg, log: opts.Log, clock: boot, run: uint64(time.Now().UnixNano()),
		contacts: contacts{self: cfg.Host, seeds: cfg.Seeds},
		limiter:  sharer.NewLimiter(timer.System{}), meter: accountant.NewMeter(cfg.Bounds.Window),
		isolation:     isolator.NewWatcher(cfg.Host, boot),
		reach:         relayer.NewReach(boot, nil),
		newPlaces:     make(chan struct{}, 1),
		newEvidence:   make(chan struct{}, 1),
		firstLease:    make(chan struct{}),
		leaseDuration: time.Duration(leaseFraction * float64(cfg.Bounds.WithdrawKeys)),
	}
	e.placer = placer.New(placer.Options{FailureDomain: cfg.FailureDomain, Metrics: metrics.GetDefaultSet(), ReportNow: e.evidenceReady, Run: e.run, PlacesNow: e.placesReady})
	metrics.GetOrCreateGauge("cyclamen_isolator_parts", func() float64 { return float64(e.isolation.Parts()) })
	e.evaluators = roller.NewEvaluators(roller.Source{Host: cfg.Host, Epoch: roller.Epoch(e.run)})
	e.messenger = messenger.New(messenger.Options{Host: cfg.Host, ReadIdleTimeout: peerProbeDelay, Clock: boot})
	e.dist = distributor.New(distributor.Options{
		Self:      configurer.HostAddress{Name: cfg.Host, FailureDomain: cfg.FailureDomain},
		Upstreams: e.upstreams, Call: e.messenger.Call, OnUpdate: e.applyTopic, Clock: boot,
	})
	callers := callerOptions(cfg)
	callers.Clock, callers.Metrics = boot, metrics.GetDefaultSet()
	e.expirer = expirer.New(callers)
	e.peerExpirer = expirer.New(peerOptions(cfg))
	e.forwarder = e.newForwarder(boot, opts)
	e.forwarder.ShowBudgets(metrics.GetDefaultSet())
	e.discoverer = discoverer.New(discoverer.Options{
		Source: platform.NewClient(cfg.API.Address, cfg.Name), Interval: ownListingInterval(cfg.Bounds.LeaveNotice),
		StartWait: listingWait(cfg.Founding), ConfirmationTTL: cfg.Bounds.LeaveNotice / 2,
		OnChange: e.applyListing, Log: opts.Log,
	})
	return e
}

// newForwarder returns the forwarder of the host. boot is the clock by which usage is
// counted.
func (e *entry) newForwarder(boot timer.Clock, opts Options) *forwarder.Forwarder {
	return forwarder.New(forwarder.Options{
		Codec:          platform.Codec{},
		Pool:           connector.NewPool(connector.Options{Dial: opts.DialServer, Metrics: metrics.GetDefaultSet(), DialTimeout: dialTimeout}),
		Placer:         e.placer,
		Limiter:        e.limiter,
		Meter:          e.meter,
		Versions:       e.evaluators,
		Retries:        retriesOf(e.cfg),
		RequestPermits: e.requestPermits,
		Isolation:      e.isolation,
		EndConfirmed:   e.evidenceReady,
		Reach:          e.reach,
		Peers:          e.peersOf,
		ReachChanged:   e.evidenceReady,
		PeerPool:       connector.NewPool(connector.Options{DialTimeout: dialTimeout}),
		PeerAddress:    e.cfg.PeerAddress,
		Hosts:          defaultHosts,
		Tolerance:      e.cfg.Bounds.Rates,
		Regions:        e.cfg.Regions,
		WarmUp:         e.cfg.Bounds.WarmUp,
		LeavingTime:    e.cfg.Bounds.LeaveNotice,
		NoticeLag:      e.cfg.API.ListLag + ownListingInterval(e.cfg.Bounds.LeaveNotice),
		MemoryBytes:    e.cfg.MemoryBytes,
		Current:        e.hasLease,
		BecameCurrent:  e.firstLease,
		TimeOfDay:      boot,
		Log:            e.log,
	})
}

// listingWait returns how long a host that has just started leaves the list of
// backend servers to the leading keeper. Only at the first start of the system
// are there no calls yet: after a kill or a loss of power of all processes, a
// host must know the servers as soon as it has its lease.
func listingWait(founding bool) time.Duration {
	if founding {
		return foundingListingWait
	}
	return 0
}

// ownListingInterval returns the time between two listings that an entry host
// reads itself. With the ConfirmationTTL and one reading, a host that has lost the
// keepers learns of a leaving server within the given time, and a fleet that loses
// its leader calls the platform no more often than that needs.
func ownListingInterval(leaveNotice time.Duration) time.Duration {
	return max(leaveNotice*ownListingPercent/100, minOwnListingInterval)
}

// retriesOf returns the retry budget of all entry hosts together.
func retriesOf(cfg *platform.Settings) forwarder.RetryBudget {
	return forwarder.RetryBudget{Ratio: retryFraction * cfg.Bounds.RetryRatio, Reserve: retryFraction * cfg.Bounds.RetrySlack}
}

// listeners are where an entry host accepts connections of callers, of the load
// balancer's probes and of other entry hosts.
type listeners struct{ frontend, readiness, peers net.Listener }

// serve runs all parts of the host until ctx ends and then stops them.
func (e *entry) serve(ctx context.Context, ln listeners, opts Options) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer e.messenger.Close()
	serveMetrics(background, e.cfg, e.log)
	callers := newServer(e.closeWhenStopping(e.forwarder), e.log)
	expirer.Prepare(callers)
	peers := newServer(e.closeWhenStopping(e.forwarder.PeerHandler()), e.log)
	stoppers := []*stopper{newStopper(callers, ln.frontend), newStopper(peers, ln.peers)}
	expirer.Prepare(peers)
	probes := newServer(http.HandlerFunc(e.serveReadiness), e.log)
	readiness := bounded(e.cfg, probes, ln.readiness)
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { serve(callers, e.expirer.Listener(ln.frontend), e.log) })
	wg.Go(func() { serve(probes, readiness, e.log) })
	wg.Go(func() { serve(peers, e.peerExpirer.Listener(ln.peers), e.log) })
	wg.Go(func() { e.forwarder.RunReach(background) })
	wg.Go(func() { e.discoverer.Run(background) })
	wg.Go(func() { e.runSync(background) })
	wg.Go(func() { e.runEvidence(background) })
	wg.Go(func() { e.runPlaces(background) })
	wg.Go(func() { e.dist.Run(background) })
	wg.Go(func() { e.runEvaluators(background) })
	wg.Go(func() { e.contacts.reload(background, opts) })
	e.log.Info("started", "address", e.cfg.Host, "failureDomain", e.cfg.FailureDomain, "seeds", e.cfg.Seeds)

	<-ctx.Done()
	e.stop(stoppers...)
	cancel()
	_ = probes.Close()
	e.log.Info("stopped", "active", e.forwarder.Active())
	return nil
}

// stop shuts the host down: it reports not ready, then closes the listeners and refuses
// calls that may not end in time, then waits for running calls to finish until shortly
// before the grace period ends, and sends the final counts.
func (e *entry) stop(servers ...*stopper) {
	e.stopping.Store(true)
	e.log.Info("stopping", "active", e.forwarder.Active())
	start := time.Now()
	time.Sleep(preStopDelay)
	end := start.Add(e.cfg.Bounds.StopGrace - stopMargin)
	e.forwarder.EndAt(end)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	var wg sync.WaitGroup
	for _, s := range servers {
		wg.Go(func() {
			if !s.finish(ctx) {
				e.log.Warn("running calls are cut off because the grace period ends", "active", e.forwarder.Active())
				e.forwarder.EndCalls()
			}
			s.close()
		})
	}
	wg.Wait()
	e.sendFinalCounts()
}

// peersOf returns the hosts that reach a service which this one does not.
func (e *entry) peersOf(s identifier.Service) []identifier.Host {
	if p := e.peers.Load(); p != nil {
		return (*p)[s]
	}
	return nil
}

// closeWhenStopping wraps a handler so that callers are asked to use another
// connection once the host is stopping.
func (e *entry) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// serveReadiness answers whether this host should get new connections, with the
// reason if not.
func (e *entry) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	reason := e.unreadyReason()
	if was := e.reportedReady.Swap(reason == ""); was != (reason == "") {
		e.log.Info("readiness changed", "ready", reason == "", "why", reason)
	}
	if reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
	}
}

// unreadyReason returns why this host should get no new connections, or "" if
// it should.
func (e *entry) unreadyReason() string {
	l := e.discoverer.Listing()
	switch {
	case e.stopping.Load():
		return "stopping"
	case e.forwarder.Table() == nil:
		return "no document yet"
	case l == nil || len(l.Instances) == 0:
		return "no backend server is known"
	case !e.hasLease():
		return "the leading keeper is out of reach"
	default:
		return ""
	}
}

// hasLease reports whether the lease from the leading keeper is valid.
func (e *entry) hasLease() bool {
	age, ok := e.leaseStart.age(e.clock)
	return ok && age < e.leaseDuration
}

// applyTopic applies a new revision of a topic: the fleet document, the listing,
// the isolated parts of prompts, the evacuations or the rollout directives. Other
// topics are ignored. If it returns an error, the old revision stays in force.
func (e *entry) applyTopic(t distributor.Topic) error {
	switch t.Name {
	case distributor.FleetTopic:
	case listingTopic:
		l, err := discoverer.DecodeListing(t.Body)
		if err == nil {
			e.discoverer.Offer(l)
		}
		return err
	case isolationTopic:
		return e.applyIsolation(t.Body)
	case distributor.EvacuationTopic:
		return e.applyEvacuations(t.Body)
	case rolloutTopic:
		return e.evaluators.ApplyDirectives(t.Body, e.clock.Now())
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
	e.expirer.SetLimits(expirer.Limits{
		Header: document.Limits.HeaderTimeout, Idle: document.Limits.IdleTimeout, HeadBytes: document.Limits.HeaderBytes,
	})
	if n := document.Limits.HeaderBytes; n > 0 {
		e.peerExpirer.SetLimits(expirer.Limits{HeadBytes: n + relayHeadBytes})
	} else {
		e.peerExpirer.SetLimits(expirer.Limits{})
	}
	e.forwarder.SetTable(matcher.NewTable(revision, document))
	e.configureEvaluators()
	e.log.Info("document in force", "revision", revision, "routes", len(document.Routes), "customers", len(document.Customers))
	return nil
}
