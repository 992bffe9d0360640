package replicator

import (
	"time"

	"cyclamenhub.org/identifier"
)

// broadcast sends every member what it lacks, or a heartbeat.
func (r *Replica) broadcast() {
	r.lead.beat = r.now
	for _, x := range r.members() {
		if p := r.lead.peers[x.ID]; p != nil {
			r.sendAppend(x.ID, p)
		}
	}
}

// replicate sends new entries to the members that have room for them.
func (r *Replica) replicate() {
	for _, x := range r.members() {
		if p := r.lead.peers[x.ID]; p != nil {
			r.sendMore(x.ID, p)
		}
	}
}

// sendMore sends entries to a member as long as there are any and it has room.
func (r *Replica) sendMore(to identifier.ReplicaID, p *progress) {
	for p.snapshotUntil.IsZero() && p.next <= r.log.last().Index && r.room(p) > 0 {
		r.sendAppend(to, p)
	}
}

// room returns how many more entries may be sent to a member.
func (r *Replica) room(p *progress) int {
	return r.cfg.MaxInflightEntries - int(p.next-p.match-1)
}

// sendAppend sends one message: entries, a heartbeat if there are none or no
// room, or a snapshot if the log no longer holds what the member lacks.
func (r *Replica) sendAppend(to identifier.ReplicaID, p *progress) {
	if !p.snapshotUntil.IsZero() && r.now.Before(p.snapshotUntil) {
		r.sendEmpty(to, r.log.base)
		return
	}
	t, ok := r.log.termAt(p.next - 1)
	if !ok {
		p.snapshotUntil = r.now.Add(r.cfg.SnapshotTimeout)
		r.emit(SendSnapshot{To: to, Term: r.state.Term, Stamp: r.nextStamp()})
		return
	}
	p.snapshotUntil = time.Time{}
	previous := Position{p.next - 1, t}
	if p.next > r.log.last().Index || r.room(p) <= 0 {
		r.sendEmpty(to, previous)
		return
	}
	entries := r.log.batch(p.next, r.room(p), r.cfg.MaxMessageBytes)
	p.next += identifier.LogIndex(len(entries))
	r.noteUnderway(p, entries)
	r.send(to, Append{Term: r.state.Term, Previous: previous, Entries: entries, Commit: r.commit, Stamp: r.nextStamp()})
}

const (
	// largeBytes is the size of entries that heartbeats may overtake by far, so
	// that a rejection of these does not say that the entries are lost.
	largeBytes = 256 << 10
	// slowBytesPerSecond is the pace at which they arrive at the worst.
	slowBytesPerSecond = 1 << 20
)

// noteUnderway notes when large entries are sent again that are not answered.
// Without it every heartbeat that overtakes them would have them sent once more.
func (r *Replica) noteUnderway(p *progress, entries []Entry) {
	n := 0
	for _, e := range entries {
		n += e.size()
	}
	p.underway = time.Time{}
	if n >= largeBytes {
		p.underway = r.now.Add(r.cfg.ElectionTimeout + time.Duration(n)*time.Second/slowBytesPerSecond)
	}
}

// sendEmpty sends a heartbeat.
func (r *Replica) sendEmpty(to identifier.ReplicaID, previous Position) {
	r.send(to, Append{Term: r.state.Term, Previous: previous, Commit: r.commit, Stamp: r.nextStamp()})
}

// onAppendAnswer learns what a member has stored and heard.
func (r *Replica) onAppendAnswer(from identifier.ReplicaID, m AppendAnswer) {
	if m.Term > r.state.Term {
		r.becomeFollower(m.Term, 0)
		return
	}
	p := r.lead.peers[from]
	if r.role != Leader || m.Term != r.state.Term || p == nil {
		return
	}
	p.heard = max(p.heard, m.Stamp)
	r.releaseReads()
	if m.Rejected {
		r.onRejected(from, p, m.Match)
		return
	}
	if m.Match <= p.match {
		return
	}
	p.match = m.Match
	p.next = max(p.next, p.match+1)
	p.underway = time.Time{}
	if p.match >= r.log.base.Index {
		p.snapshotUntil = time.Time{}
	}
	r.measureCatchUp(p)
	r.advanceCommit()
	if r.role == Leader {
		r.sendMore(from, p)
	}
}

// onRejected goes back to where the member's log may agree. A rejection that
// was overtaken costs no more than entries sent twice.
func (r *Replica) onRejected(from identifier.ReplicaID, p *progress, hint identifier.LogIndex) {
	next := max(p.match, min(hint, r.log.last().Index)) + 1
	if !p.snapshotUntil.IsZero() || next >= p.next || r.now.Before(p.underway) {
		return
	}
	p.next = next
	r.sendAppend(from, p)
}

// measureCatchUp ends a round of replication that reached its target and
// starts the next one.
func (r *Replica) measureCatchUp(p *progress) {
	c := &p.catchUp
	if p.match < c.target {
		return
	}
	c.done = r.now.Sub(c.started) < r.cfg.ElectionTimeout || p.match >= r.log.last().Index
	c.target, c.started = r.log.last().Index, r.now
}

// onAppend takes a leader's entries.
func (r *Replica) onAppend(from identifier.ReplicaID, m Append) {
	if !r.follow(from, m.Term) {
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
	r.takeEntries(entries)
	answer := AppendAnswer{Term: m.Term, Match: match, Stamp: m.Stamp}
	if r.saves.holds(match) {
		r.send(from, answer)
	} else {
		r.promise(from, answer)
	}
	r.commitTo(min(m.Commit, match))
}

// follow accepts from as the leader of term, unless the term is over.
func (r *Replica) follow(from identifier.ReplicaID, term identifier.Term) bool {
	if term < r.state.Term || r.role == Leader && term == r.state.Term {
		return false
	}
	if r.role != Follower || term > r.state.Term || r.leader != from {
		r.becomeFollower(term, from)
	}
	r.contact = r.now
	r.resetDeadline()
	return true
}

// skipCommitted leaves out of m what this replica has committed, which agrees
// with every later leader's log.
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

// takeEntries appends those of entries that the log lacks, after it dropped
// what conflicts with them (Raft, section 5.3).
func (r *Replica) takeEntries(entries []Entry) {
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
