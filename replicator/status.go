package replicator

import (
	"time"

	"cyclamenhub.org/identifier"
)

// Status describes the state of a replica.
type Status struct {
	ID     identifier.ReplicaID
	Role   Role
	Term   identifier.Term
	Leader identifier.ReplicaID
	// Members are the members in effect, which may not be committed yet, and
	// Committed are the last committed ones. Only the committed ones are sure to
	// survive the loss of a minority.
	Members   Members
	Committed Members
	Commit    identifier.LogIndex
	Last      Position
	// Base is the position before the first log entry, and Snapshot that of the
	// latest snapshot.
	Base, Snapshot Position
	// Match is, on a leader, the last index that each other member is known to
	// have stored.
	Match map[identifier.ReplicaID]identifier.LogIndex
	// Halted reports that the replica halted after a Halt event.
	Halted bool
}

// Status returns a copy of the replica's status.
func (r *Replica) Status() Status {
	s := Status{
		ID: r.cfg.ID, Role: r.role, Term: r.state.Term, Leader: r.leader,
		Members: r.members(), Committed: r.configs.at(r.commit), Commit: r.commit, Last: r.log.last(),
		Base: r.log.base, Snapshot: r.snapshot, Halted: r.halted,
	}
	if r.role == Leader {
		s.Match = make(map[identifier.ReplicaID]identifier.LogIndex, len(r.lead.peers))
		for id, p := range r.lead.peers {
			s.Match[id] = p.match
		}
	}
	return s
}

// Members returns the members in effect, committed or not.
func (r *Replica) Members() Members { return r.members() }

// Role returns the current role.
func (r *Replica) Role() Role { return r.role }

// Commit returns the index of the last committed entry, which is also the last
// applied one.
func (r *Replica) Commit() identifier.LogIndex { return r.commit }

// UnsnapshottedEntries returns the number of applied entries that no snapshot
// covers.
func (r *Replica) UnsnapshottedEntries() int { return int(r.commit - r.snapshot.Index) }

// LastAckedSendTime returns when this replica, as the leader, sent the last
// message that the member id has answered. If the member is unknown or has
// answered none, it returns the time of this replica's election.
func (r *Replica) LastAckedSendTime(id identifier.ReplicaID) time.Time {
	if p := r.lead.peers[id]; p != nil {
		return r.sentAt(p.echoedStamp)
	}
	return r.lead.electedAt
}
