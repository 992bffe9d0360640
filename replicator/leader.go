package replicator

import (
	"math"
	"slices"
	"time"

	"cyclamenhub.org/identifier"
)

// leaderState is the volatile state of a leader. It is reset when the leader
// becomes a follower.
type leaderState struct {
	// electedAt is the time of the election, from which stamps count.
	electedAt time.Time
	lastStamp Stamp
	// firstOfTerm is the index of the Empty entry of this term. Once it is
	// committed, the leader knows all committed entries.
	firstOfTerm identifier.LogIndex
	// lastHeartbeat is when the last heartbeats were sent.
	lastHeartbeat time.Time
	peers         map[identifier.ReplicaID]*progress
	reads         []pendingRead
	// uncommittedBytes is the size of the entries after commit.
	uncommittedBytes int
}

// progress is a leader's view of one other member.
type progress struct {
	// match is the last index that the member is known to have stored, and next
	// is the index to send next.
	match, next identifier.LogIndex
	// echoedStamp is the highest stamp that the member has echoed, or 0.
	echoedStamp Stamp
	// resendAfter is the time before which large entries that may still be in
	// flight are not sent again, or zero if there are none.
	resendAfter time.Time
	// snapshotResendAt is when a snapshot in flight is sent again, or zero if
	// there is none.
	snapshotResendAt time.Time
	catchUp          catchUp
}

// catchUp tracks rounds of replication to a member. A learner has caught up
// once a round takes less than an election timeout (Ongaro, section 4.2.1).
type catchUp struct {
	target  identifier.LogIndex
	started time.Time
	done    bool
}

// becomeLeader makes this replica the leader of its current term.
func (r *Replica) becomeLeader() {
	r.role, r.leader, r.granted = Leader, r.cfg.ID, nil
	r.lead = leaderState{electedAt: r.now, lastHeartbeat: r.now, peers: make(map[identifier.ReplicaID]*progress)}
	for _, e := range r.log.between(r.commit+1, r.log.last().Index) {
		r.lead.uncommittedBytes += e.size()
	}
	r.updatePeers()
	r.emitRole()
	r.lead.firstOfTerm = r.log.last().Index + 1
	r.appendAsLeader(Entry{Kind: Empty})
	r.broadcast()
}

// updatePeers adjusts peers to the members in effect: it keeps the progress of
// those that remain, and adds it for new ones.
func (r *Replica) updatePeers() {
	peers := make(map[identifier.ReplicaID]*progress)
	for _, x := range r.members() {
		if x.ID == r.cfg.ID {
			continue
		}
		p := r.lead.peers[x.ID]
		if p == nil {
			last := r.log.last().Index
			p = &progress{next: last + 1, catchUp: catchUp{target: last, started: r.now}}
		}
		peers[x.ID] = p
	}
	r.lead.peers = peers
}

// appendAsLeader assigns index and term to entries, appends them to the log and
// stores them.
func (r *Replica) appendAsLeader(entries ...Entry) {
	next := r.log.last().Index + 1
	for i := range entries {
		entries[i].Index, entries[i].Term = next+identifier.LogIndex(i), r.state.Term
		r.lead.uncommittedBytes += entries[i].size()
	}
	r.saveEntries(entries)
}

// propose appends commands and refuses each one that would exceed a limit.
func (r *Replica) propose(list []Proposal) {
	var entries []Entry
	next := r.log.last().Index + 1
	bytes := r.lead.uncommittedBytes
	for _, p := range list {
		e := Entry{Kind: Command, Data: p.Data}
		if err := r.admit(e, len(entries), bytes); err != nil {
			r.emit(Refused{p.ID, err})
			continue
		}
		bytes += e.size()
		r.emit(Accepted{p.ID, Position{next + identifier.LogIndex(len(entries)), r.state.Term}})
		entries = append(entries, e)
	}
	if len(entries) > 0 {
		r.appendAsLeader(entries...)
		r.replicate()
	}
}

// admit returns an error if this replica is not the leader or e would exceed a
// limit. admitted is the number of entries that this step already admitted, and
// bytes is the size of all uncommitted entries including those.
func (r *Replica) admit(e Entry, admitted, bytes int) error {
	switch {
	case r.role != Leader:
		return &NotLeaderError{r.leader}
	case len(e.Data) > r.cfg.MaxEntryBytes:
		return &TooLargeError{len(e.Data), r.cfg.MaxEntryBytes}
	case int(r.log.last().Index-r.commit)+admitted >= r.cfg.MaxUncommittedEntries:
		return &FullError{"the list of uncommitted entries", r.cfg.MaxUncommittedEntries}
	case bytes > 0 && bytes+e.size() > r.cfg.MaxUncommittedBytes:
		return &FullError{"the space for uncommitted entries, in bytes,", r.cfg.MaxUncommittedBytes}
	default:
		return nil
	}
}

// tickLeader sends heartbeats, and steps down if no quorum has answered for an
// election timeout (check-quorum; Ongaro, section 6.2).
func (r *Replica) tickLeader() {
	if r.now.Sub(r.sentAt(r.quorumStamp())) >= r.cfg.ElectionTimeout {
		r.becomeFollower(r.state.Term, 0)
		r.resetElectionDeadline()
		return
	}
	if r.now.Sub(r.lead.lastHeartbeat) >= r.cfg.Heartbeat {
		r.broadcast()
	}
}

// nextStamp returns a stamp higher than that of any earlier message.
func (r *Replica) nextStamp() Stamp {
	r.lead.lastStamp = max(r.lead.lastStamp+1, Stamp(r.now.Sub(r.lead.electedAt)))
	return r.lead.lastStamp
}

// sentAt returns when the message with stamp s was sent. For math.MaxInt64, the
// stamp of this replica itself in a quorum, it returns the current time.
func (r *Replica) sentAt(s Stamp) time.Time {
	if s == math.MaxInt64 {
		return r.now
	}
	return r.lead.electedAt.Add(time.Duration(s))
}

// quorumStamp returns the highest stamp that a quorum of voters has echoed, or 0
// if no quorum has echoed any.
func (r *Replica) quorumStamp() Stamp {
	return quorumValue(r, Stamp(math.MaxInt64), func(p *progress) Stamp { return p.echoedStamp })
}

// quorumValue returns the highest value that a quorum of voters has reached. own
// is the value of this replica, and peerValue returns that of another voter.
func quorumValue[T ~int64 | ~uint64](r *Replica, own T, peerValue func(*progress) T) T {
	var values []T
	for _, x := range r.members() {
		switch {
		case !x.Voter:
		case x.ID == r.cfg.ID:
			values = append(values, own)
		default:
			values = append(values, peerValue(r.lead.peers[x.ID]))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-r.members().Quorum()]
}

// advanceCommit commits the entries that a quorum has stored. Only entries of
// the current term are committed by counting replicas (Raft, section 5.4.2).
func (r *Replica) advanceCommit() {
	i := quorumValue(r, r.saves.durableIndex, func(p *progress) identifier.LogIndex { return p.match })
	if t, ok := r.log.termAt(i); !ok || t != r.state.Term {
		return
	}
	r.commitTo(i)
	r.releaseReads()
	if m, ok := r.members().Find(r.cfg.ID); r.configs.latestSince() <= r.commit && (!ok || !m.Voter) {
		// The removal of this replica is committed (Ongaro, section 4.2.2).
		r.becomeFollower(r.state.Term, 0)
	}
}

// commitTo commits and applies the entries up to i.
func (r *Replica) commitTo(i identifier.LogIndex) {
	if i <= r.commit {
		return
	}
	entries := r.log.between(r.commit+1, i)
	if r.role == Leader {
		for _, e := range entries {
			r.lead.uncommittedBytes -= e.size()
		}
	}
	r.commit = i
	r.emit(Apply{entries})
}

// hasCommittedInTerm reports whether this replica is the leader and has
// committed an entry of its term, so that it knows all committed entries.
func (r *Replica) hasCommittedInTerm() bool {
	return r.role == Leader && r.commit >= r.lead.firstOfTerm
}

// LeaseUntil returns the time until which no other replica can become leader,
// or the zero time if this one holds no lease. applied is the index of the last
// entry that the state machine has applied. There is no lease before that is the
// first entry of the leader's term: until then a read under the lease could miss
// what earlier leaders committed.
//
// The lease starts when the latest messages were sent that a quorum has answered,
// because each of these voters refuses votes for an ElectionTimeout after it
// received them (Ongaro, section 6.4.1).
func (r *Replica) LeaseUntil(applied identifier.LogIndex) time.Time {
	if r.halted || !r.hasCommittedInTerm() || applied < r.lead.firstOfTerm {
		return time.Time{}
	}
	s := r.quorumStamp()
	if s == 0 {
		return time.Time{}
	}
	return r.sentAt(s).Add(r.cfg.ElectionTimeout - r.cfg.ClockMargin)
}
