package replicator

import (
	"math"
	"slices"
	"time"

	"cyclamenhub.org/identifier"
)

// leadership is what only a leader knows. Its zero value stands for no lead.
type leadership struct {
	// since is the time of the election; stamps count from it.
	since time.Time
	stamp Stamp
	// first is the index of the Empty entry of this term. Once it is
	// committed, the leader knows everything that is.
	first identifier.LogIndex
	// beat is when the last round of heartbeats was sent.
	beat  time.Time
	peers map[identifier.ReplicaID]*progress
	reads []pendingRead
	// uncommittedBytes counts the entries after commit.
	uncommittedBytes int
}

// progress is what a leader knows of one other member.
type progress struct {
	// match is the last index known to be stored there, and next the one to
	// send.
	match, next identifier.LogIndex
	// heard is the highest stamp it echoed, or 0.
	heard Stamp
	// underway is when entries of many bytes, which may still be on their way,
	// are sent again; zero if none are.
	underway time.Time
	// snapshotUntil is when a snapshot under way is sent again; zero if none.
	snapshotUntil time.Time
	catchUp       catchUp
}

// catchUp measures rounds of replication to a learner: it has caught up once a
// round took less than an election timeout (Ongaro, section 4.2.1).
type catchUp struct {
	target  identifier.LogIndex
	started time.Time
	done    bool
}

// becomeLeader takes the lead of the present term.
func (r *Replica) becomeLeader() {
	r.role, r.leader, r.granted = Leader, r.cfg.ID, nil
	r.lead = leadership{since: r.now, beat: r.now, peers: make(map[identifier.ReplicaID]*progress)}
	for _, e := range r.log.between(r.commit+1, r.log.last().Index) {
		r.lead.uncommittedBytes += e.size()
	}
	r.followMembers()
	r.emitRole()
	r.lead.first = r.log.last().Index + 1
	r.appendOwn(Entry{Kind: Empty})
	r.broadcast()
}

// followMembers keeps one progress for each other member in force.
func (r *Replica) followMembers() {
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

// appendOwn gives entries their positions, appends and stores them.
func (r *Replica) appendOwn(entries ...Entry) {
	next := r.log.last().Index + 1
	for i := range entries {
		entries[i].Index, entries[i].Term = next+identifier.LogIndex(i), r.state.Term
		r.lead.uncommittedBytes += entries[i].size()
	}
	r.saveEntries(entries)
}

// propose appends commands, or refuses each that would exceed a bound.
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
		r.appendOwn(entries...)
		r.replicate()
	}
}

// admit refuses e if this replica does not lead or e would exceed a bound,
// where ahead other entries were admitted in this step.
func (r *Replica) admit(e Entry, ahead, bytes int) error {
	switch {
	case r.role != Leader:
		return &NotLeaderError{r.leader}
	case len(e.Data) > r.cfg.MaxEntryBytes:
		return &TooLargeError{len(e.Data), r.cfg.MaxEntryBytes}
	case int(r.log.last().Index-r.commit)+ahead >= r.cfg.MaxUncommittedEntries:
		return &FullError{"the list of uncommitted entries", r.cfg.MaxUncommittedEntries}
	case bytes > 0 && bytes+e.size() > r.cfg.MaxUncommittedBytes:
		return &FullError{"the space for uncommitted entries, in bytes,", r.cfg.MaxUncommittedBytes}
	default:
		return nil
	}
}

// tickLeader sends heartbeats, and gives up the lead if no quorum has been
// heard for an election timeout (check-quorum; Ongaro, section 6.2).
func (r *Replica) tickLeader() {
	if r.now.Sub(r.sentAt(r.quorumStamp())) >= r.cfg.ElectionTimeout {
		r.becomeFollower(r.state.Term, 0)
		r.resetDeadline()
		return
	}
	if r.now.Sub(r.lead.beat) >= r.cfg.Heartbeat {
		r.broadcast()
	}
}

// nextStamp returns a stamp that no earlier message carries.
func (r *Replica) nextStamp() Stamp {
	r.lead.stamp = max(r.lead.stamp+1, Stamp(r.now.Sub(r.lead.since)))
	return r.lead.stamp
}

// sentAt returns when the message with that stamp was sent.
func (r *Replica) sentAt(s Stamp) time.Time {
	if s == math.MaxInt64 {
		return r.now
	}
	return r.lead.since.Add(time.Duration(s))
}

// quorumStamp returns the highest stamp that a quorum of voters has heard, or 0
// if no quorum has heard any.
func (r *Replica) quorumStamp() Stamp {
	return quorumValue(r, Stamp(math.MaxInt64), func(p *progress) Stamp { return p.heard })
}

// quorumValue returns the highest value that a quorum of voters has reached,
// where own is this replica's and of gives that of another voter.
func quorumValue[T ~int64 | ~uint64](r *Replica, own T, of func(*progress) T) T {
	var values []T
	for _, x := range r.members() {
		switch {
		case !x.Voter:
		case x.ID == r.cfg.ID:
			values = append(values, own)
		default:
			values = append(values, of(r.lead.peers[x.ID]))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-r.members().Quorum()]
}

// advanceCommit commits what a quorum has stored. Only entries of the present
// term are committed by counting (Raft, section 5.4.2).
func (r *Replica) advanceCommit() {
	i := quorumValue(r, r.saves.durable, func(p *progress) identifier.LogIndex { return p.match })
	if t, ok := r.log.termAt(i); !ok || t != r.state.Term {
		return
	}
	r.commitTo(i)
	r.releaseReads()
	if m, ok := r.members().Find(r.cfg.ID); r.configs.latestIndex() <= r.commit && (!ok || !m.Voter) {
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

// leads reports whether this replica leads and knows everything committed.
func (r *Replica) leads() bool { return r.role == Leader && r.commit >= r.lead.first }

// LeaseUntil returns until when no other replica can lead, or the zero time if
// this one holds no lease. The lease counts from when the messages were sent
// that a quorum has answered; each of these voters refuses votes for an
// ElectionTimeout from when it received them (Ongaro, section 6.4.1).
func (r *Replica) LeaseUntil() time.Time {
	if r.aside || !r.leads() {
		return time.Time{}
	}
	s := r.quorumStamp()
	if s == 0 {
		return time.Time{}
	}
	return r.sentAt(s).Add(r.cfg.ElectionTimeout - r.cfg.ClockMargin)
}
