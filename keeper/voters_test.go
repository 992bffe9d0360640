package keeper

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/replicator"
)

func TestPlanVoters(t *testing.T) {
	const timeout = time.Second
	self := standing{Member: replicator.Member{ID: 1, Host: "a", Voter: true}}
	voter := func(id identifier.ReplicaID, silent time.Duration) standing {
		return standing{Member: replicator.Member{ID: id, Host: "h", Voter: true}, silent: silent, caughtUp: true}
	}
	learner := func(id identifier.ReplicaID, silent time.Duration, caughtUp bool) standing {
		return standing{Member: replicator.Member{ID: id, Host: "l"}, silent: silent, caughtUp: caughtUp}
	}
	replaced := voter(3, 2*time.Second)
	replaced.replaced = true
	for _, tc := range []struct {
		name    string
		members []standing
		want    replicator.Change
	}{
		{"three live voters keep a learner aside", []standing{self, voter(2, 1), voter(3, 1), learner(4, 1, true)}, nil},
		{"too few voters take a learner", []standing{self, voter(2, 1), learner(4, 1, true)}, replicator.Promote{ID: 4}},
		{"a learner that lags is left", []standing{self, voter(2, 1), learner(4, 1, false)}, nil},
		{"a learner takes a lost voter's place", []standing{self, voter(2, 1), voter(3, lostAfter), learner(4, 1, true)}, replicator.Promote{ID: 4}},
		{"a short silence is no loss", []standing{self, voter(2, 1), voter(3, 2*time.Second), learner(4, 1, true)}, nil},
		{"a wiped voter is lost as soon as its host is back", []standing{self, voter(2, 1), replaced, learner(4, 1, true)}, replicator.Promote{ID: 4}},
		{"the lost voter goes after that", []standing{self, voter(2, 1), voter(3, lostAfter), voter(4, 1)}, replicator.Remove{ID: 3}},
		{"a lost voter without a successor stays", []standing{self, voter(2, 1), voter(3, time.Hour)}, nil},
		{"a surplus voter goes", []standing{self, voter(2, 1), voter(3, 1), voter(4, 1)}, replicator.Remove{ID: 4}},
		{"a lost learner goes", []standing{self, voter(2, 1), voter(3, 1), learner(4, lostAfter, true)}, replicator.Remove{ID: 4}},
	} {
		if diff := cmp.Diff(tc.want, planVoters(tc.members, 3, timeout)); diff != "" {
			t.Errorf("%s: change differs (-want +got):\n%s", tc.name, diff)
		}
	}
}

// TestOpenGroup follows a group that three seeds found: a fourth replica joins,
// takes the place of one that is gone, and that one comes back.
func TestOpenGroup(t *testing.T) {
	open := func(o *Options) {
		o.Hosts, o.Voters = []identifier.Host{"k1", "k2", "k3"}, 3
		o.JoinOnly = o.Host == "k4"
	}
	bubble(t, 4, open, func(t *testing.T, c *cluster) {
		first, k := c.leader()
		c.await("k4 is a learner", func() bool { return partOf(k, "k4") == "learner" })
		c.propose(k, "one")

		away := identifier.Host("k3")
		if first == away {
			away = "k2"
		}
		c.isolate(away, true)
		c.await("k4 votes in the place of the lost one", func() bool {
			return partOf(k, "k4") == "voter" && partOf(k, away) == ""
		})
		c.propose(k, "two")

		c.isolate(away, false)
		c.await("the lost one is back as a learner", func() bool { return partOf(k, away) == "learner" })
	})
}

// partOf returns the part of a host in the group, as k sees it.
func partOf(k *Keeper, host identifier.Host) string {
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
