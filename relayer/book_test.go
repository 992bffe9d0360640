package relayer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cyclamenhub.org/identifier"
)

var bookTime = time.Unix(1000, 0)

// hostsOf returns a Book with hosts in domains in turn, the first ones of which do not
// reach the service.
func hostsOf(name string, hosts, domains, cut int) (*Book, []identifier.Host) {
	b := NewBook()
	var names []identifier.Host
	for i := range hosts {
		h := identifier.Host(fmt.Sprint(name, i))
		names = append(names, h)
		var unreachable []identifier.Service
		if i < cut {
			unreachable = []identifier.Service{"desk", simService}
		}
		b.Report(bookTime, h, identifier.FailureDomain(fmt.Sprint("d", i%domains)), unreachable)
	}
	return b, names
}

// TestPeers compares the peers of the host a1 with what the reports of hosts allow.
func TestPeers(t *testing.T) {
	cutOff := []identifier.Service{simService}
	tests := map[string]struct {
		report func(b *Book)
		want   []identifier.Host
	}{
		"none has reported": {func(*Book) {}, nil},
		"own domain": {func(b *Book) {
			b.Report(bookTime, "a2", "a", nil)
			b.Report(bookTime, "b1", "b", nil)
		}, []identifier.Host{"a2"}},
		"as many cut off as reaching": {func(b *Book) {
			b.Report(bookTime, "a2", "a", nil)
			b.Report(bookTime, "a3", "a", nil)
			b.Report(bookTime, "a4", "a", cutOff)
			b.Report(bookTime, "b1", "b", nil)
		}, []identifier.Host{"a2", "a3"}},
		"more cut off than reaching": {func(b *Book) {
			b.Report(bookTime, "a2", "a", nil)
			b.Report(bookTime, "a3", "a", cutOff)
			b.Report(bookTime, "b1", "b", nil)
		}, []identifier.Host{"a2", "b1"}},
		"other service": {func(b *Book) { b.Report(bookTime, "a2", "a", []identifier.Service{"desk"}) }, []identifier.Host{"a2"}},
		"all cut off": {func(b *Book) {
			b.Report(bookTime, "a2", "a", cutOff)
			b.Report(bookTime, "b1", "b", cutOff)
		}, nil},
		"left":        {func(b *Book) { b.Report(bookTime, "a2", "a", nil); b.Leave("a2") }, nil},
		"old report":  {func(b *Book) { b.Report(bookTime.Add(-reportMinAge-1), "a2", "a", nil) }, nil},
		"last report": {func(b *Book) { b.Report(bookTime.Add(-reportMinAge), "a2", "a", nil) }, []identifier.Host{"a2"}},
		"healed": {func(b *Book) {
			b.Report(bookTime, "a2", "a", cutOff)
			b.Report(bookTime, "a2", "a", nil)
		}, []identifier.Host{"a2"}},
		"moved": {func(b *Book) {
			b.Report(bookTime, "a2", "b", nil)
			b.Report(bookTime, "a2", "a", nil)
			b.Report(bookTime, "b1", "b", nil)
		}, []identifier.Host{"a2"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := NewBook()
			b.Report(bookTime, "a1", "a", cutOff)
			tt.report(b)
			got := b.Peers(bookTime, "a1", simService)
			slices.Sort(got)
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("peers differ (-want +got):\n%s", diff)
			}
		})
	}
}

// TestPeersReachTheService draws fleets: the peers of a host are others that reach the
// service and have reported, as many as there are up to four, and the same each time.
func TestPeersReachTheService(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, domains := rapid.IntRange(1, 60).Draw(t, "hosts"), rapid.IntRange(1, 4).Draw(t, "domains")
		cut := rapid.IntRange(1, n).Draw(t, "cut")
		b, hosts := hostsOf(rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "name"), n, domains, cut)
		for _, h := range hosts[:cut] {
			peers := b.Peers(bookTime, h, simService)
			if (len(peers) == 0) != (cut == n) || len(peers) > maxPeers {
				t.Fatalf("peers of %s, %d of %d cut off: %v", h, cut, n, peers)
			}
			for i, p := range peers {
				if !slices.Contains(hosts[cut:], p) || slices.Contains(peers[:i], p) {
					t.Fatalf("peers of %s, %d of %d cut off: %v", h, cut, n, peers)
				}
			}
			if diff := cmp.Diff(peers, b.Peers(bookTime, h, simService)); diff != "" {
				t.Fatalf("peers differ (-first +second):\n%s", diff)
			}
		}
	})
}

// TestPeersSpread plays fleets of 300 hosts, half of which are cut off, in one domain
// and in four: the busiest of the peers has three times the mean at most in most
// fleets, and never five times.
//
// With four domains the mean of some is one and a half times as high: of 75 hosts, 38
// that are cut off in two domains turn to all, 37 in the others keep to their own.
func TestPeersSpread(t *testing.T) {
	const fleets, mean = 20, maxPeers
	uneven := 0
	for i := range fleets {
		b, hosts := hostsOf(fmt.Sprint("fleet", i, "-"), 300, 1+3*(i%2), 150)
		askers, most := make(map[identifier.Host]int), 0
		for _, h := range hosts[:150] {
			for _, p := range b.Peers(bookTime, h, simService) {
				askers[p]++
				most = max(most, askers[p])
			}
		}
		if most > 3*mean {
			uneven++
		}
		if most >= 5*mean || len(askers) < 130 {
			t.Errorf("%d of 150 peers are used, one by %d hosts, %d on average", len(askers), most, mean)
		}
	}
	if 4*uneven > fleets {
		t.Errorf("in %d of %d fleets one peer has more than three times the mean", uneven, fleets)
	}
}

// TestLeavingPeerMovesFew checks that a peer that leaves is replaced by one other at
// those that used it, and at no other host.
func TestLeavingPeerMovesFew(t *testing.T) {
	b, hosts := hostsOf("h", 300, 1, 150)
	before := make(map[identifier.Host][]identifier.Host)
	for _, h := range hosts[:150] {
		before[h] = b.Peers(bookTime, h, simService)
	}
	left := hosts[200]
	b.Leave(left)
	for _, h := range hosts[:150] {
		kept := slices.DeleteFunc(slices.Clone(before[h]), func(p identifier.Host) bool { return p == left })
		if diff := cmp.Diff(kept, b.Peers(bookTime, h, simService)[:len(kept)]); diff != "" {
			t.Errorf("peers of %s (-before +after):\n%s", h, diff)
		}
	}
}

// TestReportsCountInLargeFleets lets hosts sync at the pace of their number, with one
// lost sync each: all count at any time, also where most of the fleet falls silent. A
// host that was lost counts no longer after three syncs.
func TestReportsCountInLargeFleets(t *testing.T) {
	for _, hosts := range []int{2, 9, 300, 750} {
		b, names := hostsOf("h", hosts, 1, 0)
		period := max(250*time.Millisecond, time.Duration(hosts)*2*time.Millisecond)
		late := bookTime.Add(2 * period)
		b.Report(late, names[0], "d0", nil)
		if n := b.countCurrent(late); n != hosts {
			t.Errorf("%d of %d hosts count after a lost sync", n, hosts)
		}
		b.Report(bookTime.Add(4*period), names[0], "d0", nil)
		if n := b.countCurrent(bookTime.Add(max(2*time.Second, 5*period))); n > 1 {
			t.Errorf("%d of %d hosts count without syncs", n, hosts)
		}
		if n := b.countCurrent(bookTime.Add(4*period + reportMinAge)); n != 1 {
			t.Errorf("the last of %d hosts does not count", hosts)
		}
		b.Report(bookTime.Add(2*forgetAfter), names[0], "d0", nil)
		if len(b.hosts) != 1 {
			t.Errorf("%d hosts are kept for good", len(b.hosts))
		}
	}
}

// countCurrent returns the number of hosts whose reports count.
func (b *Book) countCurrent(now time.Time) int {
	n := 0
	for _, m := range b.hosts {
		if !m.reportedAt.Before(now.Add(-b.maxAge())) {
			n++
		}
	}
	return n
}

// BenchmarkPeers asks for the peers of a host among 300, half of which are cut off.
func BenchmarkPeers(b *testing.B) {
	book, hosts := hostsOf("h", 300, 4, 151)
	for i := 0; b.Loop(); i++ {
		book.Peers(bookTime, hosts[i%150], simService)
	}
}

// BenchmarkReport reports that nothing changed.
func BenchmarkReport(b *testing.B) {
	book, hosts := hostsOf("h", 300, 4, 150)
	for i := 0; b.Loop(); i++ {
		book.Report(bookTime, hosts[150+i%150], identifier.FailureDomain(fmt.Sprint("d", (150+i%150)%4)), nil)
	}
}
