package node

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"cyclamenhub.org/accountant"
	"cyclamenhub.org/configurer"
	"cyclamenhub.org/describer"
	"cyclamenhub.org/discoverer"
	"cyclamenhub.org/distributor"
	"cyclamenhub.org/evacuator"
	"cyclamenhub.org/forwarder"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/isolator"
	"cyclamenhub.org/keeper"
	"cyclamenhub.org/messenger"
	"cyclamenhub.org/pacer"
	"cyclamenhub.org/permitter"
	"cyclamenhub.org/platform"
	"cyclamenhub.org/recorder"
	"cyclamenhub.org/reducer"
	"cyclamenhub.org/relayer"
	"cyclamenhub.org/replicator"
	"cyclamenhub.org/reserver"
	"cyclamenhub.org/roller"
	"cyclamenhub.org/sharer"
	"cyclamenhub.org/timer"
)

const (
	// confirmInterval is the time between two confirmations that the local control
	// state is current.
	confirmInterval = time.Second
	// stopTimeout bounds how long a stopping keeper waits for the calls of
	// operators.
	stopTimeout = 500 * time.Millisecond
	// usageGrace is how long after its end a window is closed. Hosts report
	// several times a second.
	usageGrace = 2 * time.Second
	// usageMargin is how long before its report is due a window is closed at the
	// latest.
	usageMargin = 1500 * time.Millisecond
	// snapshotBytes is the growth of the control log after which a snapshot is taken.
	// A new leader must replay the rest of the log well within its lease.
	snapshotBytes = 1 << 20
)

// keeperTiming is the timing of the control log's replicas. It is short because
// no call with a key is served after a loss of power until a leader is elected.
var keeperTiming = replicator.Config{
	Heartbeat:       80 * time.Millisecond,
	ElectionTimeout: 400 * time.Millisecond,
	ClockMargin:     40 * time.Millisecond,
}

// keeperNode is a keeper: a process that replicates the control log.
type keeperNode struct {
	cfg   *platform.Settings
	log   *slog.Logger
	clock timer.Clock
	// files writes the data folder.
	files recorder.FileSystem

	contacts  contacts
	messenger *messenger.Messenger
	dist      *distributor.Distributor
	peers     *keeper.Peers
	keeper    *keeper.Reopener
	client    *platform.Client
	// newEnds tells that hosts have reported ends of backend servers to record.
	newEnds chan struct{}
	// listReader reads the list of backend servers.
	listReader *discoverer.Reader

	mu      sync.Mutex // guards the fields below
	machine *reducer.Machine
	divider *sharer.Divider
	// permits issues permits for backend servers with limits, and investigator finds
	// parts of prompts that end backend servers, both in leadTerm.
	permits      *permitter.Issuer
	investigator *isolator.Investigator
	// places issues places at brittle backend servers, in leadTerm.
	places   *reserver.Ledger
	leadTerm identifier.FencingNumber
	ledger   *accountant.Ledger
	// paces are the speeds of backend servers as entry hosts measure them, in
	// leadTerm.
	paces        *pacer.Book
	encodedPaces encodedPaces
	// hosts are the entry hosts and the services that they reach, in leadTerm.
	hosts *relayer.Book
	// loads is the load that entry hosts report.
	loads loads
	// document is the newest document, or nil before the first.
	document *describer.Document
	// rollouts decides which events the rollouts in the state machine need.
	rollouts *roller.Controller
	// evacuated are the failure domains whose servers get no new calls.
	evacuated evacuator.Book
	// listings is the list of backend servers as this keeper read it while it led.
	listings listingCache

	duties           duties
	finalCountsQueue finalCountsQueue
}

// RunKeeper runs a keeper until ctx ends and then stops it.
func RunKeeper(ctx context.Context, cfg *platform.Settings, opts Options) error {
	configureRuntime(cfg)
	n := newKeeperNode(cfg, opts)
	if err := n.openOnceWritable(ctx); err != nil {
		return err
	}
	peerLn, operatorLn, err := listenBoth(ctx, n.log,
		listenSetting{"internalPorts", cfg.PeerAddress(cfg.Host)}, listenSetting{"controlPlane", cfg.Operators})
	if err != nil {
		return errors.Join(err, n.keeper.Close())
	}
	return n.serve(ctx, peerLn, operatorLn, opts)
}

// newKeeperNode returns a keeper that is not running yet.
func newKeeperNode(cfg *platform.Settings, opts Options) *keeperNode {
	opts.Log = opts.Log.With("host", cfg.Name)
	clock := timer.NewBoot()
	n := &keeperNode{
		cfg: cfg, log: opts.Log, clock: clock, files: opts.Files,
		contacts: contacts{self: cfg.Host, seeds: cfg.Seeds},
		divider:  sharer.NewDivider(time.Duration(leaseFraction * float64(cfg.Bounds.WithdrawKeys))),
		ledger:   accountant.NewLedger(cfg.Bounds.Window, usageGrace, cfg.Bounds.UseDue-usageMargin),
		client:   platform.NewClient(cfg.API.Address, cfg.Name),
		newEnds:  make(chan struct{}, 1),
	}
	n.keeper = keeper.NewReopener(n.open, opts.Log)
	n.listReader = discoverer.NewReader(discoverer.Options{Source: n.client, Timeout: dutyTimeout, Clock: clock, Log: opts.Log})
	n.enterTerm(0)
	n.messenger = messenger.New(messenger.Options{
		Host: cfg.Host, ReadIdleTimeout: peerProbeDelay, Clock: clock, MaxAccepted: cfg.Descriptors / descriptorsDivisor,
	})
	n.dist = distributor.New(distributor.Options{
		Self:      configurer.HostAddress{Name: cfg.Host, FailureDomain: cfg.FailureDomain},
		Upstreams: func() []string { return nil }, Call: n.messenger.Call,
		OnUpdate: func(distributor.Topic) error { return nil }, Clock: clock,
	})
	n.dist.Register(n.messenger)
	n.peers = keeper.NewPeers(n.messenger, func(h identifier.Host) (string, bool) { return cfg.PeerAddress(h), true })
	n.messenger.Handle(syncMethod, n.handleSync)
	n.messenger.Handle(placesMethod, n.handlePlaces)
	n.messenger.Handle(leaveMethod, n.handleLeave)
	n.messenger.Handle(rolloutReportMethod, n.handleRolloutReport)
	n.messenger.Handle(startRolloutMethod, n.handleStartRollout)
	return n
}

// enterTerm replaces what this keeper knew as the leader of an earlier term: it does
// not know what other leaders have issued or been told since. The caller holds mu.
func (n *keeperNode) enterTerm(term identifier.FencingNumber) {
	if n.permits != nil && term <= n.leadTerm {
		return
	}
	n.leadTerm = term
	n.permits = permitter.NewIssuer(permitter.GrantID(term) << termShift)
	n.places = reserver.NewLedger(n.clock.Now())
	n.investigator = isolator.NewInvestigator()
	n.paces, n.encodedPaces = pacer.NewBook(), encodedPaces{}
	n.hosts = relayer.NewBook()
}

// open opens the replica of the control log with an empty state machine.
func (n *keeperNode) open() (*keeper.Keeper, error) {
	n.mu.Lock()
	n.machine = &reducer.Machine{Perform: n.perform}
	n.rollouts = roller.NewController(n.machine.Rollouts())
	n.mu.Unlock()
	k, err := keeper.Open(keeper.Options{
		Host: n.cfg.Host, Hosts: n.cfg.Seeds, Voters: 2*max(n.cfg.LostMachines, 1) + 1, Contacts: n.contacts.list,
		JoinOnly: !n.cfg.Founding, DataFolder: n.cfg.DataFolder, Files: n.files, StateMachine: n, Transport: n.peers,
		Clock: n.clock, Log: n.log, Replica: keeperTiming, SnapshotBytes: snapshotBytes,
	})
	if err == nil {
		n.peers.Attach(k)
	}
	return k, err
}

// openOnceWritable opens the replica for the first time. While the disk fails or another
// process holds the folder, it tries again, until ctx ends.
func (n *keeperNode) openOnceWritable(ctx context.Context) error {
	for {
		err := n.keeper.Open()
		var disk *recorder.DiskError
		var locked *recorder.LockedError
		if err == nil || !errors.As(err, &disk) && !errors.As(err, &locked) {
			return err
		}
		n.log.Warn("data folder is not usable yet", "error", err)
		if !timer.Sleep(ctx, keeper.ReopenInterval) {
			return err
		}
	}
}

// serve runs all parts of the keeper until ctx ends and then stops them.
func (n *keeperNode) serve(ctx context.Context, peerLn, operatorLn net.Listener, opts Options) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	serveMetrics(background, n.cfg, n.log, n.writePlaceMetrics)
	operators := newServer(platform.OperatorHandler(n, newDocumentReader(n.cfg).read, n.log), n.log)
	boundedOperators := bounded(n.cfg, operators, operatorLn)
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { _ = n.messenger.Serve(peerLn) })
	wg.Go(func() { serve(operators, boundedOperators, n.log) })
	wg.Go(func() { n.runConfirm(background) })
	wg.Go(func() { n.keeper.Run(background) })
	wg.Go(func() { n.runDuties(background) })
	wg.Go(func() { n.runFinalCounts(background) })
	wg.Go(func() { n.runRollouts(background) })
	wg.Go(func() { n.runIsolation(background) })
	wg.Go(func() { n.contacts.reload(background, opts) })
	n.log.Info("started", "address", n.cfg.Host, "failureDomain", n.cfg.FailureDomain,
		"seeds", n.cfg.Seeds, "founding", n.cfg.Founding, "replica", n.keeper.Load().Status().ID)

	<-ctx.Done()
	n.log.Info("stopping")
	stopCtx, cancelStop := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelStop()
	err := operators.Shutdown(stopCtx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = operators.Close()
	}
	cancel()
	err = errors.Join(err, n.keeper.Close())
	n.messenger.Close()
	_ = peerLn.Close()
	n.peers.Close()
	n.log.Info("stopped")
	return err
}

// Apply applies committed entries. It implements keeper.StateMachine.
func (n *keeperNode) Apply(entries ...[]byte) [][]byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.machine.Apply(entries...)
}

// Snapshot returns the encoded control state. It implements
// keeper.StateMachine.
func (n *keeperNode) Snapshot() []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.machine.Snapshot()
}

// Restore replaces the control state by a snapshot. It implements
// keeper.StateMachine.
func (n *keeperNode) Restore(snapshot []byte) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.machine.Restore(snapshot)
}

// perform carries out the effects of committed entries. It publishes the document
// last: a host that has it serves calls, and must have the isolations, evacuations and
// directives of the same commit by then. The caller holds mu.
func (n *keeperNode) perform(effects []reducer.Effect) {
	var documents []reducer.PublishConfiguration
	for _, e := range effects {
		switch e := e.(type) {
		case reducer.PublishConfiguration:
			documents = append(documents, e)
		case reducer.RolloutEffect:
			n.performRollout(e.Effect)
		case reducer.PublishIsolation:
			n.publishIsolation(e.Book)
		case reducer.PublishEvacuations:
			n.publishEvacuations(e.Book)
		case reducer.WriteAudit, reducer.Answer:
			// The state contains the audit record, and propose returns the outcome.
		}
	}
	for _, d := range documents {
		n.publishDocument(d)
	}
}

// publishDocument applies a document and passes it to the hosts. The caller holds mu.
func (n *keeperNode) publishDocument(p reducer.PublishConfiguration) {
	n.applyDocument(p)
	// Offer returns the error of OnUpdate, which is always nil on a keeper.
	_ = n.dist.Offer(distributor.Topic{Name: distributor.FleetTopic, Revision: p.Revision, Body: p.Document})
}

// applyDocument stores a document for the duties and configures the rates of
// the customers. The caller holds mu.
func (n *keeperNode) applyDocument(p reducer.PublishConfiguration) {
	_, document, err := platform.DecodeDocument(p.Document)
	if err != nil {
		n.log.Error("stored document cannot be read", "revision", p.Revision, "error", err)
		return
	}
	n.document = document
	n.divider.Configure(forwarder.RatesOf(document, n.cfg.Bounds.Rates))
}

// view returns a read-only view of the control state.
func (n *keeperNode) view() reducer.View {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.machine.View()
}

// runConfirm confirms to the distributor that the local state is current, after
// a linearizable read, until ctx ends.
func (n *keeperNode) runConfirm(ctx context.Context) {
	repeat(ctx, confirmInterval, func() {
		sent := n.clock.Now()
		ctx, cancel := context.WithTimeout(ctx, confirmInterval)
		defer cancel()
		if n.keeper.Load().Read(ctx) == nil {
			n.dist.Confirm(sent)
		}
	})
}

// holdsLease reports whether this keeper holds the leader's lease.
func (n *keeperNode) holdsLease() bool {
	_, err := n.keeper.Load().Lease()
	return err == nil
}
