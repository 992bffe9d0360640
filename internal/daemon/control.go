package daemon

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/dispatcher"
	"cyclamenhub.org/distributor"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/wire"
	"cyclamenhub.org/keeper"
	"cyclamenhub.org/messenger"
	"cyclamenhub.org/reducer"
	"cyclamenhub.org/refuser"
	"cyclamenhub.org/replicator"
	"cyclamenhub.org/roller"
	"cyclamenhub.org/timer"
)

const (
	// confirmInterval is the time between confirmations of a keeper's state.
	confirmInterval = time.Second
	// controlTimeout bounds a proposal to the control log and a reading of it.
	controlTimeout = 10 * time.Second
)

// controlTiming is that of the control log. Changes may wait for a new leader
// for a few seconds, which halves the heartbeats; claims have the default.
var controlTiming = replicator.Config{
	Heartbeat:       2 * replicator.DefaultHeartbeat,
	ElectionTimeout: 2 * replicator.DefaultElectionTimeout,
	ClockMargin:     2 * replicator.DefaultClockMargin,
}

// The methods that keepers answer.
const (
	proposeMethod messenger.Method = "control.propose"
	viewMethod    messenger.Method = "control.view"
)

// control gives access to the control log: the one kept here, or that of a
// keeper elsewhere.
type control struct {
	cfg       *configurer.Settings
	messenger *messenger.Messenger
	dist      *distributor.Distributor

	mu      sync.Mutex // guards machine
	machine *reducer.Machine
	keeper  *keeper.Keeper // nil where this host is no keeper
	peers   *keeper.Peers
	sharing sharing
	// table returns what traffic reads, or nil before the first configuration.
	table func() *dispatcher.Table
	// rollouts decides about the rollouts; guarded by mu.
	rollouts *roller.Controller
	clock    timer.Clock
	log      *slog.Logger
}

// newControl returns access to the control log, which open opens.
func newControl(cfg *configurer.Settings, m *messenger.Messenger, d *distributor.Distributor, opts Options) *control {
	return &control{cfg: cfg, messenger: m, dist: d, clock: opts.Clock, log: opts.Log}
}

// open opens the control log where this host is a keeper. A snapshot in the data
// folder takes effect before open returns, so that all that its effects reach
// must stand by then.
func (c *control) open() error {
	cfg, m := c.cfg, c.messenger
	if !cfg.IsKeeper() {
		return nil
	}
	c.machine = &reducer.Machine{Perform: c.perform}
	c.rollouts = roller.NewController(c.machine.Rollouts())
	c.peers = keeper.NewPeers(m, c.addressOf)
	k, err := keeper.Open(keeper.Options{
		Host: cfg.Host, Hosts: cfg.Keepers, DataFolder: cfg.DataFolder,
		StateMachine: c, Transport: c.peers, Clock: c.clock, Log: c.log,
		Replica: controlTiming,
	})
	if err != nil {
		return err
	}
	c.keeper = k
	c.peers.Attach(k)
	m.Handle(proposeMethod, c.handlePropose)
	m.Handle(viewMethod, c.handleView)
	m.Handle(rolloutReportMethod, c.handleReport)
	m.Handle(reportsMethod, c.handleReports)
	m.Handle(sharesMethod, c.handleShares)
	m.Handle(membersMethod, c.handleMembers)
	m.Handle(changeMembersMethod, c.handleChangeMembers)
	return nil
}

// addressOf returns where a keeper is reached.
func (c *control) addressOf(name identifier.Host) (string, bool) {
	h, ok := c.cfg.HostNamed(name)
	return h.Address, ok
}

// Apply applies a committed entry to the control state.
func (c *control) Apply(index identifier.LogIndex, entry []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Apply(index, entry)
}

// Snapshot returns the control state.
func (c *control) Snapshot() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Snapshot()
}

// Restore replaces the control state.
func (c *control) Restore(snapshot []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Restore(snapshot)
}

// perform carries out the effects of an entry.
func (c *control) perform(_ identifier.LogIndex, effects []reducer.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case reducer.PublishConfiguration:
			// Committed documents have been checked; one that this release can't
			// read stays out of force here, as the reports show.
			_ = c.dist.Offer(distributor.Topic{Name: distributor.FleetTopic, Revision: e.Revision, Body: e.Document})
		case reducer.RolloutEffect:
			c.performRollout(e.Effect)
		case reducer.WriteAudit, reducer.Answer:
			// The state holds the record, and the proposer gets the answer.
		}
	}
}

// Propose puts ev into the control log and returns its outcome.
func (c *control) Propose(ctx context.Context, ev reducer.Event) (reducer.Outcome, error) {
	b, err := reducer.EncodeEvent(ev)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	if c.keeper != nil {
		b, err = c.proposeHere(ctx, b)
	} else {
		var resp wire.ProposeResponse
		err = c.ask(ctx, proposeMethod, &wire.ProposeRequest{Event: b}, &resp)
		b = resp.Outcome
	}
	if err != nil {
		return nil, err
	}
	return reducer.DecodeOutcome(b)
}

// proposeHere puts an entry into the control log kept here.
func (c *control) proposeHere(ctx context.Context, entry []byte) ([]byte, error) {
	entry, err := c.prepare(entry, c.clock.Now())
	if err != nil {
		return nil, err
	}
	return c.keeper.Propose(ctx, entry)
}

// View returns a linearizable reading of the control state.
func (c *control) View(ctx context.Context) (reducer.View, error) { return c.read(ctx, false) }

// Head returns a linearizable reading without the audit trail.
func (c *control) Head(ctx context.Context) (reducer.View, error) { return c.read(ctx, true) }

// read reads the control state here or at a keeper elsewhere.
func (c *control) read(ctx context.Context, head bool) (reducer.View, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	if c.keeper != nil {
		if err := c.keeper.Read(ctx); err != nil {
			return reducer.View{}, err
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.machine.View(), nil
	}
	var resp wire.ViewResponse
	if err := c.ask(ctx, viewMethod, &wire.ViewRequest{Head: head}, &resp); err != nil {
		return reducer.View{}, err
	}
	var s reducer.State
	if err := s.Restore(resp.Snapshot); err != nil {
		return reducer.View{}, err
	}
	return s.View(), nil
}

// ask makes a call to the keepers in turn, until one answers. A call that may
// have taken effect is repeated only because entries carry ids.
func (c *control) ask(ctx context.Context, method messenger.Method, req, resp proto.Message) error {
	var last error
	for _, k := range c.cfg.Keepers {
		h, ok := c.cfg.HostNamed(k)
		if !ok || k == c.cfg.Host {
			continue
		}
		last = c.messenger.Call(ctx, h.Address, method, req, resp)
		if !isKeeperAway(last) {
			return last
		}
	}
	if last == nil {
		last = errors.New("no keeper is listed")
	}
	return refuser.MayHaveRun(refuser.NoMajority, "no keeper answers: "+last.Error(),
		"check 'cyclamenctl members list' on a keeper; a change may be sent again under the same change id")
}

// isKeeperAway reports whether another keeper may know better than the one that
// gave err: it did not answer, or it has no majority.
func isKeeperAway(err error) bool {
	var unreachable *messenger.UnreachableError
	if errors.As(err, &unreachable) {
		return true
	}
	var f *refuser.Refusal
	return errors.As(err, &f) && f.IsNotRun() && (f.Kind() == refuser.NoMajority || f.Kind() == refuser.Stopping)
}

// handlePropose answers a proposal from another host.
func (c *control) handlePropose(ctx context.Context, call *messenger.Call) (proto.Message, error) {
	var req wire.ProposeRequest
	if err := call.Decode(&req); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	b, err := c.proposeHere(ctx, req.Event)
	if err != nil {
		return nil, err
	}
	return &wire.ProposeResponse{Outcome: b}, nil
}

// handleView answers another host's question for the control state.
func (c *control) handleView(ctx context.Context, call *messenger.Call) (proto.Message, error) {
	var req wire.ViewRequest
	if err := call.Decode(&req); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	if err := c.keeper.Read(ctx); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if req.Head {
		return &wire.ViewResponse{Snapshot: c.machine.Head()}, nil
	}
	return &wire.ViewResponse{Snapshot: c.machine.Snapshot()}, nil
}

// confirm tells the distributor that the state kept here is current, until ctx
// ends.
func (c *control) confirm(ctx context.Context) {
	if c.keeper == nil {
		return
	}
	t := time.NewTicker(confirmInterval)
	defer t.Stop()
	for {
		now := time.Now()
		readCtx, cancel := context.WithTimeout(ctx, controlTimeout)
		if c.keeper.Read(readCtx) == nil {
			c.dist.Confirm(now)
		}
		cancel()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// close closes the control log, if one is kept here.
func (c *control) close() {
	if c != nil && c.keeper != nil {
		_ = c.keeper.Close()
		c.peers.Close()
	}
}
