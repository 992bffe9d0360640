package replicator

import "cyclamenhub.org/identifier"

// pendingRead is a read that waits until a quorum has answered a message that
// was sent after the read arrived.
type pendingRead struct {
	id uint64
	// from is the replica that requested the read, or 0 for this one.
	from  identifier.ReplicaID
	index identifier.LogIndex
	// stamp is the highest stamp sent before the read arrived.
	stamp Stamp
}

// read requests a read index, from the leader if this replica is not the leader
// (Ongaro, section 6.4).
func (r *Replica) read(id uint64) {
	switch {
	case r.role == Leader:
		r.queueRead(pendingRead{id: id})
	case r.leader != 0:
		r.send(r.leader, ReadRequest{Term: r.state.Term, ID: id})
	default:
		r.emit(Refused{id, &NotLeaderError{}})
	}
}

// onReadRequest queues a read of another replica. If this replica is not the
// leader or its queue is full, it does not answer, and the read ends with the
// requester's timeout.
func (r *Replica) onReadRequest(from identifier.ReplicaID, m ReadRequest) {
	if r.role == Leader && len(r.lead.reads) < r.cfg.MaxReads {
		r.queueRead(pendingRead{id: m.ID, from: from})
	}
}

// queueRead queues p until a quorum answers a round of heartbeats. A read that
// arrives before the first commit of this term also waits for that commit.
func (r *Replica) queueRead(p pendingRead) {
	if len(r.lead.reads) >= r.cfg.MaxReads {
		r.emit(Refused{p.id, &FullError{"the list of waiting reads", r.cfg.MaxReads}})
		return
	}
	p.stamp = r.lead.lastStamp
	p.index = max(r.commit, r.lead.firstOfTerm)
	r.lead.reads = append(r.lead.reads, p)
	if !r.releaseReads() {
		r.broadcast()
	}
}

// releaseReads answers the reads that a quorum has confirmed, and reports
// whether the queue is empty.
func (r *Replica) releaseReads() bool {
	confirmed := r.quorumStamp()
	n := 0
	for n < len(r.lead.reads) && r.hasCommittedInTerm() && confirmed > r.lead.reads[n].stamp {
		r.answerRead(r.lead.reads[n])
		n++
	}
	r.lead.reads = r.lead.reads[n:]
	return len(r.lead.reads) == 0
}

// answerRead returns the read index to this replica's driver, or sends it to
// the replica that requested it.
func (r *Replica) answerRead(p pendingRead) {
	if p.from == 0 {
		r.emit(ReadReady{ID: p.id, Index: p.index})
		return
	}
	r.send(p.from, ReadAnswer{Term: r.state.Term, ID: p.id, Index: p.index})
}

// failReads refuses the pending reads of this replica and drops those of
// others.
func (r *Replica) failReads() {
	for _, p := range r.lead.reads {
		if p.from == 0 {
			r.emit(Refused{p.id, &NotLeaderError{}})
		}
	}
	r.lead.reads = nil
}
