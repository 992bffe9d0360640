package keeper

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/replicator"
)

func TestPlanVoters(t *testing.T) {
	const timeout = time.Second
	self := memberState{Member: replicator.Member{ID: 1, Host: "a", Voter: true}}
	voter := func(id identifier.ReplicaID, unresponsiveFor time.Duration) memberState {
		return memberState{Member: replicator.Member{ID: id, Host: "h", Voter: true}, unresponsiveFor: unresponsiveFor, caughtUp: true}
	}
	learner := func(id identifier.ReplicaID, unresponsiveFor time.Duration, caughtUp bool) memberState {
		return memberState{Member: replicator.Member{ID: id, Host: "l"}, unresponsiveFor: unresponsiveFor, caughtUp: caughtUp}
	}
	replaced := voter(3, 2*time.Second)
	replaced.replaced = true
	for _, tc := range []struct {
		name    string
		members []memberState
		want    replicator.Change
	}{
		{"three live voters leave a learner as it is", []memberState{self, voter(2, 1), voter(3, 1), learner(4, 1, true)}, nil},
		{"a learner is promoted if there are too few voters", []memberState{self, voter(2, 1), learner(4, 1, true)}, replicator.Promote{ID: 4}},
		{"a learner that lags is not promoted", []memberState{self, voter(2, 1), learner(4, 1, false)}, nil},
		{"a learner replaces a lost voter", []memberState{self, voter(2, 1), voter(3, memberLostAfter), learner(4, 1, true)}, replicator.Promote{ID: 4}},
		{"a voter that is unresponsive for a short time is kept", []memberState{self, voter(2, 1), voter(3, 2*time.Second), learner(4, 1, true)}, nil},
		{"a voter with a lost disk is replaced as soon as its host rejoins", []memberState{self, voter(2, 1), replaced, learner(4, 1, true)}, replicator.Promote{ID: 4}},
		{"the lost voter is removed after its replacement", []memberState{self, voter(2, 1), voter(3, memberLostAfter), voter(4, 1)}, replicator.Remove{ID: 3}},
		{"a lost voter without a replacement is kept", []memberState{self, voter(2, 1), voter(3, time.Hour)}, nil},
		{"a surplus voter is removed", []memberState{self, voter(2, 1), voter(3, 1), voter(4, 1)}, replicator.Remove{ID: 4}},
		{"a lost learner is removed", []memberState{self, voter(2, 1), voter(3, 1), learner(4, memberLostAfter, true)}, replicator.Remove{ID: 4}},
	} {
		if diff := cmp.Diff(tc.want, planVoters(tc.members, 3, timeout)); diff != "" {
			t.Errorf("%s: change differs (-want +got):\n%s", tc.name, diff)
		}
	}
}

// TestOpenGroup tests a group that three seeds bootstrap and any host may join:
// a fourth replica joins, replaces a lost voter, and the lost one rejoins as a
// learner.
func TestOpenGroup(t *testing.T) {
	open := func(o *Options) {
		o.Hosts, o.Voters = []identifier.Host{"k1", "k2", "k3"}, 3
		o.JoinOnly = o.Host == "k4"
	}
	runWithFakeTime(t, 4, open, func(t *testing.T, c *cluster) {
		first, k := c.leader()
		c.await("k4 is a learner", func() bool { return memberRole(k, "k4") == "learner" })
		c.propose(k, "one")

		isolated := identifier.Host("k3")
		if first == isolated {
			isolated = "k2"
		}
		c.isolate(isolated, true)
		c.await("k4 replaces the lost voter", func() bool {
			return memberRole(k, "k4") == "voter" && memberRole(k, isolated) == ""
		})
		c.propose(k, "two")

		c.isolate(isolated, false)
		c.await("the lost voter rejoins as a learner", func() bool { return memberRole(k, isolated) == "learner" })
	})
}

// memberRole returns the role of a host in the group according to k: "voter",
// "learner" or "".
func memberRole(k *Keeper, host identifier.Host) string {
	for _, m := range k.Status().Committed {
		switch {
		case m.Host != host:
		case m.Voter:
			return "voter"
		default:
			return "learner"
		}
	}
	return ""
}

// TestFirstSeedRestartsBeforeFounding guards against a group that nobody founds,
// since the process of the first seed ended before it had met the others and only
// the first start of a system may found one.
func TestFirstSeedRestartsBeforeFounding(t *testing.T) {
	restartFirstSeed(t, func(*cluster) {}, func(c *cluster) {
		_, k := c.leader()
		if diff := cmp.Diff("k1 is 1", c.propose(k, "k1")); diff != "" {
			t.Error(diff)
		}
	})
}

// TestSeedWithLostDiskFoundsNoGroup checks that a first seed founds no group once it
// has lost its disk: it cannot know whether it has founded one before.
func TestSeedWithLostDiskFoundsNoGroup(t *testing.T) {
	loseDisk := func(c *cluster) { c.folders["k1"] = t.TempDir() }
	restartFirstSeed(t, loseDisk, func(c *cluster) {
		time.Sleep(time.Minute)
		for _, h := range c.hosts {
			if n := len(c.keeper(h).Status().Committed); n > 0 {
				t.Errorf("%s is in a group of %d members", h, n)
			}
		}
	})
}

// restartFirstSeed restarts the first seed of an open group, before the others start,
// as a process that may only join. meanwhile runs while it is down, check at the end.
func restartFirstSeed(t *testing.T, meanwhile, check func(*cluster)) {
	open := func(o *Options) { o.Voters = 3 }
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, open)
		defer c.close()
		_ = c.start("k1").Close()
		meanwhile(c)
		c.start("k2")
		c.start("k3")
		c.options = func(o *Options) { open(o); o.JoinOnly = true }
		c.start("k1")
		check(c)
	})
}
