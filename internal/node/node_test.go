package node

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/discoverer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/wire"
	"cyclamenhub.org/messenger"
	"cyclamenhub.org/placer"
	"cyclamenhub.org/platform/standin"
	"cyclamenhub.org/sharer"
	"cyclamenhub.org/timer"
)

// TestWholePath follows a document from an operator to a call, the withdrawal of
// a key, and both through the stop and restart of all keepers.
func TestWholePath(t *testing.T) {
	s := newSystem(t)
	s.startKeepers(true)
	s.start(entryA, RunEntry, false)
	s.put(keeperB, standin.Document(3, `["k1","k2"]`))
	s.await("the entry host is ready", func() bool {
		status, _ := s.ask(http.MethodGet, entryA, standin.ReadinessPort, standin.ReadinessPath, "", nil)
		return status == http.StatusOK
	})
	if status, body := s.call("k1"); status != http.StatusOK || body != standin.Line("id-1", "foodbank") {
		t.Errorf("a call gets %d with %q", status, body)
	}
	if status, _ := s.call("unknown"); status != http.StatusUnauthorized {
		t.Errorf("a call with an unknown key gets %d", status)
	}

	newest := standin.Document(9, `["k2"]`)
	s.put(keeperA, newest)
	s.put(keeperC, standin.Document(5, `["k1"]`)) // overtaken: acknowledged and without effect
	s.await("the withdrawn key is refused", func() bool {
		status, _ := s.call("k1")
		return status == http.StatusUnauthorized
	})
	if status, _ := s.call("k2"); status != http.StatusOK {
		t.Errorf("a call with the other key gets %d", status)
	}
	s.await("the use of a window is reported", func() bool {
		return len(s.cloud.Reports()) > 0
	})

	for _, ip := range []string{keeperA, keeperB, keeperC} {
		s.end(ip)
	}
	s.startKeepers(false)
	if diff := cmp.Diff(decoded(t, newest), decoded(t, s.read(keeperB))); diff != "" {
		t.Errorf("after a restart of all keepers the document differs (-want +got):\n%s", diff)
	}
	s.await("the entry host serves after the restart", func() bool {
		status, _ := s.call("k2")
		return status == http.StatusOK
	})
	if status, _ := s.call("k1"); status != http.StatusUnauthorized {
		t.Errorf("a call with the withdrawn key gets %d after the restart", status)
	}
	if windows := s.cloud.Changed(); len(windows) > 0 {
		t.Errorf("windows %v are reported with two counts", windows)
	}
}

// TestNoMajority stops two of three keepers: the third acknowledges nothing and
// reads nothing, and once the others are back nothing is lost.
func TestNoMajority(t *testing.T) {
	s := newSystem(t)
	s.startKeepers(true)
	document := standin.Document(1, `["k1"]`)
	s.put(keeperA, document)
	s.end(keeperB)
	s.end(keeperC)
	for _, method := range []string{http.MethodPut, http.MethodGet} {
		if status, _ := s.ask(method, keeperA, standin.OperatorPort, standin.DocumentPath, standin.Document(2, `["k1"]`), nil); status == http.StatusOK {
			t.Errorf("%s succeeds without a majority", method)
		}
	}
	s.start(keeperB, RunKeeper, false)
	s.start(keeperC, RunKeeper, false)
	got := decoded(t, s.read(keeperC))
	if !cmp.Equal(got, decoded(t, document)) && !cmp.Equal(got, decoded(t, standin.Document(2, `["k1"]`))) {
		t.Errorf("the document is %v", got)
	}
}

// TestLeaderFoundIsAsked checks that a host has the word of the leader as soon as
// it finds one. Load pattern: after a change of leaders all hosts refuse all calls
// with keys until then.
func TestLeaderFoundIsAsked(t *testing.T) {
	s := newSystem(t)
	s.startKeepers(true)
	s.put(keeperA, standin.Document(1, `["k1"]`))
	e := newEntry(s.settings(entryA, false), Options{Log: slog.New(slog.DiscardHandler)})
	t.Cleanup(e.messenger.Close)
	s.await("a leader is found", func() bool {
		e.syncOrSearch(t.Context())
		return e.leader.Load() != nil
	})
	if !e.isCurrent() {
		t.Error("the host found a leader and has no word of it")
	}
}

// TestSearchWaitsForALeader checks that a search for the leader is answered once one
// is known, and not at once and in vain.
func TestSearchWaitsForALeader(t *testing.T) {
	s := newSystem(t)
	s.start(keeperA, RunKeeper, true)
	m := messenger.New(messenger.Options{Host: "searcher"})
	t.Cleanup(m.Close)
	address := s.settings(keeperA, true).PeerAddress(keeperA)
	searches := 0
	search := func() string {
		var resp wire.SyncResponse
		if m.Call(t.Context(), address, syncMethod, &wire.SyncRequest{}, &resp) != nil {
			return "" // The keeper does not listen yet.
		}
		searches++
		return resp.GetLeader()
	}
	s.await("the first keeper answers", func() bool { search(); return searches > 0 })
	s.start(keeperB, RunKeeper, true)
	s.start(keeperC, RunKeeper, true)
	for search() == "" {
		if searches > 100 {
			t.Fatal("100 searches were answered without a leader")
		}
	}
}

// decoded returns what a document says, whatever its white space.
func decoded(t *testing.T, document string) any {
	t.Helper()
	var v any
	if err := json.Unmarshal([]byte(document), &v); err != nil {
		t.Fatal(err)
	}
	return v
}

// TestLoadsOfOthers checks that a host hears of all hosts but itself, and of none
// that has been silent.
func TestLoadsOfOthers(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	var l loads
	load := func(n int) map[identifier.BackendServer]placer.Load {
		return map[identifier.BackendServer]placer.Load{"s": {Running: n, Unread: 10, Context: 100}}
	}
	l.report(clock.Now(), "old", load(100))
	clock.Advance(loadsFor)
	l.report(clock.Now(), "a", load(1))
	l.report(clock.Now(), "b", load(2))
	l.report(clock.Now(), "c", load(4))
	clock.Advance(time.Millisecond)
	want := map[identifier.BackendServer]placer.Load{"s": {Running: 6, Unread: 20, Context: 200}}
	if diff := cmp.Diff(want, l.others(clock.Now(), "a")); diff != "" {
		t.Errorf("loads differ (-want +got):\n%s", diff)
	}
}

// TestLoadsOfManyServers checks that a host of a large fleet is told of the busiest
// servers only, of what others have at work there, and that the sum over all hosts
// follows reports that change and hosts that fall silent. Load pattern: 300 hosts
// with ten servers each, where telling each host of every server took the leader
// more than its processor.
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
	told := l.others(clock.Now(), "h7")
	if len(told) < mostTold-10 || len(told) > mostTold {
		t.Errorf("a host is told of %d servers", len(told))
	}
	for id, v := range told {
		if v.Running < 10 {
			t.Errorf("a host is told of %s, at which %d calls are at work", id, v.Running)
		}
	}
	if _, ok := told["s79"]; ok {
		t.Error("a host is told of what it has at work itself")
	}
	if n := l.byService(clock.Now(), list)["model"]; n != 300*55 {
		t.Errorf("%d calls are at work, want %d", n, 300*55)
	}
	clock.Advance(loadsFor + 1)
	l.report(clock.Now(), "h0", map[identifier.BackendServer]placer.Load{"s0": {Running: 1}})
	if n := l.byService(clock.Now(), list)["model"]; n != 1 {
		t.Errorf("%d calls are at work after all hosts but one fell silent, want 1", n)
	}
}

// TestSyncMessages takes every part of a sync through its protobuf form.
func TestSyncMessages(t *testing.T) {
	loads := map[identifier.BackendServer]placer.Load{"s": {Running: 6, Unread: 20, Context: 200}}
	if diff := cmp.Diff(loads, decodeLoads(encodeLoads(loads))); diff != "" {
		t.Errorf("loads differ (-want +got):\n%s", diff)
	}
	grants := sharer.Grants{Customers: map[identifier.Customer]sharer.Grant{"c": {Level: -5, Share: 0.25}}, Others: 0.125}
	var resp wire.SyncResponse
	encodeGrants(&resp, grants)
	if diff := cmp.Diff(grants, grantsOf(&resp)); diff != "" {
		t.Errorf("grants differ (-want +got):\n%s", diff)
	}
	windows := map[describer.Window]describer.Counts{7: {"c": 3}}
	if diff := cmp.Diff(windows, decodeWindows([]*wire.WindowCounts{encodeWindow(7, windows[7])})); diff != "" {
		t.Errorf("windows differ (-want +got):\n%s", diff)
	}
}

// TestSyncsOfManyHosts checks that the hosts of a large fleet sync less often, and
// still several times while their loads hold.
func TestSyncsOfManyHosts(t *testing.T) {
	for hosts, want := range map[int]time.Duration{0: syncInterval, 12: syncInterval, 125: syncInterval, 300: 600 * time.Millisecond} {
		if got := syncPause(hosts); got != want {
			t.Errorf("one of %d hosts syncs every %v, want %v", hosts, got, want)
		}
	}
	if most := syncPause(336); 2*most > loadsFor {
		t.Errorf("loads hold %v, and hosts tell them every %v", loadsFor, most)
	}
}
