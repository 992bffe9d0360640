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
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/messenger"
	"cyclamenhub.org/roller"
	"cyclamenhub.org/server"
	"cyclamenhub.org/timer"
)

const (
	// headerTimeout bounds how long a client may take to send its header.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds how long an unused client connection is kept.
	idleTimeout = 2 * time.Minute
	// stopTimeout bounds a graceful stop. It outlasts the longest request, so
	// that a planned stop cuts none off.
	stopTimeout = server.MaxDeadline + time.Minute
)

// Options configure a Daemon besides its settings.
type Options struct {
	Log   *slog.Logger
	Clock timer.Clock
}

// Daemon is one cyclamend process.
type Daemon struct {
	cfg   *configurer.Settings
	log   *slog.Logger
	clock timer.Clock

	messenger *messenger.Messenger
	dist      *distributor.Distributor
	control   *control
	claims    *claims
	admitter  *admitter.Admitter
	follower  *configurer.Follower
	judges    *roller.Judges
	tables    atomic.Pointer[dispatcher.Table]
	drainer   *drainer.Drainer
	callers   *server.Server

	peerLn, callerLn, operatorLn net.Listener
}

// New opens the data folder and the listening addresses. Close or Run must
// follow.
func New(cfg *configurer.Settings, opts Options) (*Daemon, error) {
	if opts.Log == nil {
		opts.Log = slog.Default()
	}
	if opts.Clock == nil {
		opts.Clock = timer.System{}
	}
	d := &Daemon{cfg: cfg, log: opts.Log, clock: opts.Clock}
	d.messenger = messenger.New(messenger.Options{Host: cfg.Host, Clock: opts.Clock})
	d.judges = newJudges(cfg, opts.Clock.Now())
	d.admitter = newAdmitter(cfg, opts)
	d.follower = configurer.NewFollower(opts.Clock, d.putInForce)
	upstreams := upstreamsOf(cfg)
	d.dist = distributor.New(distributor.Options{
		Self: cfg.Self(), Upstreams: func() []string { return d.control.leaderFirst(upstreams) },
		Call: d.messenger.Call, OnNews: d.takeTopic, Clock: opts.Clock,
	})
	d.dist.Register(d.messenger)
	d.control = newControl(cfg, d.messenger, d.dist, opts)
	d.control.table = d.tables.Load
	d.claims = &claims{control: d.control}
	d.callers = d.newCallers()
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

// Close gives up what New opened. It is not needed after Run.
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

// CallerAddress returns where callers are served.
func (d *Daemon) CallerAddress() string { return d.callerLn.Addr().String() }

// OperatorAddress returns where operators are served.
func (d *Daemon) OperatorAddress() string { return d.operatorLn.Addr().String() }

// Run serves until ctx ends and then stops gracefully: readiness goes first,
// accepted requests get their answers, and the control log is closed last.
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
		// A host whose keepers have no majority serves what it has meanwhile.
		if err := d.control.proposeInitial(ctx, d.clock); err != nil {
			fail(err)
		}
	})
	d.dist.Start(ctx)
	wg.Go(func() { d.control.confirm(background) })
	wg.Go(func() { d.dist.Run(background) })
	wg.Go(func() { d.follower.Run(background) })
	wg.Go(func() { d.claims.run(background) })
	wg.Go(func() { d.runShares(background) })
	wg.Go(func() { d.drainer.Run(background) })
	wg.Go(func() { d.control.runRollouts(background, d.clock.Now) })
	wg.Go(func() { d.runJudges(background) })
	d.log.Info("serving", "host", d.cfg.Host, "failureDomain", d.cfg.FailureDomain,
		"callers", d.CallerAddress(), "operators", d.OperatorAddress(), "revision", d.dist.Revision(distributor.FleetTopic))
	return d.serveHTTP(ctx)
}

// serveHTTP serves callers and operators until ctx ends.
func (d *Daemon) serveHTTP(ctx context.Context) error {
	operators := newOperatorServer(d.operatorHandler())
	g, failed := errgroup.WithContext(context.Background())
	g.Go(func() error { return d.callers.Serve(d.callerLn) })
	g.Go(func() error { return ignoreClosed(operators.Serve(d.operatorLn)) })
	select {
	case <-ctx.Done():
	case <-failed.Done():
	}
	d.log.Info("stopping", "host", d.cfg.Host)
	d.drainer.HostStops()
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err := errors.Join(d.callers.Stop(stopCtx), operators.Shutdown(stopCtx), g.Wait(), failureOf(ctx))
	d.log.Info("stopped", "host", d.cfg.Host)
	return err
}

// failureOf returns why the daemon ends by itself, or nil if it was told to.
func failureOf(ctx context.Context) error {
	if err := context.Cause(ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// newOperatorServer returns a server with bounded patience.
func newOperatorServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// ignoreClosed drops the error of a server that was told to stop.
func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// takeTopic puts a newer distributed document in force.
func (d *Daemon) takeTopic(t distributor.Topic) error {
	switch t.Name {
	case distributor.FleetTopic:
	case rolloutTopic:
		return d.judges.Obey(t.Body, d.clock.Now())
	default:
		return nil
	}
	err := d.follower.Take(t.Revision, t.Body)
	if err != nil {
		d.log.Error("configuration not in force", "revision", t.Revision, "error", err)
	}
	return err
}

// putInForce puts a configuration in force, exceptions applied.
func (d *Daemon) putInForce(revision identifier.Revision, f *configurer.Fleet) {
	configureJudges(d.judges, f)
	d.tables.Store(dispatcher.NewTable(f))
	if !d.drainer.Leaving() {
		d.callers.SetReady(true)
	}
	d.log.Info("configuration in force", "revision", revision)
}
