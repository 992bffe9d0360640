package replicator

import "cyclamenhub.org/identifier"

// saveQueue tracks which of the log is on stable storage.
type saveQueue struct {
	seq     uint64
	pending []pendingSave
	// durable is the last index of the log that is stored.
	durable identifier.LogIndex
	// stored is the number of the last Save effect that is stored, and state
	// that of the last one which changed the term or vote.
	stored, state uint64
}

// pendingSave is a Save effect that is not known to be stored.
type pendingSave struct {
	seq  uint64
	last identifier.LogIndex
}

// next returns the number of a new Save effect, after which the log is stored
// up to last.
func (q *saveQueue) next(last identifier.LogIndex) uint64 {
	q.seq++
	q.pending = append(q.pending, pendingSave{q.seq, last})
	return q.seq
}

// truncate forgets that entries at and after first were saved.
func (q *saveQueue) truncate(first identifier.LogIndex) {
	q.durable = min(q.durable, first-1)
	for i := range q.pending {
		q.pending[i].last = min(q.pending[i].last, first-1)
	}
}

// synced notes that everything up to seq is stored.
func (q *saveQueue) synced(seq uint64) {
	n := 0
	for n < len(q.pending) && q.pending[n].seq <= seq {
		q.durable = max(q.durable, q.pending[n].last)
		n++
	}
	q.pending = q.pending[n:]
	q.stored = max(q.stored, seq)
}

// holds reports whether the present term and the log up to i are stored.
func (q *saveQueue) holds(i identifier.LogIndex) bool { return i <= q.durable && q.state <= q.stored }

// saveState changes the term and vote and stores them.
func (r *Replica) saveState(s HardState) {
	r.state = s
	r.saves.state = r.saves.next(0)
	r.emit(SaveState{Seq: r.saves.state, State: s})
}

// saveEntries appends entries to the log and stores them.
func (r *Replica) saveEntries(entries []Entry) {
	r.log.append(entries...)
	for _, e := range entries {
		r.configs.note(e)
	}
	r.emit(SaveEntries{Seq: r.saves.next(r.log.last().Index), Entries: entries})
}

// truncate drops the entries at and after first.
func (r *Replica) truncate(first identifier.LogIndex) {
	r.log.truncate(first)
	r.saves.truncate(first)
	r.configs.truncate(first)
}

// synced counts what this replica itself has stored, its vote for itself and
// its entries, towards the quorum.
func (r *Replica) synced(seq uint64) {
	r.saves.synced(seq)
	switch r.role {
	case Candidate:
		r.countVotes()
	case Leader:
		r.advanceCommit()
	case Follower, PreCandidate:
	}
}
