package replicator

import "cyclamenhub.org/identifier"

// withholdsVotes reports whether this replica refuses votes because a leader,
// possibly itself, may hold a lease (Ongaro, section 4.2.3).
func (r *Replica) withholdsVotes() bool {
	return r.role == Leader || r.now.Sub(r.lastContact) < r.cfg.ElectionTimeout
}

// isUpToDate reports whether a log that ends at last is at least as up to date
// as this replica's log. Then it holds every entry of this log that may be
// committed (Raft, section 5.4.1).
func (r *Replica) isUpToDate(last Position) bool {
	own := r.log.last()
	if last.Term != own.Term {
		return last.Term > own.Term
	}
	return last.Index >= own.Index
}

// startPreVote asks the voters whether this replica could win an election. An
// election without it would raise the term and depose a leader that the other
// members still follow.
func (r *Replica) startPreVote() {
	r.role, r.leader = PreCandidate, 0
	r.granted = map[identifier.ReplicaID]bool{r.cfg.ID: true}
	r.resetElectionDeadline()
	r.emitRole()
	r.requestVotes(PreVote{Term: r.state.Term + 1, Last: r.log.last()})
}

// campaign increments the term, votes for this replica and requests votes.
func (r *Replica) campaign() {
	r.role, r.leader = Candidate, 0
	r.granted = map[identifier.ReplicaID]bool{r.cfg.ID: true}
	r.saveState(HardState{Term: r.state.Term + 1, Vote: r.cfg.ID})
	r.resetElectionDeadline()
	r.emitRole()
	r.requestVotes(Vote{Term: r.state.Term, Last: r.log.last()})
}

// requestVotes sends m to every other voter.
func (r *Replica) requestVotes(m Message) {
	_, afterSync := m.(Vote)
	for _, x := range r.members() {
		if x.Voter && x.ID != r.cfg.ID {
			r.emit(Send{To: x.ID, Message: m, AfterSync: afterSync})
		}
	}
}

// onPreVote answers whether this replica would vote for the sender. It does not
// change any state.
func (r *Replica) onPreVote(from identifier.ReplicaID, m PreVote) {
	if m.Term > r.state.Term && !r.withholdsVotes() && r.isUpToDate(m.Last) {
		r.send(from, PreVoteAnswer{Term: m.Term, Granted: true})
		return
	}
	r.send(from, PreVoteAnswer{Term: r.state.Term})
}

// onPreVoteAnswer counts a granted pre-vote and campaigns once a quorum has
// granted one. A refusal with a higher term makes this replica a follower of
// that term.
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

// onVote votes for at most one candidate per term. While a leader may hold a
// lease, this replica does not answer and keeps its term.
func (r *Replica) onVote(from identifier.ReplicaID, m Vote) {
	if r.withholdsVotes() {
		return
	}
	if m.Term > r.state.Term {
		r.becomeFollower(m.Term, 0)
	}
	canVote := r.state.Vote == 0 || r.state.Vote == from
	granted := m.Term == r.state.Term && canVote && r.isUpToDate(m.Last)
	if granted {
		r.becomeFollower(m.Term, 0)
		if r.state.Vote == 0 {
			r.saveState(HardState{Term: m.Term, Vote: from})
		}
		r.resetElectionDeadline()
	}
	r.sendAfterSync(from, VoteAnswer{Term: r.state.Term, Granted: granted})
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
	r.becomeLeaderIfElected()
}

// becomeLeaderIfElected makes this replica the leader once a quorum has voted
// for it and its own vote is stored.
func (r *Replica) becomeLeaderIfElected() {
	if r.hasQuorum() && r.saves.isDurable(0) {
		r.becomeLeader()
	}
}

// hasQuorum reports whether a quorum of voters has granted a vote or pre-vote.
func (r *Replica) hasQuorum() bool {
	n := 0
	for _, x := range r.members() {
		if x.Voter && r.granted[x.ID] {
			n++
		}
	}
	return n >= r.members().Quorum()
}
