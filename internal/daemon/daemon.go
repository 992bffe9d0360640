package daemon

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

	"golang.org/x/sync/errgroup"

	"cyclamenhub.org/admitter"
	"cyclamenhub.org/configurer"
	"cyclamenhub.org/dispatcher"
	"cyclamenhub.org/distributor"
	"cyclamenhub.org/drainer"
	"cyclamenhub.org/evacuator"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/messenger"
	"cyclamenhub.org/recorder"
	"cyclamenhub.org/roller"
	"cyclamenhub.org/server"
	"cyclamenhub.org/timer"
)

const (
	// headerTimeout limits how long an operator client may take to send its
	// request header.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long an idle operator connection stays open.
	idleTimeout = 2 * time.Minute
	// stopTimeout limits a graceful stop. It is longer than the longest
	// request, so that a planned stop completes every request.
	stopTimeout = server.MaxDeadline + time.Minute
)

// Options configures a Daemon in addition to its settings.
type Options struct {
	Log   *slog.Logger
	Clock timer.Clock
	// Files writes the data folder; nil means the file system.
	Files recorder.FileSystem
}

// Daemon is one cyclamend process.
type Daemon struct {
	cfg   *configurer.Settings
	log   *slog.Logger
	clock timer.Clock

	messenger  *messenger.Messenger
	dist       *distributor.Distributor
	control    *control
	claims     *claims
	admitter   *admitter.Admitter
	follower   *configurer.Follower
	evaluators *roller.Evaluators
	tables     atomic.Pointer[dispatcher.Table]
	// tableMu serializes the changes of the table, and evacuated are the evacuated
	// failure domains.
	tableMu      sync.Mutex
	evacuated    []identifier.FailureDomain
	drainer      *drainer.Drainer
	callerServer *server.Server

	peerLn, callerLn, operatorLn net.Listener
}

// New opens the data folder and the listening addresses. The caller must call
// Close or Run.
func New(cfg *configurer.Settings, opts Options) (*Daemon, error) {
	if opts.Log == nil {
		opts.Log = slog.Default()
	}
	if opts.Clock == nil {
		opts.Clock = timer.System{}
	}
	d := &Daemon{cfg: cfg, log: opts.Log, clock: opts.Clock}
	d.messenger = messenger.New(messenger.Options{Host: cfg.Host, Clock: opts.Clock})
	d.evaluators = newEvaluators(cfg, opts.Clock.Now())
	d.admitter = newAdmitter(cfg, opts)
	d.follower = configurer.NewFollower(opts.Clock, d.applyConfiguration)
	upstreams := upstreamsOf(cfg)
	d.dist = distributor.New(distributor.Options{
		Self: cfg.Self(), Upstreams: func() []string { return d.control.leaderFirst(upstreams) },
		Call: d.messenger.Call, OnUpdate: d.applyTopic, Clock: opts.Clock,
	})
	d.dist.Register(d.messenger)
	d.control = newControl(cfg, d.messenger, d.dist, opts)
	d.control.table = d.tables.Load
	d.claims = &claims{control: d.control}
	d.callerServer = d.newCallerServer()
	if err := d.open(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// open opens the logs and the listening addresses.
func (d *Daemon) open() error {
	if err := d.control.open(); err != nil {
		return err
	}
	if err := d.claims.open(); err != nil {
		return err
	}
	return d.listen()
}

// listen opens the listening addresses.
func (d *Daemon) listen() error {
	for _, l := range []struct {
		ln      *net.Listener
		name    string
		address string
	}{
		{&d.peerLn, "hosts", d.cfg.Self().Address},
		{&d.callerLn, "callers.listen", d.cfg.Callers.Listen},
		{&d.operatorLn, "operators.listen", d.cfg.Operators.Listen},
	} {
		ln, err := net.Listen("tcp", l.address)
		if err != nil {
			return fmt.Errorf("%s: %w: end the process that holds the address or choose another", l.name, err)
		}
		*l.ln = ln
	}
	return nil
}

// Close closes everything that New opened. It is not needed after Run.
func (d *Daemon) Close() {
	for _, ln := range []net.Listener{d.peerLn, d.callerLn, d.operatorLn} {
		if ln != nil {
			_ = ln.Close()
		}
	}
	d.messenger.Close()
	d.claims.close()
	d.control.close()
}

// CallerAddress returns the address that serves callers.
func (d *Daemon) CallerAddress() string { return d.callerLn.Addr().String() }

// OperatorAddress returns the address that serves operators.
func (d *Daemon) OperatorAddress() string { return d.operatorLn.Addr().String() }

// Run serves until ctx ends and then stops gracefully: it reports not ready,
// completes the accepted requests, and closes the control log last.
func (d *Daemon) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	defer d.Close()
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)

	wg.Go(func() { _ = d.messenger.Serve(d.peerLn) })
	wg.Go(func() {
		// This runs in the background: while the keepers have no quorum, the
		// host serves with the configuration that it has.
		if err := d.control.proposeInitial(ctx, d.clock); err != nil {
			fail(err)
		}
	})
	d.dist.Start(ctx)
	wg.Go(func() { d.control.confirmPeriodically(background) })
	wg.Go(func() { d.control.reopen(background) })
	wg.Go(func() { d.dist.Run(background) })
	wg.Go(func() { d.follower.Run(background) })
	wg.Go(func() { d.claims.run(background) })
	wg.Go(func() { d.runShares(background) })
	wg.Go(func() { d.drainer.Run(background) })
	wg.Go(func() { d.control.runRollouts(background, d.clock.Now) })
	wg.Go(func() { d.runEvaluators(background) })
	d.log.Info("serving", "host", d.cfg.Host, "failureDomain", d.cfg.FailureDomain,
		"callers", d.CallerAddress(), "operators", d.OperatorAddress(), "revision", d.dist.Revision(distributor.FleetTopic))
	return d.serveHTTP(ctx)
}

// serveHTTP serves callers and operators until ctx ends.
func (d *Daemon) serveHTTP(ctx context.Context) error {
	operators := newOperatorServer(d.operatorHandler())
	g, failed := errgroup.WithContext(context.Background())
	g.Go(func() error { return d.callerServer.Serve(d.callerLn) })
	g.Go(func() error { return ignoreClosed(operators.Serve(d.operatorLn)) })
	select {
	case <-ctx.Done():
	case <-failed.Done():
	}
	d.log.Info("stopping", "host", d.cfg.Host)
	d.drainer.HostStops()
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := errors.Join(d.callerServer.Stop(stopCtx), operators.Shutdown(stopCtx), g.Wait(), fatalError(ctx))
	d.log.Info("stopped", "host", d.cfg.Host)
	return err
}

// fatalError returns the error that ended ctx, or nil if ctx was cancelled
// without one.
func fatalError(ctx context.Context) error {
	if err := context.Cause(ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// newOperatorServer returns an HTTP server with time-outs for the header and
// idle connections.
func newOperatorServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// ignoreClosed returns nil for http.ErrServerClosed, and err otherwise.
func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// applyTopic applies a newer revision of a distributed document.
func (d *Daemon) applyTopic(t distributor.Topic) error {
	switch t.Name {
	case distributor.FleetTopic:
	case rolloutTopic:
		return d.evaluators.ApplyDirectives(t.Body, d.clock.Now())
	case distributor.EvacuationTopic:
		return d.applyEvacuations(t.Body)
	default:
		return nil
	}
	err := d.follower.Apply(t.Revision, t.Body)
	if err != nil {
		d.log.Error("cannot apply the configuration", "revision", t.Revision, "error", err)
	}
	return err
}

// applyConfiguration makes f, which includes the active exceptions, the
// configuration of this host.
func (d *Daemon) applyConfiguration(revision identifier.Revision, f *configurer.Fleet) {
	configureEvaluators(d.evaluators, f)
	d.tableMu.Lock()
	d.tables.Store(dispatcher.NewTable(f).WithEvacuated(d.evacuated))
	d.tableMu.Unlock()
	if !d.drainer.Leaving() {
		d.callerServer.SetReady(true)
	}
	d.log.Info("configuration in force", "revision", revision)
}

// applyEvacuations puts the evacuations of a topic in force.
func (d *Daemon) applyEvacuations(body []byte) error {
	book, err := evacuator.DecodeBook(body)
	if err != nil {
		return err
	}
	d.tableMu.Lock()
	defer d.tableMu.Unlock()
	d.evacuated = book.Domains()
	if t := d.tables.Load(); t != nil {
		d.tables.Store(t.WithEvacuated(d.evacuated))
	}
	d.log.Info("evacuations changed", "failureDomains", d.evacuated, "sequence", book.Sequence)
	return nil
}
