package replicator

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/identifier"
)

// start is the start time of the replicas in these tests.
var start = time.Unix(1000, 0)

// newVoter returns replica 1 of three voters with the given stored state and
// entries.
func newVoter(state HardState, entries ...Entry) *Replica {
	m := NewMembers(Member{ID: 1, Voter: true}, Member{ID: 2, Voter: true}, Member{ID: 3, Voter: true})
	return New(Config{ID: 1, ElectionTimeout: testTimeout}, Stored{
		State: state, Snapshot: Snapshot{Position: InitialPosition, Members: m}, Base: InitialPosition, Entries: entries,
	}, start)
}

// elect makes r the leader of the next term and returns the effects of the step
// in which it won the election.
func elect(r *Replica, now time.Time) []Effect {
	r.Step(now, Tick{})
	term := r.state.Term + 1
	r.Step(now, Receive{2, PreVoteAnswer{term, true}})
	r.Step(now, Synced{r.saves.lastSeq})
	return r.Step(now, Receive{2, VoteAnswer{term, true}})
}

// TestVoterWithholdsVotesDuringLease checks the cases in which a vote could let
// two replicas hold a lease at the same time: after a message of the leader,
// after a restart, after the replica was leader, and while it is.
func TestVoterWithholdsVotesDuringLease(t *testing.T) {
	contacted := newVoter(HardState{Term: 1})
	contacted.Step(start.Add(3*testTimeout), Receive{2, Append{Term: 1, Previous: InitialPosition, Stamp: 1}})
	deposed := newVoter(HardState{Term: 1})
	elect(deposed, start.Add(3*testTimeout))
	deposed.Step(start.Add(3*testTimeout), Receive{2, AppendAnswer{Term: 3, Rejected: true}})
	for name, c := range map[string]struct {
		r    *Replica
		from time.Time
	}{
		"received a leader's message": {contacted, start.Add(3 * testTimeout)},
		"started":                     {newVoter(HardState{Term: 1}), start},
		"stepped down just now":       {deposed, start.Add(3 * testTimeout)},
		"is the leader":               {func() *Replica { r := newVoter(HardState{Term: 1}); elect(r, start.Add(3*testTimeout)); return r }(), start.Add(3 * testTimeout)},
	} {
		vote := Receive{3, Vote{Term: 9, Last: Position{9, 9}}}
		if effects := c.r.Step(c.from.Add(testTimeout-1), vote); len(effects) > 0 {
			t.Errorf("%s: a vote has effects %#v", name, effects)
		}
		if c.r.Role() == Leader {
			continue
		}
		effects := c.r.Step(c.from.Add(testTimeout), vote)
		want := Send{To: 3, Message: VoteAnswer{9, true}, AfterSync: true}
		if diff := cmp.Diff(want, effects[len(effects)-1]); diff != "" {
			t.Errorf("%s: answer after the election timeout (-want +got):\n%s", name, diff)
		}
		if c.r.Step(c.from.Add(testTimeout), Receive{2, Vote{Term: 9, Last: Position{9, 9}}}); c.r.state.Vote != 3 {
			t.Errorf("%s: a second candidate of the term got the vote", name)
		}
	}
}

// TestVoteIsStoredBeforeItIsSent checks the order of effects: a vote that was
// sent but not stored could be given twice after a restart.
func TestVoteIsStoredBeforeItIsSent(t *testing.T) {
	r := newVoter(HardState{Term: 4})
	var got []Effect
	for _, e := range r.Step(start.Add(testTimeout), Receive{3, Vote{Term: 4, Last: InitialPosition}}) {
		if _, ok := e.(RoleChanged); !ok {
			got = append(got, e)
		}
	}
	want := []Effect{
		SaveState{Seq: 1, State: HardState{Term: 4, Vote: 3}},
		Send{To: 3, Message: VoteAnswer{4, true}, AfterSync: true},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("effects (-want +got):\n%s", diff)
	}
}

// TestEarlierTermIsNotCommittedByCounting checks the case of figure 8 of Raft: a
// later leader could still replace an entry of an earlier term that a majority
// has stored.
func TestEarlierTermIsNotCommittedByCounting(t *testing.T) {
	r := newVoter(HardState{Term: 3}, Entry{Index: 2, Term: 2, Kind: Command})
	now := start.Add(3 * testTimeout)
	elect(r, now)
	r.Step(now, Receive{2, AppendAnswer{Term: 4, Match: 2, Stamp: 1}})
	if r.Commit() != 1 {
		t.Fatalf("entry of an earlier term was committed by counting replicas: commit is %d", r.Commit())
	}
	r.Step(now, Synced{r.saves.lastSeq})
	r.Step(now, Receive{2, AppendAnswer{Term: 4, Match: 3, Stamp: 2}})
	if r.Commit() != 3 {
		t.Fatalf("commit is %d after a quorum stored the entry of this term, want 3", r.Commit())
	}
}

// TestNewLeaderWaitsForItsFirstCommit checks that a new leader answers no read,
// refuses changes of members and holds no lease before it has committed an entry
// of its term. Until then it does not know which entries are committed.
func TestNewLeaderWaitsForItsFirstCommit(t *testing.T) {
	r := newVoter(HardState{Term: 3}, Entry{Index: 2, Term: 3, Kind: Command})
	now := start.Add(3 * testTimeout)
	elect(r, now)
	r.Step(now, Read{7})
	effects := r.Step(now, Receive{2, AppendAnswer{Term: 4, Rejected: true, Match: 1, Stamp: 9}})
	for _, e := range effects {
		if _, ok := e.(ReadReady); ok {
			t.Errorf("a read is answered before the first commit: %#v", e)
		}
	}
	if until := r.LeaseUntil(r.Commit()); !until.IsZero() {
		t.Errorf("the leader holds a lease until %v before its first commit", until)
	}
	want := []Effect{Refused{8, &ChangeError{"this leader has not yet committed an entry of its term", "try again in a moment"}}}
	if diff := cmp.Diff(want, r.Step(now, ChangeMembers{8, Remove{3}})); diff != "" {
		t.Errorf("effects of a change (-want +got):\n%s", diff)
	}
	r.Step(now, Synced{r.saves.lastSeq})
	effects = r.Step(now, Receive{2, AppendAnswer{Term: 4, Match: 3, Stamp: 10}})
	if diff := cmp.Diff(ReadReady{7, 3}, effects[len(effects)-1]); diff != "" {
		t.Errorf("last effect of the first commit (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(now.Add(10+testTimeout-DefaultClockMargin), r.LeaseUntil(3)); diff != "" {
		t.Errorf("lease (-want +got):\n%s", diff)
	}
	if until := r.LeaseUntil(2); !until.IsZero() {
		t.Errorf("the leader holds a lease until %v before its first commit is applied", until)
	}
}

// TestOverwrittenEntriesCountAsUnstored checks that the acknowledgement waits
// for the sync again when a follower overwrites entries that it had stored.
func TestOverwrittenEntriesCountAsUnstored(t *testing.T) {
	old := []Entry{{Index: 2, Term: 2, Kind: Command}, {Index: 3, Term: 2, Kind: Command}}
	r := newVoter(HardState{Term: 3}, old...)
	appended := Append{Term: 3, Previous: InitialPosition, Entries: []Entry{{Index: 2, Term: 3, Kind: Command}}, Stamp: 5}
	for i := range 2 {
		effects := r.Step(start, Receive{2, appended})
		want := Send{To: 2, Message: AppendAnswer{Term: 3, Match: 2, Stamp: 5}, AfterSync: true}
		if diff := cmp.Diff(want, effects[len(effects)-1]); diff != "" {
			t.Errorf("answer %d (-want +got):\n%s", i, diff)
		}
	}
	r.Step(start, Synced{r.saves.lastSeq})
	effects := r.Step(start, Receive{2, appended})
	if diff := cmp.Diff([]Effect{Send{To: 2, Message: AppendAnswer{Term: 3, Match: 2, Stamp: 5}}}, effects); diff != "" {
		t.Errorf("effects once stored (-want +got):\n%s", diff)
	}
}

// TestLearnerCountsTowardsNoQuorum checks that acknowledgements of learners
// alone neither commit an entry nor establish a lease.
func TestLearnerCountsTowardsNoQuorum(t *testing.T) {
	m := NewMembers(Member{ID: 1, Voter: true}, Member{ID: 2, Voter: true}, Member{ID: 3, Voter: true}, Member{ID: 4}, Member{ID: 5})
	r := newVoter(HardState{Term: 2}, Entry{Index: 2, Term: 2, Kind: Membership, Data: m.Encode()})
	now := start.Add(3 * testTimeout)
	elect(r, now)
	r.Step(now, Synced{r.saves.lastSeq})
	for _, id := range []identifier.ReplicaID{4, 5} {
		r.Step(now, Receive{id, AppendAnswer{Term: 3, Match: 3, Stamp: 9}})
	}
	if r.Commit() != 1 || !r.LeaseUntil(r.Commit()).IsZero() {
		t.Errorf("learners alone committed up to %d and established a lease until %v", r.Commit(), r.LeaseUntil(r.Commit()))
	}
}

// TestOwnVoteCountsOnceStored checks that a sole voter becomes leader only once
// its own vote is stored.
func TestOwnVoteCountsOnceStored(t *testing.T) {
	m := NewMembers(Member{ID: 1, Voter: true})
	r := New(Config{ID: 1}, Stored{Snapshot: Snapshot{Position: InitialPosition, Members: m}, Base: InitialPosition}, start)
	r.Step(start, Receive{2, PreVoteAnswer{Term: 5}}) // saves the higher term
	r.Step(start, Tick{})
	r.Step(start, Synced{1})
	if r.Role() != Candidate {
		t.Fatalf("the sole voter is a %v before its vote is stored, want a candidate", r.Role())
	}
	r.Step(start, Synced{2})
	if r.Role() != Leader {
		t.Fatalf("the sole voter is a %v once its vote is stored, want the leader", r.Role())
	}
}

// TestLargeEntryIsSentOnce checks that a leader does not send an entry of 6 MB
// again for each rejected heartbeat. Between hosts under load, heartbeats
// overtake such an entry and are rejected because it has not arrived yet. The
// leader sends it again only after the time that the transfer may take.
func TestLargeEntryIsSentOnce(t *testing.T) {
	r := newVoter(HardState{Term: 3})
	now := start.Add(3 * testTimeout)
	elect(r, now)
	r.Step(now, Synced{r.saves.lastSeq})
	r.Step(now, Receive{2, AppendAnswer{Term: 4, Match: 2, Stamp: 1}})
	r.Step(now, Receive{3, AppendAnswer{Term: 4, Match: 2, Stamp: 1}})
	sent := countLargeSends(r.Step(now, Propose{[]Proposal{{ID: 1, Data: make([]byte, 6<<20)}}}))
	for range 20 {
		now = now.Add(testTimeout / 4)
		r.Step(now, Tick{})
		for _, from := range []identifier.ReplicaID{2, 3} {
			sent += countLargeSends(r.Step(now, Receive{from, AppendAnswer{Term: 4, Rejected: true, Match: 2, Stamp: Stamp(now.Sub(start))}}))
		}
	}
	if sent != 2 {
		t.Errorf("the entry was sent %d times to two members within %d election timeouts", sent, 20/4)
	}
	now = now.Add(time.Minute)
	again := countLargeSends(r.Step(now, Receive{2, AppendAnswer{Term: 4, Rejected: true, Match: 2, Stamp: Stamp(now.Sub(start))}}))
	if again != 1 {
		t.Errorf("a lost entry was sent again %d times, want once", again)
	}
}

// countLargeSends returns the number of messages in effects that carry large
// entries.
func countLargeSends(effects []Effect) int {
	n := 0
	for _, e := range effects {
		s, ok := e.(Send)
		if !ok {
			continue
		}
		if m, ok := s.Message.(Append); ok && len(m.Entries) > 0 && m.Entries[0].size() >= 256<<10 {
			n++
		}
	}
	return n
}

// TestLearnerForgetsSilentLeader guards against a learner that was removed without
// learning it, waits for its leader for ever, and never joins again.
func TestLearnerForgetsSilentLeader(t *testing.T) {
	m := NewMembers(Member{ID: 1}, Member{ID: 2, Voter: true}, Member{ID: 3, Voter: true})
	r := New(Config{ID: 1, ElectionTimeout: testTimeout}, Stored{
		State: HardState{Term: 1}, Snapshot: Snapshot{Position: InitialPosition, Members: m}, Base: InitialPosition,
	}, start)
	r.Step(start, Receive{2, Append{Term: 1, Previous: InitialPosition}})
	if got := r.Status().Leader; got != 2 {
		t.Fatalf("leader %d after its heartbeat, want 2", got)
	}
	r.Step(start.Add(2*testTimeout), Tick{})
	if got := r.Status().Leader; got != 0 {
		t.Errorf("leader %d after two election timeouts without a message, want none", got)
	}
}
