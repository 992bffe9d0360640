package replicator

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/identifier"
)

// newGroupWithLeader returns a group of three with a leader, the leader, and the
// other nodes.
func newGroupWithLeader(t *testing.T) (*group, *node, []*node) {
	t.Helper()
	g := newGroup(t, 3)
	g.runRounds(g.ids(), 40, testTimeout/10)
	leader := g.leader()
	if leader == nil || !leader.r.hasCommittedInTerm() {
		t.Fatal("no leader")
	}
	var others []*node
	for _, n := range g.nodes {
		if n != leader {
			others = append(others, n)
		}
	}
	return g, leader, others
}

// TestSecondLossAfterRepair checks that no committed entry is lost when a second
// replica fails after the first was replaced. The leader and one follower
// commit entries that the other follower lacks. The first follower is lost and
// replaced, then the leader is lost. The remaining group must have all
// committed entries.
func TestSecondLossAfterRepair(t *testing.T) {
	g, leader, others := newGroupWithLeader(t)
	behind, lost := others[0], others[1]
	for range 20 {
		g.propose(leader)
		g.runRounds([]identifier.ReplicaID{leader.id, lost.id}, 1, testTimeout/20)
	}
	committed := g.highestCommitted

	lost.diskLost = true
	fresh := g.addEmptyNode()
	g.runRounds(g.ids(), 1, testTimeout/10)
	for _, c := range []Change{AddLearner{ID: fresh.id}, Remove{lost.id}, Promote{fresh.id}} {
		g.step(leader, ChangeMembers{g.id(), c})
		g.runRounds(g.ids(), 4, testTimeout/10)
	}
	want := NewMembers(Member{ID: leader.id, Voter: true}, Member{ID: behind.id, Voter: true}, Member{ID: fresh.id, Voter: true})
	if diff := cmp.Diff(want, leader.r.Status().Members); diff != "" {
		t.Fatalf("members after the repair (-want +got):\n%s", diff)
	}

	leader.diskLost = true
	g.runRounds(g.ids(), 60, testTimeout/10)
	next := g.leader()
	if next == nil || next.r.Commit() < committed {
		t.Fatalf("after the second loss no leader has committed entry %d", committed)
	}
}

// TestPromoteWaitsForCatchUp checks that a learner that lacks committed entries
// cannot become a voter.
func TestPromoteWaitsForCatchUp(t *testing.T) {
	g, leader, others := newGroupWithLeader(t)
	fresh := g.addEmptyNode()
	old := []identifier.ReplicaID{leader.id, others[0].id, others[1].id}
	g.step(leader, ChangeMembers{g.id(), AddLearner{ID: fresh.id}})
	g.runRounds(old, 3, testTimeout/10)

	effects := leader.r.Step(g.now(leader), ChangeMembers{99, Promote{fresh.id}})
	want := []Effect{Refused{99, &ChangeError{"learner 4 has not caught up", "wait until it has stored the log"}}}
	if diff := cmp.Diff(want, effects); diff != "" {
		t.Fatalf("effects (-want +got):\n%s", diff)
	}
	g.runRounds(g.ids(), 3, testTimeout/10)
	if !leader.r.IsCaughtUp(fresh.id) {
		t.Fatal("the learner has not caught up after 3 rounds")
	}
}

// TestProposalsBeyondLimitsAreRefused checks that a leader refuses proposals that
// exceed the limits on entry size and on the number of uncommitted entries.
func TestProposalsBeyondLimitsAreRefused(t *testing.T) {
	g, leader, _ := newGroupWithLeader(t)
	leader.r.cfg.MaxEntryBytes, leader.r.cfg.MaxUncommittedEntries, leader.r.cfg.MaxUncommittedBytes = 100, 3, 250
	small, large := make([]byte, 10), make([]byte, 101)
	effects := leader.r.Step(g.now(leader), Propose{[]Proposal{{1, large}, {2, small}, {3, small}, {4, small}, {5, small}}})
	var refused []Refused
	for _, e := range effects {
		if e, ok := e.(Refused); ok {
			refused = append(refused, e)
		}
	}
	want := []Refused{
		{1, &TooLargeError{101, 100}},
		{5, &FullError{"the list of uncommitted entries", 3}},
	}
	if diff := cmp.Diff(want, refused); diff != "" {
		t.Fatalf("refused (-want +got):\n%s", diff)
	}
}

// TestHaltedReplicaSendsNothing checks that a replica sends nothing and refuses
// proposals after its storage failed.
func TestHaltedReplicaSendsNothing(t *testing.T) {
	g, leader, _ := newGroupWithLeader(t)
	leader.r.Step(g.now(leader), Halt{})
	for _, e := range []Event{Tick{}, Receive{2, Vote{Term: 99}}, Receive{2, Append{Term: 99}}} {
		if effects := leader.r.Step(g.now(leader).Add(10*testTimeout), e); len(effects) > 0 {
			t.Errorf("%#v has effects %#v", e, effects)
		}
	}
	effects := leader.r.Step(g.now(leader), Propose{[]Proposal{{7, nil}}})
	if diff := cmp.Diff([]Effect{Refused{7, &HaltedError{}}}, effects); diff != "" {
		t.Errorf("effects of a proposal (-want +got):\n%s", diff)
	}
}
