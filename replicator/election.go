package replicator

import "cyclamenhub.org/identifier"

// backsLeader reports whether this replica may back a lease and therefore
// refuses votes (Ongaro, section 4.2.3).
func (r *Replica) backsLeader() bool {
	return r.role == Leader || r.now.Sub(r.contact) < r.cfg.ElectionTimeout
}

// isUpToDate reports whether a log that ends at last holds everything that
// this replica's log could have committed (Raft, section 5.4.1).
func (r *Replica) isUpToDate(last Position) bool {
	own := r.log.last()
	if last.Term != own.Term {
		return last.Term > own.Term
	}
	return last.Index >= own.Index
}

// startPreVote asks whether an election could be won, before it raises the
// term and disturbs a leader that others still hear.
func (r *Replica) startPreVote() {
	r.role, r.leader = PreCandidate, 0
	r.granted = map[identifier.ReplicaID]bool{r.cfg.ID: true}
	r.resetDeadline()
	r.emitRole()
	r.askVoters(PreVote{Term: r.state.Term + 1, Last: r.log.last()})
}

// campaign raises the term, votes for itself and asks for votes.
func (r *Replica) campaign() {
	r.role, r.leader = Candidate, 0
	r.granted = map[identifier.ReplicaID]bool{r.cfg.ID: true}
	r.saveState(HardState{Term: r.state.Term + 1, Vote: r.cfg.ID})
	r.resetDeadline()
	r.emitRole()
	r.askVoters(Vote{Term: r.state.Term, Last: r.log.last()})
}

// askVoters sends m to every other voter.
func (r *Replica) askVoters(m Message) {
	_, isPromise := m.(Vote)
	for _, x := range r.members() {
		if x.Voter && x.ID != r.cfg.ID {
			r.emit(Send{To: x.ID, Message: m, Promise: isPromise})
		}
	}
}

// onPreVote answers whether this replica would vote for the sender. It changes
// nothing.
func (r *Replica) onPreVote(from identifier.ReplicaID, m PreVote) {
	if m.Term > r.state.Term && !r.backsLeader() && r.isUpToDate(m.Last) {
		r.send(from, PreVoteAnswer{Term: m.Term, Granted: true})
		return
	}
	r.send(from, PreVoteAnswer{Term: r.state.Term})
}

// onPreVoteAnswer counts a willing voter, or learns a higher term.
func (r *Replica) onPreVoteAnswer(from identifier.ReplicaID, m PreVoteAnswer) {
	if !m.Granted {
		if m.Term > r.state.Term {
			r.becomeFollower(m.Term, 0)
		}
		return
	}
	if r.role != PreCandidate || m.Term != r.state.Term+1 {
		return
	}
	r.granted[from] = true
	if r.hasQuorum() {
		r.campaign()
	}
}

// onVote gives this replica's vote to at most one candidate a term. While it
// backs a leader it does not answer, and keeps its term.
func (r *Replica) onVote(from identifier.ReplicaID, m Vote) {
	if r.backsLeader() {
		return
	}
	if m.Term > r.state.Term {
		r.becomeFollower(m.Term, 0)
	}
	free := r.state.Vote == 0 || r.state.Vote == from
	granted := m.Term == r.state.Term && free && r.isUpToDate(m.Last)
	if granted {
		r.becomeFollower(m.Term, 0)
		if r.state.Vote == 0 {
			r.saveState(HardState{Term: m.Term, Vote: from})
		}
		r.resetDeadline()
	}
	r.promise(from, VoteAnswer{Term: r.state.Term, Granted: granted})
}

// onVoteAnswer counts a vote.
func (r *Replica) onVoteAnswer(from identifier.ReplicaID, m VoteAnswer) {
	if m.Term > r.state.Term {
		r.becomeFollower(m.Term, 0)
		return
	}
	if r.role != Candidate || m.Term != r.state.Term || !m.Granted {
		return
	}
	r.granted[from] = true
	r.countVotes()
}

// countVotes takes the lead once a quorum has voted for this replica and its
// own vote is stored.
func (r *Replica) countVotes() {
	if r.hasQuorum() && r.saves.holds(0) {
		r.becomeLeader()
	}
}

// hasQuorum reports whether a quorum of the voters has granted.
func (r *Replica) hasQuorum() bool {
	n := 0
	for _, x := range r.members() {
		if x.Voter && r.granted[x.ID] {
			n++
		}
	}
	return n >= r.members().Quorum()
}
