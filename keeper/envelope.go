package keeper

import (
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/replicator"
)

// Envelope is one message between two replicas of a group.
type Envelope struct {
	Group    identifier.GroupID
	From, To identifier.ReplicaID
	FromHost identifier.Host
	Payload  Payload
}

// Payload is what an Envelope carries.
type Payload interface{ isPayload() }

// Replication is a message of the replicator.
type Replication struct{ Message replicator.Message }

// Announce tells of a replica that has no members yet. Its envelope names no
// receiver.
type Announce struct {
	// Founded tells that the sender has members.
	Founded bool
	// Answer tells that the message answers another one and wants none.
	Answer bool
}

// Forward passes a proposal on to the leader, or a change of members if Change
// is set.
type Forward struct {
	ID     uint64
	Data   []byte
	Change replicator.Change
}

// ForwardAnswer carries the outcome of a Forward.
type ForwardAnswer struct {
	ID     uint64
	Result []byte
	// Refusal is the JSON form of a refusal, or empty.
	Refusal []byte
}

func (Replication) isPayload()   {}
func (Announce) isPayload()      {}
func (Forward) isPayload()       {}
func (ForwardAnswer) isPayload() {}
