package node

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/wire"
	"cyclamenhub.org/keeper"
	"cyclamenhub.org/messenger"
	"cyclamenhub.org/platform"
	"cyclamenhub.org/reducer"
	"cyclamenhub.org/refuser"
)

var _ platform.Control = (*keeperNode)(nil)

const (
	// proposeTimeout bounds a proposal on behalf of an operator. Operators that
	// get no answer within a second ask another keeper, and resend large documents
	// later.
	proposeTimeout = 3 * time.Second
	// readTimeout bounds a read on behalf of an operator.
	readTimeout = time.Second
)

// propose proposes an event to the control log and returns once it is committed
// and applied. It returns the error of the event's outcome, if any.
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

// Store proposes a document to the control log. It implements platform.Control.
func (n *keeperNode) Store(ctx context.Context, revision identifier.Revision, document []byte) error {
	return n.propose(ctx, reducer.StoreDocument{Revision: revision, Document: document, At: n.clock.Now()})
}

// readState returns the current control state, after a linearizable read of the
// control log.
func (n *keeperNode) readState(ctx context.Context) (reducer.View, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var v reducer.View
	err := n.keeper.ReadState(ctx, func() { v = n.view() })
	return v, err
}

// Document returns the newest document. It implements platform.Control.
func (n *keeperNode) Document(ctx context.Context) ([]byte, error) {
	v, err := n.readState(ctx)
	if err != nil {
		return nil, err
	}
	if v.Revision == 0 {
		return nil, refuser.NotRun(refuser.NoMajority, "no document is stored yet", "store one or ask again later")
	}
	return v.Document, nil
}

const (
	// leaderSearchTimeout is how long the answer to a leader search is delayed
	// until a leader is known. It is shorter than the time-out of the searching
	// host (syncTimeout).
	leaderSearchTimeout = 400 * time.Millisecond
	// leaderPollInterval is the time between two checks for a leader meanwhile.
	leaderPollInterval = 20 * time.Millisecond
)

// awaitLeader waits until this keeper knows the leader or holds the lease
// itself, at most for leaderSearchTimeout. After a loss of power all hosts
// start together with the keepers: a host whose search is answered without a
// leader refuses every call until its next search.
func (n *keeperNode) awaitLeader(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaderSearchTimeout)
	defer cancel()
	t := time.NewTicker(leaderPollInterval)
	defer t.Stop()
	for !n.knowsLeader() {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// knowsLeader reports whether another keeper is known to lead or this keeper
// holds the lease.
func (n *keeperNode) knowsLeader() bool {
	s := n.keeper.Load().Status()
	if s.Leader == s.ID {
		return n.holdsLease()
	}
	return s.Leader != 0
}

// handleSync answers the sync of an entry host if this keeper leads; otherwise
// the response only names the leader. A request without a host is a leader
// search.
func (n *keeperNode) handleSync(ctx context.Context, c *messenger.Call) (proto.Message, error) {
	var req wire.SyncRequest
	if err := c.Decode(&req); err != nil {
		return nil, err
	}
	if req.GetHost() == "" {
		n.awaitLeader(ctx)
	}
	resp := n.syncStatus()
	if !resp.Leads || req.GetHost() == "" {
		return resp, nil
	}
	host, now := identifier.Host(req.GetHost()), n.clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.divider.Report(now, host, decodeUse(&req))
	n.ledger.Merge(now, host, req.GetRun(), decodeWindows(req.GetWindows()))
	encodeGrants(resp, n.divider.GrantsOf(now, host))
	resp.Listing = n.listings.current(now)
	n.loads.report(now, host, decodeLoads(req.GetLoads()))
	resp.Loads = encodeLoads(n.loads.others(now, host))
	resp.Hosts = uint32(n.divider.Hosts(now))
	n.paces.Add(now, decodePaceReport(&req))
	n.addPaces(now, resp)
	n.addPeers(now, host, &req, resp)
	if req.GetPermits() != nil {
		if resp.Permits = n.issuePermits(now, host, req.GetPermits()); resp.Permits != nil {
			resp.Brittle = encodeBrittleness(n.places.Brittle(now))
		}
	}
	resp.Suspects = encodeSuspects(n.recordEvidence(now, identifier.FencingNumber(resp.GetTerm()), host, decodeEvidence(&req)))
	return resp, nil
}

// syncStatus returns a response with the keepers, the leader as far as this
// keeper knows it and, only while this keeper holds the lease, the newest
// revisions of the document and the evacuations.
func (n *keeperNode) syncStatus() *wire.SyncResponse {
	k := n.keeper.Load()
	s := k.Status()
	resp := &wire.SyncResponse{}
	for _, m := range s.Members {
		resp.Keepers = append(resp.Keepers, string(m.Host))
		if m.ID == s.Leader {
			resp.Leader = string(m.Host)
		}
	}
	var revision identifier.Revision
	var evacuations uint64
	readRevisions := func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		revision, evacuations = n.machine.Revision(), n.machine.Evacuated().Sequence
	}
	if term, ok := underLease(k, readRevisions); ok {
		resp.Leads, resp.Revision, resp.Evacuations, resp.Term = true, uint64(revision), evacuations, uint64(term)
	}
	return resp
}

// underLease calls read and reports whether a keeper held the lease of one term
// from before the call until after it, and which term. What is read before a
// lease begins may lack entries that another leader committed.
func underLease(k *keeper.Keeper, read func()) (identifier.FencingNumber, bool) {
	lease, err := k.Lease()
	read()
	return lease.Fencing(), err == nil && lease.Check() == nil
}
