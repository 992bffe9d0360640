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

// syncMethod is the call by which a host tells the leader what it did and gets
// the leader's word.
const syncMethod messenger.Method = "node.sync"

const (
	// syncInterval is the least time between two syncs.
	syncInterval = 250 * time.Millisecond
	// syncPerHost is the part of the leader's time that each host's syncs may take:
	// with many hosts each of them syncs less often, so that the leader answers 500
	// a second at most. See BenchmarkSync for what one takes.
	syncPerHost = 2 * time.Millisecond
	// syncTimeout bounds one sync.
	syncTimeout = 700 * time.Millisecond
)

// follow syncs with the leading keeper until ctx ends.
func (e *entry) follow(ctx context.Context) {
	timer.Repeat(ctx, 0, func() time.Duration {
		began := e.steps.Now()
		e.syncOrSearch(ctx)
		return max(syncPause(int(e.hosts.Load()))-e.steps.Now().Sub(began), 0)
	})
}

// syncPause returns the time between two syncs of one of so many hosts.
func syncPause(hosts int) time.Duration {
	return max(syncInterval, time.Duration(hosts)*syncPerHost)
}

// syncOrSearch syncs with the leader. Where none is known it looks for one and
// syncs with the one that it finds at once: after a change of leaders every host
// refuses calls with keys until it has that leader's word.
func (e *entry) syncOrSearch(ctx context.Context) {
	if !e.syncInTime(ctx) && e.findLeader(ctx) {
		e.syncInTime(ctx)
	}
}

// syncInTime syncs with the leader that is known, within the time for one sync.
func (e *entry) syncInTime(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	return e.syncOnce(ctx)
}

// syncOnce syncs with the leader that is known and reports whether it leads.
func (e *entry) syncOnce(ctx context.Context) bool {
	e.syncing.Lock()
	defer e.syncing.Unlock()
	address := e.leader.Load()
	if address == nil {
		return false
	}
	e.gatherUse()
	req := e.request()
	req.Use = make(map[string]*wire.Use, len(e.pending))
	for c, u := range e.pending {
		req.Use[string(c)] = &wire.Use{Asked: u.Asked, Taken: u.Taken}
	}
	sent := e.steps.Now()
	var resp wire.SyncResponse
	if err := e.messenger.Call(ctx, *address, syncMethod, req, &resp); err != nil {
		e.lose(*address, err.Error())
		return false
	}
	e.learn(&resp)
	if !resp.GetLeads() {
		e.lose(*address, "it does not lead")
		return false
	}
	e.pending = nil
	e.obey(ctx, *address, sent, &resp)
	return true
}

// gatherUse adds the use since the last sync to what no leader has been told
// yet.
func (e *entry) gatherUse() {
	use := e.limiter.TakeUse()
	for c, u := range e.pending {
		u.Asked += use[c].Asked
		u.Taken += use[c].Taken
		use[c] = u
	}
	e.pending = use
}

// request returns what this host tells of itself, without the use.
func (e *entry) request() *wire.SyncRequest {
	req := &wire.SyncRequest{
		Host: string(e.cfg.Host), Run: e.run, Revision: uint64(e.dist.Revision(distributor.FleetTopic)),
	}
	req.Loads = encodeLoads(e.placer.Loads())
	for w, counts := range e.meter.Counts(e.steps.Now()) {
		req.Windows = append(req.Windows, encodeWindow(w, counts))
	}
	return req
}

// lose forgets a leader.
func (e *entry) lose(address, why string) {
	if e.leader.Swap(nil) != nil {
		e.log.Warn("leading keeper lost", "address", address, "why", why)
	}
}

// learn remembers the keepers that an answer names.
func (e *entry) learn(resp *wire.SyncResponse) {
	if len(resp.GetKeepers()) == 0 {
		return
	}
	e.contacts.setKeepers(hostsOf(resp.GetKeepers()))
}

// obey takes the leader's word, which counts from when it was asked for. It
// confirms nothing before the newest document is in force here.
func (e *entry) obey(ctx context.Context, address string, sent time.Time, resp *wire.SyncResponse) {
	e.limiter.SetGrants(grantsOf(resp))
	e.hosts.Store(int64(resp.GetHosts()))
	e.forwarder.SetHosts(int(resp.GetHosts()))
	e.placer.SetOthers(decodeLoads(resp.GetLoads()), int(resp.GetHosts()))
	if l := resp.GetListing(); l != 0 && uint64(e.dist.Revision(listingTopic)) >= l {
		e.discoverer.Vouch()
	}
	if uint64(e.dist.Revision(distributor.FleetTopic)) < resp.GetRevision() {
		if err := e.dist.Refresh(ctx, address, listingTopic, rolloutTopic); err != nil {
			e.log.Warn("newest document not fetched", "revision", resp.GetRevision(), "error", err)
		}
	}
	if uint64(e.dist.Revision(distributor.FleetTopic)) >= resp.GetRevision() {
		e.confirmed.raise(sent)
		e.announce.Do(func() { close(e.firstWord) })
	}
}

// findLeader asks all known keepers at once who leads, and reports whether one
// does.
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
			e.learn(&resp)
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

// upstreams returns the keepers that documents are watched at, the leading one
// first.
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
