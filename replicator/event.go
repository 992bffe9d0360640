package replicator

import "cyclamenhub.org/identifier"

// Event is an input to a replica.
type Event interface{ isEvent() }

// Tick reports that time has passed.
type Tick struct{}

// Receive delivers a message from another replica.
type Receive struct {
	From    identifier.ReplicaID
	Message Message
}

// Propose requests that commands are appended to the log, in order.
type Propose struct{ Proposals []Proposal }

// Proposal is one command. Its Accepted or Refused effect carries the same ID.
type Proposal struct {
	ID   uint64
	Data []byte
}

// ChangeMembers requests one change of membership.
type ChangeMembers struct {
	ID     uint64
	Change Change
}

// Read requests a read index. Its ReadReady or Refused effect carries the same
// ID.
type Read struct{ ID uint64 }

// Synced reports that every Save effect up to Seq is on stable storage.
type Synced struct{ Seq uint64 }

// Compact provides a snapshot of the state machine, taken after the last Apply
// effect.
type Compact struct{ Data []byte }

// Halt halts the replica, for example because its storage failed. The replica
// sends no more messages and refuses all requests until it is restarted.
type Halt struct{}

func (Tick) isEvent()          {}
func (Receive) isEvent()       {}
func (Propose) isEvent()       {}
func (ChangeMembers) isEvent() {}
func (Read) isEvent()          {}
func (Synced) isEvent()        {}
func (Compact) isEvent()       {}
func (Halt) isEvent()          {}

// Change is one change of membership.
type Change interface{ isChange() }

// AddLearner adds a replica that receives the log and has no vote.
type AddLearner struct {
	ID   identifier.ReplicaID
	Host identifier.Host
}

// Promote turns a learner that has caught up into a voter.
type Promote struct{ ID identifier.ReplicaID }

// Remove removes a replica from the group.
type Remove struct{ ID identifier.ReplicaID }

func (AddLearner) isChange() {}
func (Promote) isChange()    {}
func (Remove) isChange()     {}
