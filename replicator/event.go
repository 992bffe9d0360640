package replicator

import "cyclamenhub.org/identifier"

// Event is something that happened to a replica.
type Event interface{ isEvent() }

// Tick tells that time has passed.
type Tick struct{}

// Receive hands over a message from another replica.
type Receive struct {
	From    identifier.ReplicaID
	Message Message
}

// Propose asks for commands to be appended to the log, in order.
type Propose struct{ Proposals []Proposal }

// Proposal is one command. ID comes back in Accepted or Refused.
type Proposal struct {
	ID   uint64
	Data []byte
}

// ChangeMembers asks for one change of membership.
type ChangeMembers struct {
	ID     uint64
	Change Change
}

// Read asks for a read index. ID comes back in ReadReady or Refused.
type Read struct{ ID uint64 }

// Synced tells that every Save effect up to Seq is on stable storage.
type Synced struct{ Seq uint64 }

// Compact hands over a snapshot of the state machine as it stands after the
// last Apply effect.
type Compact struct{ Data []byte }

// StepAside tells that this replica's storage failed. The replica says nothing
// any more, until it is started again.
type StepAside struct{}

func (Tick) isEvent()          {}
func (Receive) isEvent()       {}
func (Propose) isEvent()       {}
func (ChangeMembers) isEvent() {}
func (Read) isEvent()          {}
func (Synced) isEvent()        {}
func (Compact) isEvent()       {}
func (StepAside) isEvent()     {}

// Change is one change of membership.
type Change interface{ isChange() }

// AddLearner adds a replica that receives the log and has no vote.
type AddLearner struct {
	ID   identifier.ReplicaID
	Host identifier.Host
}

// Promote makes a learner that has caught up a voter.
type Promote struct{ ID identifier.ReplicaID }

// Remove takes a replica out of the group.
type Remove struct{ ID identifier.ReplicaID }

func (AddLearner) isChange() {}
func (Promote) isChange()    {}
func (Remove) isChange()     {}
