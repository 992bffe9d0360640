package replicator

import "cyclamenhub.org/identifier"

// saveQueue tracks which Save effects and log entries are on stable storage.
type saveQueue struct {
	lastSeq uint64
	pending []pendingSave
	// durableIndex is the last log index on stable storage.
	durableIndex identifier.LogIndex
	// storedSeq is the number of the last stored Save effect, and stateSeq that
	// of the last one that changed the term or vote.
	storedSeq, stateSeq uint64
}

// pendingSave is a Save effect that is not yet reported as stored.
type pendingSave struct {
	seq       uint64
	lastIndex identifier.LogIndex
}

// enqueue adds a Save effect, after which the log is stored up to last, and
// returns its number.
func (q *saveQueue) enqueue(last identifier.LogIndex) uint64 {
	q.lastSeq++
	q.pending = append(q.pending, pendingSave{q.lastSeq, last})
	return q.lastSeq
}

// truncate marks entries at and after first as not stored.
func (q *saveQueue) truncate(first identifier.LogIndex) {
	q.durableIndex = min(q.durableIndex, first-1)
	for i := range q.pending {
		q.pending[i].lastIndex = min(q.pending[i].lastIndex, first-1)
	}
}

// markSynced records that all Save effects up to seq are stored.
func (q *saveQueue) markSynced(seq uint64) {
	n := 0
	for n < len(q.pending) && q.pending[n].seq <= seq {
		q.durableIndex = max(q.durableIndex, q.pending[n].lastIndex)
		n++
	}
	q.pending = q.pending[n:]
	q.storedSeq = max(q.storedSeq, seq)
}

// isDurable reports whether the current term and vote and the log up to i are
// stored.
func (q *saveQueue) isDurable(i identifier.LogIndex) bool {
	return i <= q.durableIndex && q.stateSeq <= q.storedSeq
}

// saveState changes the term and vote and stores them.
func (r *Replica) saveState(s HardState) {
	r.state = s
	r.saves.stateSeq = r.saves.enqueue(0)
	r.emit(SaveState{Seq: r.saves.stateSeq, State: s})
}

// saveEntries appends entries to the log and stores them.
func (r *Replica) saveEntries(entries []Entry) {
	r.log.append(entries...)
	for _, e := range entries {
		r.configs.add(e)
	}
	r.emit(SaveEntries{Seq: r.saves.enqueue(r.log.last().Index), Entries: entries})
}

// truncate removes the log entries at and after first.
func (r *Replica) truncate(first identifier.LogIndex) {
	r.log.truncate(first)
	r.saves.truncate(first)
	r.configs.truncate(first)
}

// onSynced counts this replica's own stored vote or stored entries towards the
// quorum.
func (r *Replica) onSynced(seq uint64) {
	r.saves.markSynced(seq)
	switch r.role {
	case Candidate:
		r.becomeLeaderIfElected()
	case Leader:
		r.advanceCommit()
	case Follower, PreCandidate:
	}
}
