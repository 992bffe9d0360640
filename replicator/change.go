package replicator

import (
	"fmt"

	"cyclamenhub.org/identifier"
)

// changeMembers appends the membership that results from one change. The next
// change waits until this one is committed, so that every quorum of the old
// members and every quorum of the new ones share a voter (Ongaro, section 4.1).
func (r *Replica) changeMembers(id uint64, c Change) {
	next, err := r.checkChange(c)
	if err != nil {
		r.emit(Refused{id, err})
		return
	}
	e := Entry{Kind: Membership, Data: next.Encode()}
	if err := r.admit(e, 0, r.lead.uncommittedBytes); err != nil {
		r.emit(Refused{id, err})
		return
	}
	r.emit(Accepted{id, Position{r.log.last().Index + 1, r.state.Term}})
	r.appendAsLeader(e)
	r.updatePeers()
	r.broadcast()
}

// checkChange returns the members after c, or an error that says why c is
// refused.
func (r *Replica) checkChange(c Change) (Members, error) {
	if r.role != Leader {
		return nil, &NotLeaderError{r.leader}
	}
	if !r.hasCommittedInTerm() {
		// A change before the first commit of a term could combine with an
		// uncommitted change of an earlier term, and their quorums need not
		// overlap (Ongaro, raft-dev list, 2015).
		return nil, &ChangeError{"this leader has not yet committed an entry of its term", "try again in a moment"}
	}
	if r.configs.latestSince() > r.commit {
		return nil, &ChangeError{"another change of members is not yet committed", "make one change at a time"}
	}
	switch c := c.(type) {
	case AddLearner:
		return r.checkAdd(c)
	case Promote:
		return r.checkPromote(c)
	case Remove:
		return r.checkRemove(c)
	default:
		return nil, &ChangeError{"the change is of no known kind", "send one of AddLearner, Promote and Remove"}
	}
}

// checkAdd returns the members with a new learner.
func (r *Replica) checkAdd(c AddLearner) (Members, error) {
	if _, ok := r.members().Find(c.ID); ok || c.ID == 0 {
		return nil, &ChangeError{fmt.Sprintf("replica %d is a member or no valid id", c.ID), "give a new replica a fresh id"}
	}
	if len(r.members()) >= MaxMembers {
		return nil, &FullError{"the list of members", MaxMembers}
	}
	return r.members().with(Member{ID: c.ID, Host: c.Host}), nil
}

// checkPromote returns the members after a learner became a voter.
func (r *Replica) checkPromote(c Promote) (Members, error) {
	m, ok := r.members().Find(c.ID)
	if !ok || m.Voter {
		return nil, &ChangeError{fmt.Sprintf("replica %d is no learner", c.ID), "list the members and name a learner"}
	}
	if !r.IsCaughtUp(c.ID) {
		return nil, &ChangeError{fmt.Sprintf("learner %d has not caught up", c.ID), "wait until it has stored the log"}
	}
	m.Voter = true
	return r.members().with(m), nil
}

// checkRemove returns the members after one was removed.
func (r *Replica) checkRemove(c Remove) (Members, error) {
	m, ok := r.members().Find(c.ID)
	if !ok {
		return nil, &ChangeError{fmt.Sprintf("replica %d is no member", c.ID), "list the members and name one"}
	}
	if m.Voter && r.members().Voters() == 1 {
		return nil, &ChangeError{fmt.Sprintf("replica %d is the last voter", c.ID), "promote another one first"}
	}
	return r.members().without(c.ID), nil
}

// IsCaughtUp reports whether this replica is the leader and the member id has
// stored every committed entry and keeps up with new ones.
func (r *Replica) IsCaughtUp(id identifier.ReplicaID) bool {
	p := r.lead.peers[id]
	return p != nil && p.catchUp.done && p.match >= r.commit
}
