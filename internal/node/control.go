package node

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/wire"
	"cyclamenhub.org/messenger"
	"cyclamenhub.org/platform"
	"cyclamenhub.org/reducer"
	"cyclamenhub.org/refuser"
)

var _ platform.Control = (*keeperNode)(nil)

const (
	// proposeTimeout bounds a proposal for an operator, who asks another keeper
	// after a second without an answer and sends large documents again later.
	proposeTimeout = 3 * time.Second
	// readTimeout bounds a reading for an operator.
	readTimeout = time.Second
)

// propose puts an event into the control log and returns once it is committed.
func (n *keeperNode) propose(ctx context.Context, ev reducer.Event) error {
	entry, err := reducer.EncodeEvent(ev)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	b, err := n.keeper.Load().Propose(ctx, entry)
	if err != nil {
		return err
	}
	outcome, err := reducer.DecodeOutcome(b)
	if err != nil {
		return err
	}
	return outcome.Err()
}

// Store puts a document into the control log.
func (n *keeperNode) Store(ctx context.Context, revision identifier.Revision, document []byte) error {
	return n.propose(ctx, reducer.StoreDocument{Revision: revision, Document: document, At: n.clock.Now()})
}

// read returns the control state as of now.
func (n *keeperNode) read(ctx context.Context) (reducer.View, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if err := n.keeper.Load().Read(ctx); err != nil {
		return reducer.View{}, err
	}
	return n.view(), nil
}

// Document returns the newest document.
func (n *keeperNode) Document(ctx context.Context) ([]byte, error) {
	v, err := n.read(ctx)
	if err != nil {
		return nil, err
	}
	if v.Revision == 0 {
		return nil, refuser.NotRun(refuser.NoMajority, "no document is stored yet", "store one or ask again later")
	}
	return v.Document, nil
}

const (
	// searchHold is how long a search for the leader is held until one is known. It
	// is shorter than a host waits for the answer.
	searchHold = 400 * time.Millisecond
	// searchLook is the time between two looks meanwhile.
	searchLook = 20 * time.Millisecond
)

// awaitLeader waits until this keeper can name the leader, or holds the lease
// itself, for searchHold at the most. The load pattern is hosts that all start
// with the keepers after a loss of power: each search that comes too early costs
// every call until the next one.
func (n *keeperNode) awaitLeader(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, searchHold)
	defer cancel()
	t := time.NewTicker(searchLook)
	defer t.Stop()
	for !n.knowsLeader() {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// knowsLeader reports whether another keeper is known to lead or this one holds
// the lease.
func (n *keeperNode) knowsLeader() bool {
	s := n.keeper.Load().Status()
	if s.Leader == s.ID {
		return n.leads()
	}
	return s.Leader != 0
}

// handleSync answers a host's sync where this keeper leads, and else names the
// leader. A request without a host is a search for the leader.
func (n *keeperNode) handleSync(ctx context.Context, c *messenger.Call) (proto.Message, error) {
	var req wire.SyncRequest
	if err := c.Decode(&req); err != nil {
		return nil, err
	}
	if req.GetHost() == "" {
		n.awaitLeader(ctx)
	}
	resp := n.word()
	if !resp.Leads || req.GetHost() == "" {
		return resp, nil
	}
	host, now := identifier.Host(req.GetHost()), n.clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.divider.Report(now, host, useOf(&req))
	n.ledger.Merge(now, host, req.GetRun(), decodeWindows(req.GetWindows()))
	encodeGrants(resp, n.divider.GrantsOf(now, host))
	resp.Listing = n.listings.current(now)
	n.loads.report(now, host, decodeLoads(req.GetLoads()))
	resp.Loads = encodeLoads(n.loads.others(now, host))
	resp.Hosts = uint32(n.divider.Hosts(now))
	return resp, nil
}

// word returns what this keeper may say of the state: the newest revision only
// under its lease.
func (n *keeperNode) word() *wire.SyncResponse {
	k := n.keeper.Load()
	s := k.Status()
	resp := &wire.SyncResponse{}
	for _, m := range s.Members {
		resp.Keepers = append(resp.Keepers, string(m.Host))
		if m.ID == s.Leader {
			resp.Leader = string(m.Host)
		}
	}
	n.mu.Lock()
	revision := n.machine.Revision()
	n.mu.Unlock()
	// The lease is looked at last: what was read before held under it.
	if lease, err := k.Lease(); err == nil && lease.Check() == nil {
		resp.Leads, resp.Revision = true, uint64(revision)
	}
	return resp
}
