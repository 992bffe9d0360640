package replicator

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/identifier"
)

// start is when the replicas of these tests start.
var start = time.Unix(1000, 0)

// newVoter returns replica 1 of three voters, with the given entries stored.
func newVoter(state HardState, entries ...Entry) *Replica {
	m := NewMembers(Member{ID: 1, Voter: true}, Member{ID: 2, Voter: true}, Member{ID: 3, Voter: true})
	return New(Config{ID: 1, ElectionTimeout: testTimeout}, Stored{
		State: state, Snapshot: Snapshot{Position: FoundingPosition, Members: m}, Base: FoundingPosition, Entries: entries,
	}, start)
}

// elect makes r the leader of the next term and returns its effects since.
func elect(r *Replica, now time.Time) []Effect {
	r.Step(now, Tick{})
	term := r.state.Term + 1
	r.Step(now, Receive{2, PreVoteAnswer{term, true}})
	r.Step(now, Synced{r.saves.seq})
	return r.Step(now, Receive{2, VoteAnswer{term, true}})
}

// TestVoterRefusesWhileItBacksALeader covers the three times at which a vote
// could break a lease: after a message of the leader, after a restart and
// after having led.
func TestVoterRefusesWhileItBacksALeader(t *testing.T) {
	heard := newVoter(HardState{Term: 1})
	heard.Step(start.Add(3*testTimeout), Receive{2, Append{Term: 1, Previous: FoundingPosition, Stamp: 1}})
	led := newVoter(HardState{Term: 1})
	elect(led, start.Add(3*testTimeout))
	led.Step(start.Add(3*testTimeout), Receive{2, AppendAnswer{Term: 3, Rejected: true}})
	for name, c := range map[string]struct {
		r    *Replica
		from time.Time
	}{
		"heard a leader":  {heard, start.Add(3 * testTimeout)},
		"started":         {newVoter(HardState{Term: 1}), start},
		"led until now":   {led, start.Add(3 * testTimeout)},
		"leads right now": {func() *Replica { r := newVoter(HardState{Term: 1}); elect(r, start.Add(3*testTimeout)); return r }(), start.Add(3 * testTimeout)},
	} {
		vote := Receive{3, Vote{Term: 9, Last: Position{9, 9}}}
		if effects := c.r.Step(c.from.Add(testTimeout-1), vote); len(effects) > 0 {
			t.Errorf("%s: a vote has effects %#v", name, effects)
		}
		if c.r.Role() == Leader {
			continue
		}
		effects := c.r.Step(c.from.Add(testTimeout), vote)
		want := Send{To: 3, Message: VoteAnswer{9, true}, Promise: true}
		if diff := cmp.Diff(want, effects[len(effects)-1]); diff != "" {
			t.Errorf("%s: answer after the election timeout (-want +got):\n%s", name, diff)
		}
		if c.r.Step(c.from.Add(testTimeout), Receive{2, Vote{Term: 9, Last: Position{9, 9}}}); c.r.state.Vote != 3 {
			t.Errorf("%s: a second candidate of the term got the vote", name)
		}
	}
}

// TestVoteIsStoredBeforeItLeaves looks at the order of effects.
func TestVoteIsStoredBeforeItLeaves(t *testing.T) {
	r := newVoter(HardState{Term: 4})
	var got []Effect
	for _, e := range r.Step(start.Add(testTimeout), Receive{3, Vote{Term: 4, Last: FoundingPosition}}) {
		if _, ok := e.(RoleChanged); !ok {
			got = append(got, e)
		}
	}
	want := []Effect{
		SaveState{Seq: 1, State: HardState{Term: 4, Vote: 3}},
		Send{To: 3, Message: VoteAnswer{4, true}, Promise: true},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("effects (-want +got):\n%s", diff)
	}
}

// TestEarlierTermIsNotCommittedByCounting is figure 8 of Raft: a majority has
// an entry of an earlier term, which a later leader could still replace.
func TestEarlierTermIsNotCommittedByCounting(t *testing.T) {
	r := newVoter(HardState{Term: 3}, Entry{Index: 2, Term: 2, Kind: Command})
	now := start.Add(3 * testTimeout)
	elect(r, now)
	r.Step(now, Receive{2, AppendAnswer{Term: 4, Match: 2, Stamp: 1}})
	if r.Commit() != 1 {
		t.Fatalf("entry of an earlier term committed by counting: commit is %d", r.Commit())
	}
	r.Step(now, Synced{r.saves.seq})
	r.Step(now, Receive{2, AppendAnswer{Term: 4, Match: 3, Stamp: 2}})
	if r.Commit() != 3 {
		t.Fatalf("commit is %d after a quorum stored the entry of this term, want 3", r.Commit())
	}
}

// TestNewLeaderWaitsForItsFirstCommit asks a leader that does not yet know what
// is committed for a read, a change of members and its lease.
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
	if until := r.LeaseUntil(); !until.IsZero() {
		t.Errorf("a lease until %v before the first commit", until)
	}
	want := []Effect{Refused{8, &ChangeError{"this leader has not yet committed an entry of its term", "try again in a moment"}}}
	if diff := cmp.Diff(want, r.Step(now, ChangeMembers{8, Remove{3}})); diff != "" {
		t.Errorf("effects of a change (-want +got):\n%s", diff)
	}
	r.Step(now, Synced{r.saves.seq})
	effects = r.Step(now, Receive{2, AppendAnswer{Term: 4, Match: 3, Stamp: 10}})
	if diff := cmp.Diff(ReadReady{7, 3}, effects[len(effects)-1]); diff != "" {
		t.Errorf("last effect of the first commit (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(now.Add(10+testTimeout-DefaultClockMargin), r.LeaseUntil()); diff != "" {
		t.Errorf("lease (-want +got):\n%s", diff)
	}
}

// TestOverwrittenEntriesCountAsUnstored has a follower overwrite what it had
// stored and looks whether the acknowledgement waits for the disk again.
func TestOverwrittenEntriesCountAsUnstored(t *testing.T) {
	old := []Entry{{Index: 2, Term: 2, Kind: Command}, {Index: 3, Term: 2, Kind: Command}}
	r := newVoter(HardState{Term: 3}, old...)
	appended := Append{Term: 3, Previous: FoundingPosition, Entries: []Entry{{Index: 2, Term: 3, Kind: Command}}, Stamp: 5}
	for i := range 2 {
		effects := r.Step(start, Receive{2, appended})
		want := Send{To: 2, Message: AppendAnswer{Term: 3, Match: 2, Stamp: 5}, Promise: true}
		if diff := cmp.Diff(want, effects[len(effects)-1]); diff != "" {
			t.Errorf("answer %d (-want +got):\n%s", i, diff)
		}
	}
	r.Step(start, Synced{r.saves.seq})
	effects := r.Step(start, Receive{2, appended})
	if diff := cmp.Diff([]Effect{Send{To: 2, Message: AppendAnswer{Term: 3, Match: 2, Stamp: 5}}}, effects); diff != "" {
		t.Errorf("effects once stored (-want +got):\n%s", diff)
	}
}

// TestLearnerCountsTowardsNoQuorum commits with learners alone.
func TestLearnerCountsTowardsNoQuorum(t *testing.T) {
	m := NewMembers(Member{ID: 1, Voter: true}, Member{ID: 2, Voter: true}, Member{ID: 3, Voter: true}, Member{ID: 4}, Member{ID: 5})
	r := newVoter(HardState{Term: 2}, Entry{Index: 2, Term: 2, Kind: Membership, Data: m.Encode()})
	now := start.Add(3 * testTimeout)
	elect(r, now)
	r.Step(now, Synced{r.saves.seq})
	for _, id := range []identifier.ReplicaID{4, 5} {
		r.Step(now, Receive{id, AppendAnswer{Term: 3, Match: 3, Stamp: 9}})
	}
	if r.Commit() != 1 || !r.LeaseUntil().IsZero() {
		t.Errorf("learners committed up to %d and backed a lease until %v", r.Commit(), r.LeaseUntil())
	}
}

// TestOwnVoteCountsOnceStored has a sole voter stand for election.
func TestOwnVoteCountsOnceStored(t *testing.T) {
	m := NewMembers(Member{ID: 1, Voter: true})
	r := New(Config{ID: 1}, Stored{Snapshot: Snapshot{Position: FoundingPosition, Members: m}, Base: FoundingPosition}, start)
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

// TestLargeEntryIsSentOnce has heartbeats overtake an entry of 6 MB, as they do
// between hosts under load: the rejections say that it has not arrived yet, and
// it is sent again only once it should have.
func TestLargeEntryIsSentOnce(t *testing.T) {
	r := newVoter(HardState{Term: 3})
	now := start.Add(3 * testTimeout)
	elect(r, now)
	r.Step(now, Synced{r.saves.seq})
	r.Step(now, Receive{2, AppendAnswer{Term: 4, Match: 2, Stamp: 1}})
	r.Step(now, Receive{3, AppendAnswer{Term: 4, Match: 2, Stamp: 1}})
	sent := largeSends(r.Step(now, Propose{[]Proposal{{ID: 1, Data: make([]byte, 6<<20)}}}))
	for range 20 {
		now = now.Add(testTimeout / 4)
		r.Step(now, Tick{})
		for _, from := range []identifier.ReplicaID{2, 3} {
			sent += largeSends(r.Step(now, Receive{from, AppendAnswer{Term: 4, Rejected: true, Match: 2, Stamp: Stamp(now.Sub(start))}}))
		}
	}
	if sent != 2 {
		t.Errorf("the entry was sent %d times to two members within %d election timeouts", sent, 20/4)
	}
	now = now.Add(time.Minute)
	again := largeSends(r.Step(now, Receive{2, AppendAnswer{Term: 4, Rejected: true, Match: 2, Stamp: Stamp(now.Sub(start))}}))
	if again != 1 {
		t.Errorf("a lost entry was sent again %d times, want once", again)
	}
}

// largeSends counts the messages among effects that carry large entries.
func largeSends(effects []Effect) int {
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
