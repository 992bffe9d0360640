package replicator

import (
	"time"

	"cyclamenhub.org/identifier"
)

// broadcast sends each member the entries that it lacks, or a heartbeat.
func (r *Replica) broadcast() {
	r.lead.lastHeartbeat = r.now
	for _, x := range r.members() {
		if p := r.lead.peers[x.ID]; p != nil {
			r.sendAppend(x.ID, p)
		}
	}
}

// replicate sends new entries to the members below their in-flight limit.
func (r *Replica) replicate() {
	for _, x := range r.members() {
		if p := r.lead.peers[x.ID]; p != nil {
			r.sendPendingEntries(x.ID, p)
		}
	}
}

// sendPendingEntries sends a member the entries that it lacks, up to its
// in-flight limit.
func (r *Replica) sendPendingEntries(to identifier.ReplicaID, p *progress) {
	for p.snapshotResendAt.IsZero() && p.next <= r.log.last().Index && r.inflightCapacity(p) > 0 {
		r.sendAppend(to, p)
	}
}

// inflightCapacity returns how many more entries may be sent to a member
// before it acknowledges some.
func (r *Replica) inflightCapacity(p *progress) int {
	return r.cfg.MaxInflightEntries - int(p.next-p.match-1)
}

// sendAppend sends one message to a member: entries, a heartbeat if there are
// none or the in-flight limit is reached, or a snapshot if the log no longer
// holds the next entry.
func (r *Replica) sendAppend(to identifier.ReplicaID, p *progress) {
	if !p.snapshotResendAt.IsZero() && r.now.Before(p.snapshotResendAt) {
		r.sendHeartbeat(to, r.log.base)
		return
	}
	t, ok := r.log.termAt(p.next - 1)
	if !ok {
		p.snapshotResendAt = r.now.Add(r.cfg.SnapshotTimeout)
		r.emit(SendSnapshot{To: to, Term: r.state.Term, Stamp: r.nextStamp()})
		return
	}
	p.snapshotResendAt = time.Time{}
	previous := Position{p.next - 1, t}
	if p.next > r.log.last().Index || r.inflightCapacity(p) <= 0 {
		r.sendHeartbeat(to, previous)
		return
	}
	entries := r.log.batch(p.next, r.inflightCapacity(p), r.cfg.MaxMessageBytes)
	p.next += identifier.LogIndex(len(entries))
	r.setResendTime(p, entries)
	r.send(to, Append{Term: r.state.Term, Previous: previous, Entries: entries, Commit: r.commit, Stamp: r.nextStamp()})
}

const (
	// largeEntriesBytes is the size from which the entries of a message count
	// as large. Later heartbeats may overtake such a message and be rejected,
	// which does not mean that the entries are lost.
	largeEntriesBytes = 256 << 10
	// minTransferBytesPerSecond is the lowest assumed transfer rate of large
	// entries.
	minTransferBytesPerSecond = 1 << 20
)

// setResendTime sets the time before which large entries are not sent again.
// Without it, each rejected heartbeat that overtakes them would cause another
// transmission.
func (r *Replica) setResendTime(p *progress, entries []Entry) {
	n := 0
	for _, e := range entries {
		n += e.size()
	}
	p.resendAfter = time.Time{}
	if n >= largeEntriesBytes {
		p.resendAfter = r.now.Add(r.cfg.ElectionTimeout + time.Duration(n)*time.Second/minTransferBytesPerSecond)
	}
}

// sendHeartbeat sends a heartbeat.
func (r *Replica) sendHeartbeat(to identifier.ReplicaID, previous Position) {
	r.send(to, Append{Term: r.state.Term, Previous: previous, Commit: r.commit, Stamp: r.nextStamp()})
}

// onAppendAnswer records which entries a member has stored and which stamp it
// has echoed, and sends it further entries.
func (r *Replica) onAppendAnswer(from identifier.ReplicaID, m AppendAnswer) {
	if m.Term > r.state.Term {
		r.becomeFollower(m.Term, 0)
		return
	}
	p := r.lead.peers[from]
	if r.role != Leader || m.Term != r.state.Term || p == nil {
		return
	}
	p.echoedStamp = max(p.echoedStamp, m.Stamp)
	r.releaseReads()
	if m.Rejected {
		r.onAppendRejected(from, p, m.Match)
		return
	}
	if m.Match <= p.match {
		return
	}
	p.match = m.Match
	p.next = max(p.next, p.match+1)
	p.resendAfter = time.Time{}
	if p.match >= r.log.base.Index {
		p.snapshotResendAt = time.Time{}
	}
	r.updateCatchUp(p)
	r.advanceCommit()
	if r.role == Leader {
		r.sendPendingEntries(from, p)
	}
}

// onAppendRejected sends entries again from the point up to which the member's
// log may agree. An outdated rejection does no harm beyond sending entries
// twice.
func (r *Replica) onAppendRejected(from identifier.ReplicaID, p *progress, hint identifier.LogIndex) {
	next := max(p.match, min(hint, r.log.last().Index)) + 1
	if !p.snapshotResendAt.IsZero() || next >= p.next || r.now.Before(p.resendAfter) {
		return
	}
	p.next = next
	r.sendAppend(from, p)
}

// updateCatchUp ends a round of replication if the member has reached its
// target, and starts the next round.
func (r *Replica) updateCatchUp(p *progress) {
	c := &p.catchUp
	if p.match < c.target {
		return
	}
	c.done = r.now.Sub(c.started) < r.cfg.ElectionTimeout || p.match >= r.log.last().Index
	c.target, c.started = r.log.last().Index, r.now
}

// onAppend appends a leader's entries and answers.
func (r *Replica) onAppend(from identifier.ReplicaID, m Append) {
	if !r.acceptLeader(from, m.Term) {
		r.send(from, AppendAnswer{Term: r.state.Term, Rejected: true, Stamp: m.Stamp})
		return
	}
	previous, entries := r.skipCommitted(m)
	if !r.log.has(previous) {
		hint := r.log.conflictHint(previous)
		r.send(from, AppendAnswer{Term: m.Term, Rejected: true, Match: hint, Stamp: m.Stamp})
		return
	}
	match := previous.Index + identifier.LogIndex(len(entries))
	r.appendMissing(entries)
	answer := AppendAnswer{Term: m.Term, Match: match, Stamp: m.Stamp}
	if r.saves.isDurable(match) {
		r.send(from, answer)
	} else {
		r.sendAfterSync(from, answer)
	}
	r.commitTo(min(m.Commit, match))
}

// acceptLeader accepts from as the leader of term and reports true, unless the
// term is over or this replica is the leader of term.
func (r *Replica) acceptLeader(from identifier.ReplicaID, term identifier.Term) bool {
	if term < r.state.Term || r.role == Leader && term == r.state.Term {
		return false
	}
	if r.role != Follower || term > r.state.Term || r.leader != from {
		r.becomeFollower(term, from)
	}
	r.lastContact = r.now
	r.resetElectionDeadline()
	return true
}

// skipCommitted returns the previous position and entries of m without those
// that this replica has committed. These agree with the log of every later
// leader.
func (r *Replica) skipCommitted(m Append) (Position, []Entry) {
	previous, entries := m.Previous, m.Entries
	if previous.Index >= r.commit {
		return previous, entries
	}
	skip := min(int(r.commit-previous.Index), len(entries))
	t, _ := r.log.termAt(r.commit)
	if skip < int(r.commit-previous.Index) {
		return Position{r.commit, t}, nil
	}
	return Position{r.commit, t}, entries[skip:]
}

// appendMissing removes log entries that conflict with entries, and appends the
// entries that the log lacks (Raft, section 5.3).
func (r *Replica) appendMissing(entries []Entry) {
	for i, e := range entries {
		if r.log.has(Position{e.Index, e.Term}) {
			continue
		}
		if e.Index <= r.log.last().Index {
			r.truncate(e.Index)
		}
		r.saveEntries(entries[i:])
		return
	}
}
