package distributor

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/wire"
	"cyclamenhub.org/messenger"
)

// inForceLimit is the time within which a change is in force everywhere.
const inForceLimit = 12 * time.Second

// testNet connects distributors by address and can cut them off.
type testNet struct {
	mu    sync.Mutex
	dists map[string]*Distributor
	cut   map[string]bool // by "from>to" or "*>to"
	calls map[string]int  // by "from>to"
	lost  int
}

func newTestNet() *testNet {
	return &testNet{dists: make(map[string]*Distributor), cut: make(map[string]bool), calls: make(map[string]int)}
}

// callFrom returns the CallFunc of the host at from. A cut call never returns
// before its context ends.
func (n *testNet) callFrom(from string) CallFunc {
	return func(ctx context.Context, to string, _ messenger.Method, req, resp proto.Message) error {
		n.mu.Lock()
		n.calls[from+">"+to]++
		d := n.dists[to]
		n.mu.Unlock()
		if n.isCut(from, to) {
			<-ctx.Done()
			return ctx.Err()
		}
		answer := d.answer(ctx, req.(*wire.WatchRequest))
		if n.isCut(from, to) {
			<-ctx.Done()
			return ctx.Err()
		}
		proto.Merge(resp, answer)
		return nil
	}
}

// isCut reports whether a message between two hosts is lost, and counts it.
func (n *testNet) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	cut := n.cut[from+">"+to] || n.cut["*>"+to]
	if cut {
		n.lost++
	}
	return cut
}

// called returns how many calls were made on the paths.
func (n *testNet) called(paths ...string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	var sum int
	for _, p := range paths {
		sum += n.calls[p]
	}
	return sum
}

// lostCalls returns how many calls were cut.
func (n *testNet) lostCalls() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lost
}

func (n *testNet) setCut(cut bool, paths ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range paths {
		n.cut[p] = cut
	}
}

// add puts a host into the net; its address is its name.
func (n *testNet) add(name, domain string, upstreams ...string) *Distributor {
	d := New(Options{
		Self:      configurer.HostAddress{Name: identifier.Host(name), FailureDomain: identifier.FailureDomain(domain), Address: name},
		Upstreams: func() []string { return upstreams },
		Call:      n.callFrom(name),
		OnNews:    func(Topic) error { return nil },
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dists[name] = d
	return d
}

// fleet is a keeper k and the hosts a1 to a3 of a failure domain that watch it.
type fleet struct {
	*testNet
	ctx context.Context
	k   *Distributor
	as  []*Distributor
}

// startFleet runs the hosts; the keeper confirms itself once a second.
func startFleet(t *testing.T) *fleet {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	n := newTestNet()
	f := &fleet{testNet: n, ctx: ctx, k: n.add("k", "k"), as: []*Distributor{
		n.add("a1", "a", "k", "a2", "a3"),
		n.add("a2", "a", "a1", "k", "a3"),
		n.add("a3", "a", "a1", "a2", "k"),
	}}
	go func() {
		for ctx.Err() == nil {
			f.k.Confirm(time.Now())
			pause(ctx, time.Second)
		}
	}()
	time.Sleep(time.Millisecond)
	for _, d := range f.as {
		go d.Run(ctx)
	}
	t.Cleanup(func() {
		cancel()
		synctest.Wait()
	})
	return f
}

func (f *fleet) offer(t *testing.T, r identifier.Revision) {
	t.Helper()
	if err := f.k.Offer(Topic{Name: FleetTopic, Revision: r, Body: []byte(fmt.Sprint(r))}); err != nil {
		t.Fatal(err)
	}
}

// revisions returns what a1 to a3 have in force.
func (f *fleet) revisions() []identifier.Revision {
	var rs []identifier.Revision
	for _, d := range f.as {
		rs = append(rs, d.Revision(FleetTopic))
	}
	return rs
}

func TestChangeTravelsThroughTheRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t)
		time.Sleep(10 * time.Second)
		past := f.called("a2>k", "a3>k")
		f.offer(t, 1)
		time.Sleep(100 * time.Millisecond)
		if diff := cmp.Diff([]identifier.Revision{1, 1, 1}, f.revisions()); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(past, f.called("a2>k", "a3>k")); diff != "" {
			t.Error("watches past the relay", diff)
		}
		time.Sleep(2 * Hold)
		if diff := cmp.Diff(4, len(f.k.Reports())); diff != "" {
			t.Error("hosts known to the keeper", diff)
		}
	})
}

func TestSilentRelayIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t)
		time.Sleep(10 * time.Second)
		f.setCut(true, "*>a1", "a1>k", "a1>a2", "a1>a3")
		f.offer(t, 1)
		time.Sleep(inForceLimit)
		if diff := cmp.Diff([]identifier.Revision{0, 1, 1}, f.revisions()); diff != "" {
			t.Error(diff)
		}
		if f.lostCalls() == 0 {
			t.Fatal("no call was lost: the relay was not silent")
		}
		f.setCut(false, "*>a1", "a1>k", "a1>a2", "a1>a3")
		time.Sleep(inForceLimit)
		if diff := cmp.Diff([]identifier.Revision{1, 1, 1}, f.revisions()); diff != "" {
			t.Error("after healing", diff)
		}
	})
}

func TestStaleRelayIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t)
		time.Sleep(10 * time.Second)
		// The relay answers, but itself reaches neither keeper nor peers.
		f.setCut(true, "a1>k", "a1>a2", "a1>a3")
		f.offer(t, 1)
		time.Sleep(inForceLimit)
		if diff := cmp.Diff([]identifier.Revision{0, 1, 1}, f.revisions()); diff != "" {
			t.Error(diff)
		}
		if f.lostCalls() == 0 {
			t.Fatal("no call was lost: the relay was not cut off")
		}
	})
}

func TestCutOffDomainServesItsHighestRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t)
		f.offer(t, 7)
		time.Sleep(time.Second)
		f.setCut(true, "*>k")
		f.offer(t, 8)
		time.Sleep(time.Hour)
		if diff := cmp.Diff([]identifier.Revision{7, 7, 7}, f.revisions()); diff != "" {
			t.Error(diff)
		}
		restarted := f.add("a1", "a", "k", "a2", "a3")
		restarted.Start(f.ctx)
		if diff := cmp.Diff(identifier.Revision(7), restarted.Revision(FleetTopic)); diff != "" {
			t.Error("host restarted while cut off", diff)
		}
	})
}

func TestUnchangedReportIsNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestNet().add("a1", "a", "k")
		first := len(d.outgoing("k"))
		time.Sleep(Hold)
		again := len(d.outgoing("k"))
		elsewhere := len(d.outgoing("k2"))
		time.Sleep(reportInterval)
		later := len(d.outgoing("k2"))
		if diff := cmp.Diff([]int{1, 0, 1, 1}, []int{first, again, elsewhere, later}); diff != "" {
			t.Error(diff)
		}
	})
}

func TestRevisionNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var published []identifier.Revision
		d := New(Options{OnNews: func(n Topic) error {
			published = append(published, n.Revision)
			return nil
		}})
		offers := rapid.SliceOf(rapid.Uint64Range(0, 20)).Draw(t, "offers")
		for _, r := range offers {
			if err := d.Offer(Topic{Name: FleetTopic, Revision: identifier.Revision(r)}); err != nil {
				t.Fatal(err)
			}
		}
		for i := 1; i < len(published); i++ {
			if published[i] <= published[i-1] {
				t.Fatalf("revision %d came into force after %d", published[i], published[i-1])
			}
		}
	})
}

func TestUnreadableDocumentStaysOutOfForce(t *testing.T) {
	d := New(Options{OnNews: func(Topic) error { return errors.New("unreadable") }})
	if err := d.Offer(Topic{Name: FleetTopic, Revision: 1}); err == nil {
		t.Error("no error")
	}
	if diff := cmp.Diff(identifier.Revision(0), d.Revision(FleetTopic)); diff != "" {
		t.Error(diff)
	}
}

// TestRefreshLeavesTopicsOut checks that a host that needs one document at once is
// not sent another, large one with it. Load pattern: hundreds of hosts that need the
// newest configuration after a loss of power, each within the time of one sync.
func TestRefreshLeavesTopicsOut(t *testing.T) {
	n := newTestNet()
	k, a := n.add("k", "k"), n.add("a", "a", "k")
	for _, name := range []TopicName{FleetTopic, "large"} {
		if err := k.Offer(Topic{Name: name, Revision: 7, Body: []byte("x")}); err != nil {
			t.Fatal(err)
		}
	}
	if err := a.Refresh(t.Context(), "k", "large"); err != nil {
		t.Fatal(err)
	}
	if f, l := a.Revision(FleetTopic), a.Revision("large"); f != 7 || l != 0 {
		t.Errorf("the host has revision %d and %d of what it left out", f, l)
	}
	if err := a.Refresh(t.Context(), "k"); err != nil {
		t.Fatal(err)
	}
	if l := a.Revision("large"); l != 7 {
		t.Errorf("the host has revision %d after it asked for everything", l)
	}
}
