package node

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/announcer"
	"cyclamenhub.org/describer"
	"cyclamenhub.org/discoverer"
	"cyclamenhub.org/distributor"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/wire"
	"cyclamenhub.org/isolator"
	"cyclamenhub.org/messenger"
	"cyclamenhub.org/permitter"
	"cyclamenhub.org/placer"
	"cyclamenhub.org/platform/standin"
	"cyclamenhub.org/reducer"
	"cyclamenhub.org/sharer"
	"cyclamenhub.org/timer"
)

// TestDocumentCallsAndRestart stores a document, makes calls under it,
// withdraws a key and restarts all keepers. The newest document and the
// withdrawal must survive the restart.
func TestDocumentCallsAndRestart(t *testing.T) {
	s := newSystem(t)
	s.startKeepers(true)
	s.start(entryA, RunEntry, false)
	s.put(keeperB, standin.Document(3, `["k1","k2"]`))
	s.awaitReady(entryA)
	if status, body := s.call("k1"); status != http.StatusOK || body != standin.Line("id-1", "foodbank") {
		t.Errorf("call: status %d, body %q", status, body)
	}
	if status, _ := s.call("unknown"); status != http.StatusUnauthorized {
		t.Errorf("call with an unknown key: status %d, want 401", status)
	}

	newest := standin.Document(9, `["k2"]`)
	s.put(keeperA, newest)
	s.put(keeperC, standin.Document(5, `["k1"]`)) // outdated: acknowledged without effect
	s.await("withdrawn key is refused", func() bool {
		status, _ := s.call("k1")
		return status == http.StatusUnauthorized
	})
	if status, _ := s.call("k2"); status != http.StatusOK {
		t.Errorf("call with the other key: status %d, want 200", status)
	}
	s.await("use of a window is reported", func() bool {
		return len(s.cloud.Reports()) > 0
	})

	for _, ip := range []string{keeperA, keeperB, keeperC} {
		s.end(ip)
	}
	s.startKeepers(false)
	if diff := cmp.Diff(decoded(t, newest), decoded(t, s.read(keeperB))); diff != "" {
		t.Errorf("document after a restart of all keepers differs (-want +got):\n%s", diff)
	}
	s.await("entry host serves after the restart", func() bool {
		status, _ := s.call("k2")
		return status == http.StatusOK
	})
	if status, _ := s.call("k1"); status != http.StatusUnauthorized {
		t.Errorf("call with the withdrawn key after the restart: status %d, want 401", status)
	}
	if windows := s.cloud.Conflicts(); len(windows) > 0 {
		t.Errorf("windows %v were reported with different counts", windows)
	}
}

// TestNoQuorum stops two of three keepers. The third must neither acknowledge a
// document nor return one, and nothing may be lost once the others have
// restarted.
func TestNoQuorum(t *testing.T) {
	s := newSystem(t)
	s.startKeepers(true)
	document := standin.Document(1, `["k1"]`)
	s.put(keeperA, document)
	s.end(keeperB)
	s.end(keeperC)
	for _, method := range []string{http.MethodPut, http.MethodGet} {
		if status, _ := s.request(method, keeperA, standin.OperatorPort, standin.DocumentPath, standin.Document(2, `["k1"]`), nil); status == http.StatusOK {
			t.Errorf("%s succeeds without a quorum", method)
		}
	}
	s.start(keeperB, RunKeeper, false)
	s.start(keeperC, RunKeeper, false)
	got := decoded(t, s.read(keeperC))
	if !cmp.Equal(got, decoded(t, document)) && !cmp.Equal(got, decoded(t, standin.Document(2, `["k1"]`))) {
		t.Errorf("document after the quorum is restored: %v", got)
	}
}

// TestSyncsWithLeaderOnceFound checks that a host has a lease as soon as it
// finds the leader. After a change of leaders all hosts refuse all calls with
// keys until then.
func TestSyncsWithLeaderOnceFound(t *testing.T) {
	s := newSystem(t)
	s.startKeepers(true)
	s.put(keeperA, standin.Document(1, `["k1"]`))
	e := newEntry(s.settings(entryA, false), Options{Log: slog.New(slog.DiscardHandler)})
	t.Cleanup(e.messenger.Close)
	s.await("host finds the leader", func() bool {
		e.syncOrSearch(t.Context())
		return e.leader.Load() != nil
	})
	if !e.hasLease() {
		t.Error("host found the leader but has no lease")
	}
}

// TestReadBeforeLeaseDoesNotCount checks a keeper whose lease begins while it
// reads its state for a sync: what it read may be older than its lease.
func TestReadBeforeLeaseDoesNotCount(t *testing.T) {
	s := newSystem(t)
	s.seeds = s.seeds[:1]
	cfg := s.settings(keeperA, true)
	cfg.LostMachines = 0
	n := newKeeperNode(cfg, Options{Log: slog.New(slog.DiscardHandler)})
	if err := n.keeper.Open(); err != nil {
		t.Fatal(err)
	}
	k := n.keeper.Load()
	t.Cleanup(func() { _ = k.Close() })
	if _, ok := underLease(k, func() { s.await("lease begins", n.holdsLease) }); ok {
		t.Error("a read that began without a lease counts as one under the lease")
	}
	if _, ok := underLease(k, func() {}); !ok {
		t.Error("a read under the lease does not count as one")
	}
}

// TestLeaderSearchWaitsForElection checks that a leader search is answered once
// a leader is known, instead of immediately without a leader.
func TestLeaderSearchWaitsForElection(t *testing.T) {
	s := newSystem(t)
	s.start(keeperA, RunKeeper, true)
	m := messenger.New(messenger.Options{Host: "searcher"})
	t.Cleanup(m.Close)
	address := s.settings(keeperA, true).PeerAddress(keeperA)
	searches := 0
	search := func() string {
		var resp wire.SyncResponse
		if m.Call(t.Context(), address, syncMethod, &wire.SyncRequest{}, &resp) != nil {
			return "" // The keeper is not listening yet.
		}
		searches++
		return resp.GetLeader()
	}
	s.await("first keeper answers", func() bool { search(); return searches > 0 })
	s.start(keeperB, RunKeeper, true)
	s.start(keeperC, RunKeeper, true)
	for search() == "" {
		if searches > 100 {
			t.Fatal("more than 100 searches were answered without a leader")
		}
	}
}

// decoded returns the decoded form of a document, which does not depend on
// white space.
func decoded(t *testing.T, document string) any {
	t.Helper()
	var v any
	if err := json.Unmarshal([]byte(document), &v); err != nil {
		t.Fatal(err)
	}
	return v
}

// TestLoadsOfOthers checks that a host receives the loads of all hosts but
// itself, without expired reports.
func TestLoadsOfOthers(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	var l loads
	load := func(n int) map[identifier.BackendServer]placer.Load {
		return map[identifier.BackendServer]placer.Load{"s": {Running: n, Unread: 10, Context: 100}}
	}
	l.report(clock.Now(), "old", load(100))
	clock.Advance(loadsMaxAge)
	l.report(clock.Now(), "a", load(1))
	l.report(clock.Now(), "b", load(2))
	l.report(clock.Now(), "c", load(4))
	clock.Advance(time.Millisecond)
	want := map[identifier.BackendServer]placer.Load{"s": {Running: 6, Unread: 20, Context: 200}}
	if diff := cmp.Diff(want, l.others(clock.Now(), "a")); diff != "" {
		t.Errorf("loads differ (-want +got):\n%s", diff)
	}
}

// TestLoadsOfManyServers checks that a host of a large fleet receives the loads
// of only the busiest servers, without its own load, and that the totals follow
// changed and expired reports. Sending every load to each of 300 hosts with ten
// servers each takes more processor time than the leader has.
func TestLoadsOfManyServers(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	var l loads
	list := &discoverer.Listing{}
	for h := range 300 {
		r := make(map[identifier.BackendServer]placer.Load)
		for i := range 10 {
			id := identifier.BackendServer(fmt.Sprint("s", h*10+i))
			r[id] = placer.Load{Running: 1 + i, Unread: 10}
			list.Instances = append(list.Instances, describer.Instance{ID: id, Service: "model"})
		}
		l.report(clock.Now(), identifier.Host(fmt.Sprint("h", h)), map[identifier.BackendServer]placer.Load{"s7": {Running: 100}})
		l.report(clock.Now(), identifier.Host(fmt.Sprint("h", h)), r)
	}
	shared := l.others(clock.Now(), "h7")
	if len(shared) < maxSharedLoads-10 || len(shared) > maxSharedLoads {
		t.Errorf("host receives the loads of %d servers", len(shared))
	}
	for id, v := range shared {
		if v.Running < 10 {
			t.Errorf("host receives the load of %s, which has only %d running calls", id, v.Running)
		}
	}
	if _, ok := shared["s79"]; ok {
		t.Error("host receives its own load")
	}
	if n := l.byService(clock.Now(), list, nil)["model"].Calls; n != 300*55 {
		t.Errorf("%d running calls, want %d", n, 300*55)
	}
	clock.Advance(loadsMaxAge + 1)
	l.report(clock.Now(), "h0", map[identifier.BackendServer]placer.Load{"s0": {Running: 1}})
	if n := l.byService(clock.Now(), list, nil)["model"].Calls; n != 1 {
		t.Errorf("%d running calls after the reports of all hosts but one expired, want 1", n)
	}
}

// TestSyncMessages encodes every part of a sync to protobuf and decodes it
// again.
func TestSyncMessages(t *testing.T) {
	loads := map[identifier.BackendServer]placer.Load{"s": {Running: 6, Unread: 20, Context: 200}}
	if diff := cmp.Diff(loads, decodeLoads(encodeLoads(loads))); diff != "" {
		t.Errorf("loads differ (-want +got):\n%s", diff)
	}
	grants := sharer.Grants{Customers: map[identifier.Customer]sharer.Grant{"c": {Level: -5, Share: 0.25}}, Others: 0.125}
	var resp wire.SyncResponse
	encodeGrants(&resp, grants)
	if diff := cmp.Diff(grants, decodeGrants(&resp)); diff != "" {
		t.Errorf("grants differ (-want +got):\n%s", diff)
	}
	limit, server := identifier.RequestRate(1.5), identifier.ServerRun{ID: "s", Incarnation: 7}
	report := permitter.Report{Grant: 4, Servers: map[identifier.ServerRun]permitter.ServerReport{
		server:    {Notice: &announcer.Notice{Rate: &limit, Age: time.Second}, Service: "model", Needed: 1, Wanted: 2, Spent: 3},
		{ID: "u"}: {Notice: &announcer.Notice{Age: time.Minute}},
		{ID: "v"}: {Wanted: 1},
		{ID: "w"}: {Told: &announcer.Notice{Rate: &limit, Age: time.Minute}},
	}}
	if diff := cmp.Diff(report, decodePermitReport(encodePermitReport(report))); diff != "" {
		t.Errorf("permit reports differ (-want +got):\n%s", diff)
	}
	permits := permitter.Grant{ID: 5, Servers: map[identifier.ServerRun]permitter.ServerGrant{
		server:    {Notice: announcer.Notice{Rate: &limit, Age: time.Second}, Permits: 2},
		{ID: "u"}: {Notice: announcer.Notice{Age: time.Minute}, Wait: 3 * time.Second},
	}}
	if diff := cmp.Diff(permits, decodePermitGrant(encodePermitGrant(permits))); diff != "" {
		t.Errorf("permit grants differ (-want +got):\n%s", diff)
	}
	windows := map[describer.Window]describer.Counts{7: {"c": 3}}
	if diff := cmp.Diff(windows, decodeWindows([]*wire.WindowCounts{encodeWindow(7, windows[7])})); diff != "" {
		t.Errorf("windows differ (-want +got):\n%s", diff)
	}
}

// TestSyncPeriodOfManyHosts checks that the hosts of a large fleet sync less
// often, but at least twice before their loads expire.
func TestSyncPeriodOfManyHosts(t *testing.T) {
	for hosts, want := range map[int]time.Duration{0: syncInterval, 12: syncInterval, 125: syncInterval, 300: 600 * time.Millisecond} {
		if got := syncPeriod(hosts); got != want {
			t.Errorf("host in a fleet of %d syncs every %v, want %v", hosts, got, want)
		}
	}
	if most := syncPeriod(336); 2*most > loadsMaxAge {
		t.Errorf("loads expire after %v, but hosts report them only every %v", loadsMaxAge, most)
	}
}

// TestOwnListingsKeepLeaveNotice checks that a host that has lost the keepers
// learns in time that a server leaves: after the last confirmation has expired, a
// pause between two readings, and a reading.
func TestOwnListingsKeepLeaveNotice(t *testing.T) {
	const reading = 500 * time.Millisecond
	for _, notice := range []time.Duration{3 * time.Second, 4 * time.Second, 8 * time.Second} {
		if known := notice/2 + ownListingInterval(notice) + reading; known > notice {
			t.Errorf("a leaving server is known after %v, want at most %v", known, notice)
		}
	}
}

// TestRestartedHostReadsListAtOnce guards against a host that waits for the
// keepers' listing after all processes were killed, while calls come.
func TestRestartedHostReadsListAtOnce(t *testing.T) {
	if wait := listingWait(false); wait != 0 {
		t.Errorf("a host that was restarted waits %v for the listing", wait)
	}
	if listingWait(true) <= 0 {
		t.Error("all hosts of a new system read the list at once")
	}
}

// TestReplayPublishesNewestDocumentOnce guards against a keeper that passes every
// document of its log to the hosts when it starts again: they put documents in force
// that were replaced long ago, and the replay outlasts the lease of a new leader.
func TestReplayPublishesNewestDocumentOnce(t *testing.T) {
	const documents = 30
	s := newSystem(t)
	s.startKeepers(true)
	for r := range documents {
		s.put(keeperA, standin.Document(identifier.Revision(r+1), `["k1"]`))
	}
	keepers := []string{keeperA, keeperB, keeperC}
	for _, ip := range keepers {
		s.end(ip)
	}
	published := metrics.GetOrCreateCounter("cyclamen_distributor_topics_taken_total")
	before := published.Get()
	s.startKeepers(false)
	s.read(keeperA)
	// Each keeper may also publish a list of the backend servers.
	if n := published.Get() - before; n > uint64(2*len(keepers)) {
		t.Errorf("%d keepers publish %d topics when they start again, want one document and one list each at most", len(keepers), n)
	}
}

// TestDocumentIsPublishedLast guards against a restarted host that has its document,
// and with it its lease, before the isolations that were decided long before.
func TestDocumentIsPublishedLast(t *testing.T) {
	n := newKeeperNode(newSystem(t).settings(keeperA, true), Options{Log: slog.New(slog.DiscardHandler)})
	var published []distributor.TopicName
	n.dist = distributor.New(distributor.Options{OnUpdate: func(topic distributor.Topic) error {
		published = append(published, topic.Name)
		return nil
	}})
	n.machine = &reducer.Machine{Perform: n.perform}
	var entries [][]byte
	for _, ev := range []reducer.Event{
		reducer.StoreDocument{Revision: 1, Document: []byte(standin.Document(1, `["k1"]`))},
		reducer.Isolation{Event: isolator.Isolate{Key: isolator.Key{Service: "cases", Part: "bad"}}},
	} {
		entry, err := reducer.EncodeEvent(ev)
		if err != nil {
			t.Fatal(err)
		}
		entries = append(entries, entry)
	}
	n.Apply(entries...)
	if diff := cmp.Diff([]distributor.TopicName{isolationTopic, distributor.FleetTopic}, published); diff != "" {
		t.Errorf("order of publication (-want +got):\n%s", diff)
	}
}
