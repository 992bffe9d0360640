package node

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cyclamenhub.org/accountant"
	"cyclamenhub.org/configurer"
	"cyclamenhub.org/describer"
	"cyclamenhub.org/distributor"
	"cyclamenhub.org/forwarder"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/keeper"
	"cyclamenhub.org/messenger"
	"cyclamenhub.org/platform"
	"cyclamenhub.org/reducer"
	"cyclamenhub.org/replicator"
	"cyclamenhub.org/roller"
	"cyclamenhub.org/sharer"
	"cyclamenhub.org/timer"
)

const (
	// confirmInterval is the time between two confirmations of the state kept
	// here.
	confirmInterval = time.Second
	// reopenPause is the pause before a replica whose disk failed is opened
	// again.
	reopenPause = time.Second
	// stopTime bounds the end of operators' calls at a stop.
	stopTime = 500 * time.Millisecond
	// usageGrace is how long after its end a window is closed. Hosts report
	// several times a second.
	usageGrace = 2 * time.Second
	// usageMargin is how long before a report is due its window is closed at the
	// latest.
	usageMargin = 1500 * time.Millisecond
)

// keeperTiming is that of the control log on the platform. After a loss of power
// no call with a key is served before a leader is elected.
var keeperTiming = replicator.Config{
	Heartbeat:       80 * time.Millisecond,
	ElectionTimeout: 400 * time.Millisecond,
	ClockMargin:     40 * time.Millisecond,
}

// keeperNode is a process that keeps the control log.
type keeperNode struct {
	cfg   *platform.Settings
	log   *slog.Logger
	clock timer.Clock

	contacts  contacts
	messenger *messenger.Messenger
	dist      *distributor.Distributor
	peers     *keeper.Peers
	keeper    atomic.Pointer[keeper.Keeper]
	client    *platform.Client

	mu      sync.Mutex // guards the fields below
	machine *reducer.Machine
	divider *sharer.Divider
	ledger  *accountant.Ledger
	// loads is what the hosts have at work.
	loads loads
	// document is the newest one, or nil before the first.
	document *describer.Document
	// rollouts decides about the rollouts of the machine's book.
	rollouts *roller.Controller
	// listings is what this keeper reads of the list while it holds the duties.
	listings listings

	duties duties
	left   leftCounts
}

// RunKeeper runs a keeper until ctx ends.
func RunKeeper(ctx context.Context, cfg *platform.Settings, opts Options) error {
	fitRuntime(cfg)
	n := newKeeperNode(cfg, opts)
	peerLn, err := listen("internalPorts", cfg.PeerAddress(cfg.Host))
	if err != nil {
		return err
	}
	operatorLn, err := listen("controlPlane", cfg.Operators)
	if err != nil {
		return err
	}
	if err := n.open(); err != nil {
		return err
	}
	return n.serve(ctx, peerLn, operatorLn, opts)
}

// newKeeperNode returns a keeper that does not run yet.
func newKeeperNode(cfg *platform.Settings, opts Options) *keeperNode {
	opts.Log = opts.Log.With("host", cfg.Name)
	clock := timer.NewBoot()
	n := &keeperNode{
		cfg: cfg, log: opts.Log, clock: clock,
		contacts: contacts{self: cfg.Host, seeds: cfg.Seeds},
		divider:  sharer.NewDivider(time.Duration(leasePart * float64(cfg.Bounds.WithdrawKeys))),
		ledger:   accountant.NewLedger(cfg.Bounds.Window, usageGrace, cfg.Bounds.UseDue-usageMargin),
		client:   platform.NewClient(cfg.API.Address, cfg.Name),
	}
	n.messenger = messenger.New(messenger.Options{Host: cfg.Host, Silence: peerSilence, Clock: clock})
	n.dist = distributor.New(distributor.Options{
		Self:      configurer.HostAddress{Name: cfg.Host, FailureDomain: cfg.FailureDomain},
		Upstreams: func() []string { return nil }, Call: n.messenger.Call,
		OnNews: func(distributor.Topic) error { return nil }, Clock: clock,
	})
	n.dist.Register(n.messenger)
	n.peers = keeper.NewPeers(n.messenger, func(h identifier.Host) (string, bool) { return cfg.PeerAddress(h), true })
	n.messenger.Handle(syncMethod, n.handleSync)
	n.messenger.Handle(leaveMethod, n.handleLeave)
	n.messenger.Handle(judgeMethod, n.handleJudgement)
	return n
}

// open opens the replica.
func (n *keeperNode) open() error {
	n.mu.Lock()
	n.machine = &reducer.Machine{Perform: n.perform}
	n.rollouts = roller.NewController(n.machine.Rollouts())
	n.mu.Unlock()
	k, err := keeper.Open(keeper.Options{
		Host: n.cfg.Host, Hosts: n.cfg.Seeds, Voters: 2*max(n.cfg.LostMachines, 1) + 1, Contacts: n.contacts.list,
		JoinOnly: !n.cfg.Founding, DataFolder: n.cfg.DataFolder, StateMachine: n, Transport: n.peers,
		Clock: n.clock, Log: n.log, Replica: keeperTiming,
	})
	if err != nil {
		return err
	}
	n.keeper.Store(k)
	n.peers.Attach(k)
	return nil
}

// serve serves until ctx ends.
func (n *keeperNode) serve(ctx context.Context, peerLn, operatorLn net.Listener, opts Options) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	serveMetrics(background, n.cfg, n.log)
	operators := newServer(platform.OperatorHandler(n, n.log), n.log)
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { _ = n.messenger.Serve(peerLn) })
	wg.Go(func() { serve(operators, operatorLn, n.log) })
	wg.Go(func() { n.confirm(background) })
	wg.Go(func() { n.reopen(background) })
	wg.Go(func() { n.runDuties(background) })
	wg.Go(func() { n.passOn(background) })
	wg.Go(func() { n.runRollouts(background) })
	wg.Go(func() { n.contacts.reload(background, opts) })
	n.log.Info("started", "address", n.cfg.Host, "failureDomain", n.cfg.FailureDomain,
		"seeds", n.cfg.Seeds, "founding", n.cfg.Founding, "replica", n.keeper.Load().Status().ID)

	<-ctx.Done()
	n.log.Info("stopping")
	stopCtx, stopped := context.WithTimeout(context.Background(), stopTime)
	defer stopped()
	err := operators.Shutdown(stopCtx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = operators.Close()
	}
	cancel()
	err = errors.Join(err, n.keeper.Load().Close())
	n.messenger.Close()
	_ = peerLn.Close()
	n.peers.Close()
	n.log.Info("stopped")
	return err
}

// Apply applies a committed entry. It implements keeper.StateMachine.
func (n *keeperNode) Apply(index identifier.LogIndex, entry []byte) []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.machine.Apply(index, entry)
}

// Snapshot returns the control state.
func (n *keeperNode) Snapshot() []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.machine.Snapshot()
}

// Restore replaces the control state.
func (n *keeperNode) Restore(snapshot []byte) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.machine.Restore(snapshot)
}

// perform carries out the effects of an entry. The caller holds mu.
func (n *keeperNode) perform(_ identifier.LogIndex, effects []reducer.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case reducer.PublishConfiguration:
			n.learn(e)
			// OnNews of a keeper accepts everything.
			_ = n.dist.Offer(distributor.Topic{Name: distributor.FleetTopic, Revision: e.Revision, Body: e.Document})
		case reducer.RolloutEffect:
			n.performRollout(e.Effect)
		case reducer.WriteAudit, reducer.Answer:
			// The state holds the record, and the proposer gets the answer.
		}
	}
}

// learn takes from a document what the duties and the limits need. The caller
// holds mu.
func (n *keeperNode) learn(p reducer.PublishConfiguration) {
	_, document, err := platform.DecodeDocument(p.Document)
	if err != nil {
		n.log.Error("stored document cannot be read", "revision", p.Revision, "error", err)
		return
	}
	n.document = document
	n.divider.Configure(forwarder.RatesOf(document, n.cfg.Bounds.Rates))
}

// view returns a reading of the control state.
func (n *keeperNode) view() reducer.View {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.machine.View()
}

// confirm tells the distributor that the state kept here is current, until ctx
// ends.
func (n *keeperNode) confirm(ctx context.Context) {
	repeat(ctx, confirmInterval, func() {
		asked := n.clock.Now()
		ctx, cancel := context.WithTimeout(ctx, confirmInterval)
		defer cancel()
		if n.keeper.Load().Read(ctx) == nil {
			n.dist.Confirm(asked)
		}
	})
}

// reopen opens a replica whose disk failed again until ctx ends: the disk may
// have got well.
func (n *keeperNode) reopen(ctx context.Context) {
	repeat(ctx, reopenPause, func() {
		k := n.keeper.Load()
		failure := k.Status().Failure
		if failure == nil {
			return
		}
		_ = k.Close() // It says again what failed.
		if err := n.open(); err != nil {
			n.log.Warn("replica stays aside", "failure", failure, "error", err)
			return
		}
		n.log.Info("replica opened again", "failure", failure)
	})
}

// leads reports whether this keeper holds the leader's lease.
func (n *keeperNode) leads() bool {
	_, err := n.keeper.Load().Lease()
	return err == nil
}
