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
	"cyclamenhub.org/timer"
)

// inForceLimit is the time within which a change must be in force on all
// reachable hosts.
const inForceLimit = 12 * time.Second

// testNetwork connects distributors by address and can block calls between them.
type testNetwork struct {
	mu      sync.Mutex
	dists   map[string]*Distributor
	blocked map[string]bool // by "from>to" or "*>to"
	calls   map[string]int  // by "from>to"
	dropped int
}

func newTestNetwork() *testNetwork {
	return &testNetwork{dists: make(map[string]*Distributor), blocked: make(map[string]bool), calls: make(map[string]int)}
}

// callFrom returns the CallFunc of the host at from. A blocked call returns only
// when its context ends.
func (n *testNetwork) callFrom(from string) CallFunc {
	return func(ctx context.Context, to string, _ messenger.Method, req, resp proto.Message) error {
		n.mu.Lock()
		n.calls[from+">"+to]++
		d := n.dists[to]
		n.mu.Unlock()
		if n.dropIfBlocked(from, to) {
			<-ctx.Done()
			return ctx.Err()
		}
		watchResp := d.handleWatch(ctx, req.(*wire.WatchRequest))
		if n.dropIfBlocked(from, to) {
			<-ctx.Done()
			return ctx.Err()
		}
		proto.Merge(resp, watchResp)
		return nil
	}
}

// dropIfBlocked reports whether messages from one host to another are blocked, and
// counts the dropped message.
func (n *testNetwork) dropIfBlocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	isBlocked := n.blocked[from+">"+to] || n.blocked["*>"+to]
	if isBlocked {
		n.dropped++
	}
	return isBlocked
}

// callCount returns the number of calls made on the paths.
func (n *testNetwork) callCount(paths ...string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	var sum int
	for _, p := range paths {
		sum += n.calls[p]
	}
	return sum
}

// droppedMessages returns the number of dropped messages.
func (n *testNetwork) droppedMessages() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dropped
}

func (n *testNetwork) setBlocked(isBlocked bool, paths ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range paths {
		n.blocked[p] = isBlocked
	}
}

// add adds a host to the network; its address is its name.
func (n *testNetwork) add(name, domain string, upstreams ...string) *Distributor {
	d := New(Options{
		Self:      configurer.HostAddress{Name: identifier.Host(name), FailureDomain: identifier.FailureDomain(domain), Address: name},
		Upstreams: func() []string { return upstreams },
		Call:      n.callFrom(name),
		OnUpdate:  func(Topic) error { return nil },
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dists[name] = d
	return d
}

// fleet is the keeper k and the hosts a1 to a3 of one failure domain that watch it.
type fleet struct {
	*testNetwork
	ctx    context.Context
	keeper *Distributor
	hosts  []*Distributor
}

// startFleet runs the hosts. The keeper confirms its topics once a second.
func startFleet(t *testing.T) *fleet {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	n := newTestNetwork()
	f := &fleet{testNetwork: n, ctx: ctx, keeper: n.add("k", "k"), hosts: []*Distributor{
		n.add("a1", "a", "k", "a2", "a3"),
		n.add("a2", "a", "a1", "k", "a3"),
		n.add("a3", "a", "a1", "a2", "k"),
	}}
	go func() {
		for ctx.Err() == nil {
			f.keeper.Confirm(time.Now())
			timer.Sleep(ctx, time.Second)
		}
	}()
	time.Sleep(time.Millisecond)
	for _, d := range f.hosts {
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
	if err := f.keeper.Offer(Topic{Name: FleetTopic, Revision: r, Body: []byte(fmt.Sprint(r))}); err != nil {
		t.Fatal(err)
	}
}

// revisions returns the revisions in force on a1 to a3.
func (f *fleet) revisions() []identifier.Revision {
	var rs []identifier.Revision
	for _, d := range f.hosts {
		rs = append(rs, d.Revision(FleetTopic))
	}
	return rs
}

func TestChangePropagatesThroughRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t)
		time.Sleep(10 * time.Second)
		before := f.callCount("a2>k", "a3>k")
		f.offer(t, 1)
		time.Sleep(100 * time.Millisecond)
		if diff := cmp.Diff([]identifier.Revision{1, 1, 1}, f.revisions()); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(before, f.callCount("a2>k", "a3>k")); diff != "" {
			t.Error("number of watches that bypass the relay", diff)
		}
		time.Sleep(2 * MaxHold)
		if diff := cmp.Diff(4, len(f.keeper.Reports())); diff != "" {
			t.Error("number of hosts known to the keeper", diff)
		}
	})
}

func TestUnresponsiveRelayIsBypassed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t)
		time.Sleep(10 * time.Second)
		f.setBlocked(true, "*>a1", "a1>k", "a1>a2", "a1>a3")
		f.offer(t, 1)
		time.Sleep(inForceLimit)
		if diff := cmp.Diff([]identifier.Revision{0, 1, 1}, f.revisions()); diff != "" {
			t.Error(diff)
		}
		if f.droppedMessages() == 0 {
			t.Fatal("no message was dropped: the relay was not blocked")
		}
		f.setBlocked(false, "*>a1", "a1>k", "a1>a2", "a1>a3")
		time.Sleep(inForceLimit)
		if diff := cmp.Diff([]identifier.Revision{1, 1, 1}, f.revisions()); diff != "" {
			t.Error("after the partition ended", diff)
		}
	})
}

func TestStaleRelayIsBypassed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t)
		time.Sleep(10 * time.Second)
		// The relay responds, but reaches neither the keeper nor its peers.
		f.setBlocked(true, "a1>k", "a1>a2", "a1>a3")
		f.offer(t, 1)
		time.Sleep(inForceLimit)
		if diff := cmp.Diff([]identifier.Revision{0, 1, 1}, f.revisions()); diff != "" {
			t.Error(diff)
		}
		if f.droppedMessages() == 0 {
			t.Fatal("no message was dropped: the relay was not partitioned")
		}
	})
}

func TestPartitionedDomainKeepsHighestRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t)
		f.offer(t, 7)
		time.Sleep(time.Second)
		f.setBlocked(true, "*>k")
		f.offer(t, 8)
		time.Sleep(time.Hour)
		if diff := cmp.Diff([]identifier.Revision{7, 7, 7}, f.revisions()); diff != "" {
			t.Error(diff)
		}
		restarted := f.add("a1", "a", "k", "a2", "a3")
		restarted.Start(f.ctx)
		if diff := cmp.Diff(identifier.Revision(7), restarted.Revision(FleetTopic)); diff != "" {
			t.Error("host restarted during the partition", diff)
		}
	})
}

func TestUnchangedReportIsNotResent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestNetwork().add("a1", "a", "k")
		first := len(d.reportsFor("k"))
		time.Sleep(MaxHold)
		again := len(d.reportsFor("k"))
		elsewhere := len(d.reportsFor("k2"))
		time.Sleep(reportInterval)
		later := len(d.reportsFor("k2"))
		if diff := cmp.Diff([]int{1, 0, 1, 1}, []int{first, again, elsewhere, later}); diff != "" {
			t.Error(diff)
		}
	})
}

func TestRevisionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var applied []identifier.Revision
		d := New(Options{OnUpdate: func(topic Topic) error {
			applied = append(applied, topic.Revision)
			return nil
		}})
		offers := rapid.SliceOf(rapid.Uint64Range(0, 20)).Draw(t, "offers")
		for _, r := range offers {
			if err := d.Offer(Topic{Name: FleetTopic, Revision: identifier.Revision(r)}); err != nil {
				t.Fatal(err)
			}
		}
		for i := 1; i < len(applied); i++ {
			if applied[i] <= applied[i-1] {
				t.Fatalf("revision %d came into force after %d", applied[i], applied[i-1])
			}
		}
	})
}

func TestUnreadableDocumentIsNotApplied(t *testing.T) {
	d := New(Options{OnUpdate: func(Topic) error { return errors.New("unreadable") }})
	if err := d.Offer(Topic{Name: FleetTopic, Revision: 1}); err == nil {
		t.Error("no error")
	}
	if diff := cmp.Diff(identifier.Revision(0), d.Revision(FleetTopic)); diff != "" {
		t.Error(diff)
	}
}

// TestRefreshSkipsExcludedTopics guards against a large document that delays a small
// urgent one. After a power loss, hundreds of hosts need the newest configuration,
// each within the time of one sync.
func TestRefreshSkipsExcludedTopics(t *testing.T) {
	n := newTestNetwork()
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
		t.Errorf("fleet topic has revision %d, want 7; excluded topic has revision %d, want 0", f, l)
	}
	if err := a.Refresh(t.Context(), "k"); err != nil {
		t.Fatal(err)
	}
	if l := a.Revision("large"); l != 7 {
		t.Errorf("topic has revision %d after a refresh of all topics, want 7", l)
	}
}
