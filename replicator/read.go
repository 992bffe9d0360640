package replicator

import "cyclamenhub.org/identifier"

// pendingRead waits until a quorum has heard a message that was sent after the
// read came in.
type pendingRead struct {
	id uint64
	// from is the replica that asked, or 0 for this one.
	from  identifier.ReplicaID
	index identifier.LogIndex
	// stamp is the highest one sent before the read came in.
	stamp Stamp
}

// read finds a read index, by way of the leader if need be (Ongaro, section
// 6.4).
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

// onReadRequest finds a read index for another replica. If it cannot, it does
// not answer and the asker's time limit ends the read.
func (r *Replica) onReadRequest(from identifier.ReplicaID, m ReadRequest) {
	if r.role == Leader && len(r.lead.reads) < r.cfg.MaxReads {
		r.queueRead(pendingRead{id: m.ID, from: from})
	}
}

// queueRead lets p wait for a round of heartbeats. A read that comes before the
// first commit of this term waits for that too.
func (r *Replica) queueRead(p pendingRead) {
	if len(r.lead.reads) >= r.cfg.MaxReads {
		r.emit(Refused{p.id, &FullError{"the list of waiting reads", r.cfg.MaxReads}})
		return
	}
	p.stamp = r.lead.stamp
	p.index = max(r.commit, r.lead.first)
	r.lead.reads = append(r.lead.reads, p)
	if !r.releaseReads() {
		r.broadcast()
	}
}

// releaseReads answers the reads that a quorum has confirmed and reports
// whether none is left.
func (r *Replica) releaseReads() bool {
	heard := r.quorumStamp()
	n := 0
	for n < len(r.lead.reads) && r.leads() && heard > r.lead.reads[n].stamp {
		r.answerRead(r.lead.reads[n])
		n++
	}
	r.lead.reads = r.lead.reads[n:]
	return len(r.lead.reads) == 0
}

// answerRead tells the asker its read index.
func (r *Replica) answerRead(p pendingRead) {
	if p.from == 0 {
		r.emit(ReadReady{ID: p.id, Index: p.index})
		return
	}
	r.send(p.from, ReadAnswer{Term: r.state.Term, ID: p.id, Index: p.index})
}

// failReads refuses this replica's own waiting reads.
func (r *Replica) failReads() {
	for _, p := range r.lead.reads {
		if p.from == 0 {
			r.emit(Refused{p.id, &NotLeaderError{}})
		}
	}
	r.lead.reads = nil
}
