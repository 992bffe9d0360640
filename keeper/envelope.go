package keeper

import (
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/replicator"
)

// Envelope is a message between two replicas of a group.
type Envelope struct {
	Group    identifier.GroupID
	From, To identifier.ReplicaID
	FromHost identifier.Host
	Payload  Payload
}

// Payload is the content of an Envelope.
type Payload interface{ isPayload() }

// Replication carries a message of the replicator.
type Replication struct{ Message replicator.Message }

// Announce announces a replica that has no members yet or has lost its leader.
// Its envelope has no receiving replica.
type Announce struct {
	// HasMembers reports that the sender has members.
	HasMembers bool
	// Answer reports that the message answers another Announce and needs no
	// answer.
	Answer bool
}

// Forward forwards a proposal, or a membership change if Change is set, to the
// leader.
type Forward struct {
	ID     uint64
	Data   []byte
	Change replicator.Change
}

// ForwardAnswer carries the outcome of a Forward.
type ForwardAnswer struct {
	ID     uint64
	Result []byte
	// Refusal is the JSON form of a refusal; it is empty if the proposal
	// succeeded.
	Refusal []byte
}

func (Replication) isPayload()   {}
func (Announce) isPayload()      {}
func (Forward) isPayload()       {}
func (ForwardAnswer) isPayload() {}
