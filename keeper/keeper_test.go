package keeper

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/recorder"
	"cyclamenhub.org/refuser"
	"cyclamenhub.org/replicator"
	"cyclamenhub.org/timer"
)

func TestEveryKeeperAcceptsProposalsAndReads(t *testing.T) {
	for _, n := range []int{1, 3, 5} {
		runWithFakeTime(t, n, nil, func(t *testing.T, c *cluster) {
			for i, h := range c.hosts {
				got := c.propose(c.keeper(h), fmt.Sprint("from ", h))
				if diff := cmp.Diff(fmt.Sprintf("from %s is %d", h, i+1), got); diff != "" {
					t.Error(diff)
				}
			}
			for _, h := range c.hosts {
				if err := c.keeper(h).Read(t.Context()); err != nil {
					t.Errorf("read at %s: %v", h, err)
				}
				if diff := cmp.Diff(n, len(c.machines[h].all())); diff != "" {
					t.Errorf("entries at %s after a read: %s", h, diff)
				}
			}
		})
	}
}

// TestConcurrentProposalsShareSyncs guards group commit: proposals that arrive
// while a sync is in progress must share the next one. With syncs that take no
// time the number would depend on the order in which goroutines run.
func TestConcurrentProposalsShareSyncs(t *testing.T) {
	const proposals = 200
	count := &countingStorage{took: time.Millisecond}
	runWithFakeTime(t, 1, func(o *Options) {
		o.wrapStorage = func(s storage) storage { count.storage = s; return count }
	}, func(t *testing.T, c *cluster) {
		_, k := c.leader()
		before := count.saves()
		var wg sync.WaitGroup
		for i := range proposals {
			wg.Go(func() { c.propose(k, fmt.Sprint(i)) })
		}
		wg.Wait()
		if n := count.saves() - before; n > proposals/4 {
			t.Errorf("%d proposals took %d syncs", proposals, n)
		}
	})
}

// countingStorage counts the calls of Save and can make them slow or fail.
type countingStorage struct {
	storage
	took time.Duration
	mu   sync.Mutex
	n    int
	fail error
}

func (s *countingStorage) Save(effects []replicator.Effect) error {
	time.Sleep(s.took)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.n++
	if s.fail != nil {
		return s.fail
	}
	return s.storage.Save(effects)
}

func (s *countingStorage) saves() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.n
}

// TestReplicaHaltsOnDiskFailure fills the leader's disk. The leader must
// report the failure, the other replicas must continue, and no acknowledged
// entry may be lost.
func TestReplicaHaltsOnDiskFailure(t *testing.T) {
	stores := make(map[identifier.Host]*countingStorage)
	runWithFakeTime(t, 3, func(o *Options) {
		o.wrapStorage = func(s storage) storage {
			stores[o.Host] = &countingStorage{storage: s}
			return stores[o.Host]
		}
	}, func(t *testing.T, c *cluster) {
		h, k := c.leader()
		c.propose(k, "before")
		stores[h].mu.Lock()
		stores[h].fail = &recorder.DiskError{Operation: "sync the log", Err: syscall.ENOSPC}
		stores[h].mu.Unlock()

		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err := k.Propose(ctx, []byte("during"))
		if err != nil && refuser.From(err).IsNotRun() {
			t.Errorf("a proposal that the other replicas may have: %v, want an error other than not run", err)
		}
		c.await("the replica halts", func() bool { return k.Status().Halted })
		if err := k.Status().Failure; !errors.Is(err, syscall.ENOSPC) {
			t.Errorf("failure in the status: %v", err)
		}
		if _, err := k.Propose(ctx, []byte("after")); err == nil || !refuser.From(err).IsNotRun() {
			t.Errorf("a proposal at the halted replica: %v, want a refusal that says not run", err)
		}
		if err := k.Read(ctx); err == nil {
			t.Error("the halted replica answers a read")
		}

		next, other := c.leader()
		c.propose(other, "later")
		lines := c.machines[next].all()
		if lines[0] != "before" || lines[len(lines)-1] != "later" {
			t.Errorf("entries at the next leader: %q", lines)
		}
	})
}

// TestPausedLeaderRejectsExpiredLease moves the clock past the end of the lease
// while the loop does not run. The lease check immediately before an order and
// the check of a read must both fail.
func TestPausedLeaderRejectsExpiredLease(t *testing.T) {
	clocks := make(map[identifier.Host]*timer.Manual)
	runWithFakeTime(t, 1, func(o *Options) {
		clocks[o.Host] = timer.NewManual(time.Unix(1, 0))
		o.Clock = clocks[o.Host]
	}, func(t *testing.T, c *cluster) {
		h, k := c.leader()
		lease, err := k.Lease()
		if err != nil {
			t.Fatal(err)
		}
		// This is the state after a SIGSTOP: the clock has advanced and the
		// loop has not run yet.
		clocks[h].Advance(replicator.DefaultElectionTimeout)
		if err := lease.Check(); !errors.As(err, new(*LeaseError)) {
			t.Errorf("lease check after the end of the lease: %v, want a LeaseError", err)
		}
		if err := k.checkReadLease(); err == nil {
			t.Error("a read succeeds after the end of the lease")
		}
	})
}

// TestPartitionedLeaderLosesLease isolates the leader. Its lease must end
// before another one begins, and its proposals and reads must fail.
func TestPartitionedLeaderLosesLease(t *testing.T) {
	runWithFakeTime(t, 3, nil, func(t *testing.T, c *cluster) {
		h, k := c.leader()
		lease, err := k.Lease()
		if err != nil {
			t.Fatal(err)
		}
		c.isolate(h, true)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		failed := make(chan error)
		go func() { _, err := k.Propose(ctx, []byte("cut off")); failed <- err }()
		for lease.Check() == nil {
			for _, other := range c.hosts {
				if _, err := c.keeper(other).Lease(); other != h && err == nil {
					t.Fatalf("%s and %s hold the lease at the same time", h, other)
				}
			}
			time.Sleep(time.Millisecond)
		}
		next, other := c.leader()
		if err := lease.Check(); err == nil || next == h {
			t.Errorf("lease of the isolated leader: %v, new leader %s", err, next)
		}
		c.propose(other, "new leader")
		if err := <-failed; err == nil {
			t.Error("the isolated leader answers a proposal")
		}
		late, done := context.WithTimeout(t.Context(), 5*time.Second)
		defer done()
		if err := k.Read(late); err == nil {
			t.Error("the isolated leader answers a read")
		}
		c.isolate(h, false)
		c.await("the old leader catches up", func() bool {
			return cmp.Equal([]string{"new leader"}, c.machines[h].all())
		})
	})
}

// TestReplicaWithLostDiskRejoins deletes the folder of a replica. The replica
// must rejoin as a learner under a new identity and become a voter. The group
// must then survive the loss of another host.
func TestReplicaWithLostDiskRejoins(t *testing.T) {
	small := func(o *Options) { o.SnapshotEntries, o.Replica.TrailingEntries = 20, 5 }
	runWithFakeTime(t, 3, small, func(t *testing.T, c *cluster) {
		h, k := c.leader()
		for i := range 100 {
			c.propose(k, fmt.Sprint(i))
		}
		lost := c.hosts[0]
		if lost == h {
			lost = c.hosts[1]
		}
		old := c.keeper(lost).Status().ID
		_ = c.keeper(lost).Close()
		if err := os.RemoveAll(c.folders[lost]); err != nil {
			t.Fatal(err)
		}
		fresh := c.start(lost).Status().ID
		c.await("the replica with the lost disk is replaced", func() bool {
			m := k.Status().Committed
			_, stays := m.Find(old)
			return !stays && m.IsVoter(fresh) && m.Voters() == 3
		})

		_ = k.Close()
		c.leader()
		c.propose(c.keeper(lost), "after the second loss")
		if err := c.keeper(lost).Read(t.Context()); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(101, len(c.machines[lost].all())); diff != "" {
			t.Errorf("entries at the keeper that rejoined (-want +got): %s", diff)
		}
	})
}

// TestRestartKeepsEntries closes and reopens a group of one.
func TestRestartKeepsEntries(t *testing.T) {
	small := func(o *Options) { o.SnapshotEntries, o.Replica.TrailingEntries = 30, 5 }
	runWithFakeTime(t, 1, small, func(t *testing.T, c *cluster) {
		h, k := c.leader()
		for i := range 100 {
			c.propose(k, fmt.Sprint(i))
		}
		_ = k.Close()
		if _, err := k.Propose(t.Context(), nil); err == nil || !refuser.From(err).IsNotRun() {
			t.Errorf("a proposal at a closed keeper: %v", err)
		}
		k = c.start(h)
		if err := k.Read(t.Context()); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(100, len(c.machines[h].all())); diff != "" {
			t.Error(diff)
		}
	})
}

// TestEveryKeeperAcceptsMembershipChanges removes each follower by a call to
// that follower, and expects a conflict for a change that is not possible.
func TestEveryKeeperAcceptsMembershipChanges(t *testing.T) {
	runWithFakeTime(t, 3, nil, func(t *testing.T, c *cluster) {
		h, leader := c.leader()
		for _, other := range c.hosts {
			if other == h {
				continue
			}
			k := c.keeper(other)
			err := k.ChangeMembers(t.Context(), replicator.Promote{ID: 99})
			var f *refuser.Refusal
			if !errors.As(err, &f) || f.Kind() != refuser.Conflict || !f.IsNotRun() {
				t.Errorf("promotion of an unknown replica: %v, want a conflict", err)
			}
			if err := k.ChangeMembers(t.Context(), replicator.Remove{ID: k.Status().ID}); err != nil {
				t.Errorf("removal of %s at itself: %v", other, err)
			}
		}
		if diff := cmp.Diff(1, leader.Status().Committed.Voters()); diff != "" {
			t.Errorf("voters left (-want +got): %s", diff)
		}
	})
}

// TestLargestDocumentIsReplicated proposes, at a follower, an entry of the size
// of the largest encoded configuration document.
func TestLargestDocumentIsReplicated(t *testing.T) {
	c := startLoopbackCluster(t, 3, nil)
	h, _ := c.leader()
	other := c.hosts[0]
	if other == h {
		other = c.hosts[1]
	}
	document := strings.Repeat("x", 6<<20)
	c.propose(c.keeper(other), document)
	if err := c.keeper(other).Read(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := c.machines[other].all(); len(got) != 1 || got[0] != document {
		t.Errorf("%d entries at the follower, want the document", len(got))
	}
}

// TestLargeSnapshotIsSentInParts replaces a lost replica, over loopback
// connections, when the state is too large for one call.
func TestLargeSnapshotIsSentInParts(t *testing.T) {
	c := startLoopbackCluster(t, 3, func(o *Options) { o.SnapshotEntries, o.Replica.TrailingEntries = 60, 5 })
	h, k := c.leader()
	var proposed []string
	propose := func(entry string) {
		c.proposeUntilConfirmed(k, entry)
		proposed = append(proposed, entry)
	}
	large := strings.Repeat("x", 900<<10)
	for range 20 {
		propose(large)
	}
	lost := c.hosts[0]
	if lost == h {
		lost = c.hosts[1]
	}
	_ = c.keeper(lost).Close()
	for i := range 60 {
		propose(fmt.Sprint(i))
	}
	if err := os.RemoveAll(c.folders[lost]); err != nil {
		t.Fatal(err)
	}
	c.start(lost)
	// On a busy machine the first leader may follow another one by now, and apply
	// the last entries later than they are confirmed.
	c.await("the snapshot arrives", func() bool {
		got := c.machines[lost].all()
		return isSubsequence(proposed, got) && cmp.Equal(c.machines[h].all(), got)
	})
}

// isSubsequence reports whether list contains the elements of part in order.
func isSubsequence(part, list []string) bool {
	for _, e := range list {
		if len(part) > 0 && part[0] == e {
			part = part[1:]
		}
	}
	return len(part) == 0
}

// TestReplacementHostJoins replaces a permanently lost host by another one
// through a change of the settings on all hosts.
func TestReplacementHostJoins(t *testing.T) {
	runWithFakeTime(t, 3, nil, func(t *testing.T, c *cluster) {
		c.leader()
		c.propose(c.keeper("k1"), "before")
		lostID := c.keeper("k3").Status().ID
		for _, h := range c.hosts {
			_ = c.keeper(h).Close()
		}
		c.hosts = []identifier.Host{"k1", "k2", "k4"}
		c.folders["k4"] = t.TempDir()
		c.startAll()
		_, leader := c.leader()
		c.await("the new host is a voter", func() bool {
			return leader.Status().Committed.IsVoter(c.keeper("k4").Status().ID)
		})
		if err := leader.ChangeMembers(t.Context(), replicator.Remove{ID: lostID}); err != nil {
			t.Fatal(err)
		}
		if err := c.keeper("k4").Read(t.Context()); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff([]string{"before"}, c.machines["k4"].all()); diff != "" {
			t.Error(diff)
		}
	})
}

// observedMachine calls observe after each entry that it applies.
type observedMachine struct {
	*machine
	observe func(applied int)
}

// Apply applies entries one by one.
func (m observedMachine) Apply(entries ...[]byte) (results [][]byte) {
	for _, entry := range entries {
		results = append(results, m.applyOne(entry))
		m.observe(len(m.all()))
	}
	return results
}

// TestNoLeaseWhileLogIsReplayed guards against a leader whose lease is valid while
// its state machine still applies what earlier leaders committed: a read under the
// lease returns an old state.
func TestNoLeaseWhileLogIsReplayed(t *testing.T) {
	const batches, perBatch = 4, 10
	runWithFakeTime(t, 3, nil, func(t *testing.T, c *cluster) {
		_, k := c.leader()
		for batch := range batches {
			for i := range perBatch {
				c.propose(k, fmt.Sprint(batch, " ", i))
			}
			if err := k.ChangeMembers(t.Context(), replicator.AddLearner{ID: identifier.ReplicaID(batch + 1), Host: "learner"}); err != nil {
				t.Fatal(err)
			}
		}
		c.close()
		leases := make(map[identifier.Host][]int)
		c.options = func(o *Options) {
			h, m := o.Host, o.StateMachine.(*machine)
			o.StateMachine = observedMachine{m, func(applied int) {
				if _, err := c.keeper(h).Lease(); err == nil && applied < batches*perBatch {
					c.mu.Lock()
					defer c.mu.Unlock()
					leases[h] = append(leases[h], applied)
				}
			}}
		}
		c.startAll()
		h, _ := c.leader()
		if diff := cmp.Diff(batches*perBatch, len(c.machines[h].all())); diff != "" {
			t.Errorf("entries of the leader once it holds the lease (-want +got): %s", diff)
		}
		if diff := cmp.Diff(map[identifier.Host][]int{}, leases); diff != "" {
			t.Errorf("entries applied while the lease was valid (-want +got):\n%s", diff)
		}
	})
}
