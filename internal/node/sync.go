package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"cyclamenhub.org/distributor"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/wire"
	"cyclamenhub.org/messenger"
	"cyclamenhub.org/timer"
)

// syncMethod is the call by which an entry host reports its use, loads and
// counts to the leader and renews its lease.
const syncMethod messenger.Method = "node.sync"

const (
	// syncInterval is the minimum time between two syncs of a host.
	syncInterval = 250 * time.Millisecond
	// syncIntervalPerHost lengthens the time between two syncs of a host with the
	// number of hosts, so that the leader answers at most 500 syncs a second.
	// BenchmarkSync measures what one takes.
	syncIntervalPerHost = 2 * time.Millisecond
	// syncTimeout bounds one sync.
	syncTimeout = 700 * time.Millisecond
)

// runSync syncs with the leading keeper until ctx ends.
func (e *entry) runSync(ctx context.Context) {
	timer.Repeat(ctx, 0, func() time.Duration {
		start := e.clock.Now()
		e.syncOrSearch(ctx)
		e.decideAlone()
		return max(syncPeriod(int(e.hostCount.Load()))-e.clock.Now().Sub(start), 0)
	})
}

// syncPeriod returns the time between two syncs of one host in a fleet of the
// given number of hosts.
func syncPeriod(hosts int) time.Duration {
	return max(syncInterval, time.Duration(hosts)*syncIntervalPerHost)
}

// syncOrSearch syncs with the leader. If none is known or the sync fails, it
// searches for a leader and syncs with it immediately: after a change of
// leaders every host refuses calls with keys until it has a lease from the new
// one.
func (e *entry) syncOrSearch(ctx context.Context) {
	if !e.syncWithTimeout(ctx) && e.findLeader(ctx) {
		e.syncWithTimeout(ctx)
	}
}

// syncWithTimeout syncs with the known leader within syncTimeout and reports
// whether the keeper leads.
func (e *entry) syncWithTimeout(ctx context.Context) bool { return e.syncPart(ctx, true) }

// syncPart syncs like syncWithTimeout. Without permits this host keeps the ones it has:
// a report on permits returns all of them, so that reports in quick succession would
// leave it none.
func (e *entry) syncPart(ctx context.Context, withPermits bool) bool {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	return e.syncOnce(ctx, withPermits)
}

// syncOnce syncs with the known leader and reports whether the keeper leads.
// Use that is not delivered is kept for the next sync.
func (e *entry) syncOnce(ctx context.Context, withPermits bool) bool {
	e.syncMu.Lock()
	defer e.syncMu.Unlock()
	address := e.leader.Load()
	if address == nil {
		return false
	}
	e.collectUse()
	req := e.request()
	req.Use = make(map[string]*wire.Use, len(e.pendingUse))
	for c, u := range e.pendingUse {
		req.Use[string(c)] = &wire.Use{Asked: u.Asked, Taken: u.Taken}
	}
	if withPermits {
		req.Permits = encodePermitReport(e.placer.PermitReport())
	}
	encodePaceReport(req, e.placer.PaceReport())
	evidence, told := e.isolation.Report()
	encodeEvidence(req, evidence)
	sent := e.clock.Now()
	var resp wire.SyncResponse
	if err := e.messenger.Call(ctx, *address, syncMethod, req, &resp); err != nil {
		e.forgetLeader(*address, err.Error())
		return false
	}
	e.recordKeepers(&resp)
	if !resp.GetLeads() {
		e.forgetLeader(*address, "it does not lead")
		return false
	}
	e.pendingUse = nil
	told(resp.GetTerm())
	e.applySync(ctx, *address, sent, &resp)
	return true
}

// collectUse adds the use since the last sync to pendingUse. The caller holds
// syncMu.
func (e *entry) collectUse() {
	use := e.limiter.TakeUse()
	for c, u := range e.pendingUse {
		u.Asked += use[c].Asked
		u.Taken += use[c].Taken
		use[c] = u
	}
	e.pendingUse = use
}

// request returns a sync request with everything but the use and the report on
// permits.
func (e *entry) request() *wire.SyncRequest {
	req := &wire.SyncRequest{
		Host: string(e.cfg.Host), FailureDomain: string(e.cfg.FailureDomain), Run: e.run, Revision: uint64(e.dist.Revision(distributor.FleetTopic)),
	}
	req.Loads = encodeLoads(e.placer.Loads())
	req.Unreachable = encodeNames(e.reach.Cut())
	for w, counts := range e.meter.Counts(e.clock.Now()) {
		req.Windows = append(req.Windows, encodeWindow(w, counts))
	}
	return req
}

// forgetLeader clears the known leader and logs the reason.
func (e *entry) forgetLeader(address, reason string) {
	if e.leader.Swap(nil) != nil {
		e.log.Warn("leading keeper lost", "address", address, "why", reason)
	}
}

// recordKeepers stores the keepers that a response names, unless it names none.
func (e *entry) recordKeepers(resp *wire.SyncResponse) {
	if len(resp.GetKeepers()) == 0 {
		return
	}
	e.contacts.setKeepers(decodeNames[identifier.Host](resp.GetKeepers()))
}

// applySync applies the response of the leader. The lease counts from when the
// request was sent. It is not renewed before the newest document and evacuations are
// in force on this host.
func (e *entry) applySync(ctx context.Context, address string, sent time.Time, resp *wire.SyncResponse) {
	e.limiter.SetGrants(decodeGrants(resp))
	e.hostCount.Store(int64(resp.GetHosts()))
	e.forwarder.SetHosts(int(resp.GetHosts()))
	e.evaluators.SetHosts(int(resp.GetHosts()))
	e.placer.SetRemoteLoads(decodeLoads(resp.GetLoads()), int(resp.GetHosts()))
	e.applyPermits(sent, resp)
	e.placer.ApplyPaces(decodePaces(resp))
	e.peers.Store(decodePeers(resp))
	e.isolation.SetSuspects(decodeSuspects(resp.GetSuspects()))
	if l := resp.GetListing(); l != 0 && uint64(e.dist.Revision(listingTopic)) >= l {
		e.discoverer.Confirm(e.clock.Now().Sub(sent) + listingMaxAge)
	}
	if !e.isUpToDate(resp) {
		if err := e.dist.Refresh(ctx, address, listingTopic, rolloutTopic); err != nil {
			e.log.Warn("newest document not fetched", "revision", resp.GetRevision(), "evacuations", resp.GetEvacuations(), "error", err)
		}
	}
	if e.isUpToDate(resp) {
		e.renewLease(sent, address, resp)
		e.firstLeaseOnce.Do(func() { close(e.firstLease) })
	}
}

// isUpToDate reports whether the document and the evacuations that the leader has
// are in force on this host.
func (e *entry) isUpToDate(resp *wire.SyncResponse) bool {
	return uint64(e.dist.Revision(distributor.FleetTopic)) >= resp.GetRevision() &&
		uint64(e.dist.Revision(distributor.EvacuationTopic)) >= resp.GetEvacuations()
}

// renewLease starts the lease at the time when the sync request was sent. It logs
// the first lease and one that begins after the former one has expired.
func (e *entry) renewLease(sent time.Time, leader string, resp *wire.SyncResponse) {
	age, ok := e.leaseStart.age(e.clock)
	e.leaseStart.advance(sent)
	if ok && age < e.leaseDuration {
		return
	}
	message, expiredFor := "lease begins", time.Duration(0)
	if ok {
		message, expiredFor = "lease begins again", age-e.leaseDuration
	}
	e.log.Info(message, "expiredFor", expiredFor, "leader", leader, "term", resp.GetTerm(),
		"leaderRevision", resp.GetRevision(), "revision", e.dist.Revision(distributor.FleetTopic))
}

// findLeader queries all known keepers concurrently for the leader, uses the
// first one that a response names and reports whether there is one.
func (e *entry) findLeader(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	e.searches++
	hosts := e.contacts.list()
	found := make(chan identifier.Host, 2*len(hosts))
	var wg sync.WaitGroup
	for _, h := range hosts {
		wg.Go(func() {
			var resp wire.SyncResponse
			if e.messenger.Call(ctx, e.cfg.PeerAddress(h), syncMethod, &wire.SyncRequest{}, &resp) != nil {
				return
			}
			e.recordKeepers(&resp)
			switch leader := identifier.Host(resp.GetLeader()); {
			case resp.GetLeads():
				found <- h
			case leader != "" && !slices.Contains(hosts, leader):
				found <- leader
			}
		})
	}
	go func() { wg.Wait(); close(found) }()
	h, ok := <-found
	if !ok {
		return false
	}
	address := e.cfg.PeerAddress(h)
	e.leader.Store(&address)
	e.log.Info("leading keeper found", "address", address, "searches", e.searches)
	e.searches = 0
	return true
}

// upstreams returns the addresses of the keepers from which topics are watched,
// the leading one first.
func (e *entry) upstreams() []string {
	var out []string
	if leader := e.leader.Load(); leader != nil {
		out = append(out, *leader)
	}
	for _, h := range e.contacts.list() {
		if a := e.cfg.PeerAddress(h); !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}
