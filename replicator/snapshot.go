package replicator

import "cyclamenhub.org/identifier"

// compact stores a snapshot of the applied state and removes the log entries
// that it covers, except for TrailingEntries (Raft, section 7).
func (r *Replica) compact(data []byte) {
	t, ok := r.log.termAt(r.commit)
	if !ok || r.commit <= r.snapshot.Index {
		return
	}
	r.snapshot = Position{r.commit, t}
	r.log.compact(r.trailingFrom())
	r.saveCheckpoint(Snapshot{Position: r.snapshot, Members: r.configs.at(r.commit), Data: data})
	r.configs.compact(r.commit)
}

// trailingFrom returns the index after which entries stay in the log when a
// snapshot covers all committed entries.
func (r *Replica) trailingFrom() identifier.LogIndex {
	entries := r.log.between(r.log.base.Index+1, r.commit)
	size, n := 0, 0
	for n < min(len(entries), r.cfg.TrailingEntries) {
		size += entries[len(entries)-n-1].size()
		if size > r.cfg.TrailingBytes {
			break
		}
		n++
	}
	return r.commit - identifier.LogIndex(n)
}

// saveCheckpoint stores the snapshot, the term and vote and the full log.
func (r *Replica) saveCheckpoint(s Snapshot) {
	r.emit(SaveCheckpoint{Seq: r.saves.enqueue(r.log.last().Index), Stored: Stored{
		State: r.state, Snapshot: s, Base: r.log.base,
		Entries: r.log.between(r.log.base.Index+1, r.log.last().Index),
	}})
}

// onInstallSnapshot replaces the log by a leader's snapshot. If the log already
// holds the snapshot's position, it only commits up to there.
func (r *Replica) onInstallSnapshot(from identifier.ReplicaID, m InstallSnapshot) {
	if !r.acceptLeader(from, m.Term) {
		r.send(from, AppendAnswer{Term: r.state.Term, Rejected: true, Stamp: m.Stamp})
		return
	}
	s := m.Snapshot
	switch {
	case s.Index <= r.commit:
	case r.log.has(s.Position):
		r.commitTo(s.Index)
	default:
		r.log = entryLog{base: s.Position}
		r.saves.truncate(1)
		r.configs.reset(s.Index, s.Members)
		r.snapshot, r.commit = s.Position, s.Index
		r.saveCheckpoint(s)
		r.emit(Restore{s})
	}
	r.sendAfterSync(from, AppendAnswer{Term: m.Term, Match: r.commit, Stamp: m.Stamp})
}
