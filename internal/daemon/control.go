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
	"cyclamenhub.org/recorder"
	"cyclamenhub.org/reducer"
	"cyclamenhub.org/refuser"
	"cyclamenhub.org/replicator"
	"cyclamenhub.org/roller"
	"cyclamenhub.org/timer"
)

const (
	// confirmInterval is the time between confirmations that a keeper's state
	// is current.
	confirmInterval = time.Second
	// controlTimeout limits a proposal to the control log and a read of it.
	controlTimeout = 10 * time.Second
)

// controlTiming is the timing of the control log. Its times are twice the
// defaults, which halves the number of heartbeats: a change can wait a few
// seconds for a new leader. The claim groups use the defaults.
var controlTiming = replicator.Config{
	Heartbeat:       2 * replicator.DefaultHeartbeat,
	ElectionTimeout: 2 * replicator.DefaultElectionTimeout,
	ClockMargin:     2 * replicator.DefaultClockMargin,
}

// Methods that keepers serve.
const (
	proposeMethod messenger.Method = "control.propose"
	viewMethod    messenger.Method = "control.view"
)

// control gives access to the control log: the one on this host, or that of a
// keeper on another host.
type control struct {
	cfg       *configurer.Settings
	messenger *messenger.Messenger
	dist      *distributor.Distributor

	mu            sync.Mutex // guards machine and rollouts
	machine       *reducer.Machine
	keeper        *keeper.Reopener // nil if this host is not a keeper
	peers         *keeper.Peers
	shareDivision shareDivision
	// table returns the routing table in use, or nil before the first
	// configuration.
	table func() *dispatcher.Table
	// rollouts controls the rollouts.
	rollouts *roller.Controller
	clock    timer.Clock
	log      *slog.Logger
	// files writes the data folder.
	files recorder.FileSystem
}

// newControl returns a control, whose log open opens.
func newControl(cfg *configurer.Settings, m *messenger.Messenger, d *distributor.Distributor, opts Options) *control {
	return &control{cfg: cfg, messenger: m, dist: d, clock: opts.Clock, log: opts.Log, files: opts.Files}
}

// open opens the control log if this host is a keeper. It applies a snapshot in
// the data folder before it returns, so everything that the effects of the
// snapshot use must be set up before.
func (c *control) open() error {
	cfg, m := c.cfg, c.messenger
	if !cfg.IsKeeper() {
		return nil
	}
	c.peers = keeper.NewPeers(m, c.addressOf)
	r := keeper.NewReopener(c.openReplica, c.log)
	if err := r.Open(); err != nil {
		return err
	}
	c.keeper = r
	m.Handle(proposeMethod, c.handlePropose)
	m.Handle(viewMethod, c.handleView)
	m.Handle(rolloutReportMethod, c.handleReport)
	m.Handle(reportsMethod, c.handleReports)
	m.Handle(sharesMethod, c.handleShares)
	m.Handle(membersMethod, c.handleMembers)
	m.Handle(changeMembersMethod, c.handleChangeMembers)
	return nil
}

// openReplica opens the replica of the control log with an empty state machine.
func (c *control) openReplica() (*keeper.Keeper, error) {
	c.mu.Lock()
	c.machine = &reducer.Machine{Perform: c.perform}
	c.rollouts = roller.NewController(c.machine.Rollouts())
	c.mu.Unlock()
	k, err := keeper.Open(keeper.Options{
		Host: c.cfg.Host, Hosts: c.cfg.Keepers, DataFolder: c.cfg.DataFolder, Files: c.files,
		StateMachine: c, Transport: c.peers, Clock: c.clock, Log: c.log,
		Replica: controlTiming,
	})
	if err == nil {
		c.peers.Attach(k)
	}
	return k, err
}

// addressOf returns the address of the host with the given name.
func (c *control) addressOf(name identifier.Host) (string, bool) {
	h, ok := c.cfg.HostNamed(name)
	return h.Address, ok
}

// Apply applies committed entries to the control state.
func (c *control) Apply(entries ...[]byte) [][]byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Apply(entries...)
}

// Snapshot returns the encoded control state.
func (c *control) Snapshot() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Snapshot()
}

// Restore replaces the control state by that of a snapshot.
func (c *control) Restore(snapshot []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Restore(snapshot)
}

// perform carries out the effects of committed entries. The caller holds mu.
func (c *control) perform(effects []reducer.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case reducer.PublishConfiguration:
			// Documents were checked before they were committed. If this
			// release cannot read one, it does not take effect on this host,
			// and the host reports its older revision.
			_ = c.dist.Offer(distributor.Topic{Name: distributor.FleetTopic, Revision: e.Revision, Body: e.Document})
		case reducer.RolloutEffect:
			c.performRollout(e.Effect)
		case reducer.PublishEvacuations:
			_ = c.dist.Offer(distributor.Topic{Name: distributor.EvacuationTopic, Revision: identifier.Revision(e.Book.Sequence), Body: e.Book.Encode()})
		case reducer.WriteAudit, reducer.Answer:
			// The state holds the audit record, and the proposer gets the answer.
		}
	}
}

// Propose appends ev to the control log and returns its outcome.
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
		err = c.callKeepers(ctx, proposeMethod, &wire.ProposeRequest{Event: b}, &resp)
		b = resp.Outcome
	}
	if err != nil {
		return nil, err
	}
	return reducer.DecodeOutcome(b)
}

// proposeHere proposes an entry to the control log on this host.
func (c *control) proposeHere(ctx context.Context, entry []byte) ([]byte, error) {
	entry, err := c.prepareEntry(entry, c.clock.Now())
	if err != nil {
		return nil, err
	}
	return c.keeper.Load().Propose(ctx, entry)
}

// View returns the control state by a linearizable read.
func (c *control) View(ctx context.Context) (reducer.View, error) { return c.read(ctx, false) }

// Head returns the control state without the audit trail, by a linearizable
// read.
func (c *control) Head(ctx context.Context) (reducer.View, error) { return c.read(ctx, true) }

// read reads the control state on this host, or from a keeper on another host.
// head omits the audit trail.
func (c *control) read(ctx context.Context, head bool) (reducer.View, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	if c.keeper != nil {
		var v reducer.View
		err := c.keeper.ReadState(ctx, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			v = c.machine.View()
		})
		return v, err
	}
	var resp wire.ViewResponse
	if err := c.callKeepers(ctx, viewMethod, &wire.ViewRequest{Head: head}, &resp); err != nil {
		return reducer.View{}, err
	}
	var s reducer.State
	if err := s.Restore(resp.Snapshot); err != nil {
		return reducer.View{}, err
	}
	return s.View(), nil
}

// callKeepers calls the keepers on other hosts in turn until one answers. A
// call that may have taken effect is repeated at the next keeper; this is safe
// because entries carry ids.
func (c *control) callKeepers(ctx context.Context, method messenger.Method, req, resp proto.Message) error {
	var last error
	for _, k := range c.cfg.Keepers {
		h, ok := c.cfg.HostNamed(k)
		if !ok || k == c.cfg.Host {
			continue
		}
		last = c.messenger.Call(ctx, h.Address, method, req, resp)
		if !shouldTryNextKeeper(last) {
			return last
		}
	}
	if last == nil {
		last = errors.New("no keeper is listed")
	}
	return refuser.MayHaveRun(refuser.NoMajority, "no keeper answers: "+last.Error(),
		"check 'cyclamenctl members list' on a keeper; a change may be sent again under the same change id")
}

// shouldTryNextKeeper reports whether another keeper may be able to answer a
// call that failed with err: the keeper was unreachable, had no quorum, or was
// stopping.
func shouldTryNextKeeper(err error) bool {
	var unreachable *messenger.UnreachableError
	if errors.As(err, &unreachable) {
		return true
	}
	var f *refuser.Refusal
	return errors.As(err, &f) && f.IsNotRun() && (f.Kind() == refuser.NoMajority || f.Kind() == refuser.Stopping)
}

// handlePropose serves proposeMethod.
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

// handleView serves viewMethod.
func (c *control) handleView(ctx context.Context, call *messenger.Call) (proto.Message, error) {
	var req wire.ViewRequest
	if err := call.Decode(&req); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var resp wire.ViewResponse
	err := c.keeper.ReadState(ctx, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if req.Head {
			resp.Snapshot = c.machine.ReadSnapshot()
			return
		}
		resp.Snapshot = c.machine.Snapshot()
	})
	return &resp, err
}

// confirmPeriodically confirms to the distributor that this keeper's state is
// current, at every confirmInterval at which a read of the control log
// succeeds, until ctx ends.
func (c *control) confirmPeriodically(ctx context.Context) {
	if c.keeper == nil {
		return
	}
	t := time.NewTicker(confirmInterval)
	defer t.Stop()
	for {
		now := time.Now()
		readCtx, cancel := context.WithTimeout(ctx, controlTimeout)
		if c.keeper.Load().Read(readCtx) == nil {
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

// reopen opens a replica of the control log that has failed again, until ctx ends.
func (c *control) reopen(ctx context.Context) {
	if c.keeper != nil {
		c.keeper.Run(ctx)
	}
}

// close closes the control log if this host is a keeper.
func (c *control) close() {
	if c != nil && c.keeper != nil {
		_ = c.keeper.Close()
		c.peers.Close()
	}
}
