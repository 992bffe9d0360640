package replicator

import (
	"time"

	"cyclamenhub.org/identifier"
)

// Status is what a replica tells of itself.
type Status struct {
	ID     identifier.ReplicaID
	Role   Role
	Term   identifier.Term
	Leader identifier.ReplicaID
	// Members are those in force, which may not be committed yet, and Committed
	// those that are: only they outlast the loss of any minority.
	Members   Members
	Committed Members
	Commit    identifier.LogIndex
	Last      Position
	// Base and Snapshot tell what the log was compacted to.
	Base, Snapshot Position
	// Match is what a leader knows each other member to have stored.
	Match map[identifier.ReplicaID]identifier.LogIndex
	// SteppedAside tells that the storage failed.
	SteppedAside bool
}

// Status returns a copy of what is worth telling.
func (r *Replica) Status() Status {
	s := Status{
		ID: r.cfg.ID, Role: r.role, Term: r.state.Term, Leader: r.leader,
		Members: r.members(), Committed: r.configs.at(r.commit), Commit: r.commit, Last: r.log.last(),
		Base: r.log.base, Snapshot: r.snapshot, SteppedAside: r.aside,
	}
	if r.role == Leader {
		s.Match = make(map[identifier.ReplicaID]identifier.LogIndex, len(r.lead.peers))
		for id, p := range r.lead.peers {
			s.Match[id] = p.match
		}
	}
	return s
}

// Members returns the members in force.
func (r *Replica) Members() Members { return r.members() }

// Role returns the present role.
func (r *Replica) Role() Role { return r.role }

// Commit returns the index of the last committed entry, which is also the last
// applied one.
func (r *Replica) Commit() identifier.LogIndex { return r.commit }

// UnsnapshottedEntries returns how many applied entries no snapshot covers.
func (r *Replica) UnsnapshottedEntries() int { return int(r.commit - r.snapshot.Index) }

// HeardAt returns when this replica, if it leads, sent the last message that
// the member id has answered, or else the time of its election.
func (r *Replica) HeardAt(id identifier.ReplicaID) time.Time {
	if p := r.lead.peers[id]; p != nil {
		return r.sentAt(p.heard)
	}
	return r.lead.since
}
