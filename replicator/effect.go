package replicator

import "cyclamenhub.org/identifier"

// Effect is something that the driver of a replica has to do. Save effects are
// carried out in their order.
type Effect interface{ isEffect() }

// SaveState stores the term and vote.
type SaveState struct {
	Seq   uint64
	State HardState
}

// SaveEntries stores entries. Stored entries at or after the first one's index
// are overwritten.
type SaveEntries struct {
	Seq     uint64
	Entries []Entry
}

// SaveCheckpoint replaces all that is stored.
type SaveCheckpoint struct {
	Seq    uint64
	Stored Stored
}

// Send sends a message. With Promise set it may leave only after every earlier
// Save effect is on stable storage.
type Send struct {
	To      identifier.ReplicaID
	Message Message
	Promise bool
}

// SendSnapshot sends the latest stored snapshot as an InstallSnapshot message
// with this term and stamp.
type SendSnapshot struct {
	To    identifier.ReplicaID
	Term  identifier.Term
	Stamp Stamp
}

// Apply hands committed entries to the state machine, in order.
type Apply struct{ Entries []Entry }

// Restore replaces the state machine's state.
type Restore struct{ Snapshot Snapshot }

// Accepted tells where a proposal or change stands in the log. It is committed
// only once the entry with this index and term is applied.
type Accepted struct {
	ID uint64
	Position
}

// Refused tells that a proposal, change or read was not taken and has no
// effect.
type Refused struct {
	ID  uint64
	Err error
}

// ReadReady tells that a read is linearizable once Index is applied.
type ReadReady struct {
	ID    uint64
	Index identifier.LogIndex
}

// RoleChanged tells that the role, term or known leader changed.
type RoleChanged struct {
	Role   Role
	Term   identifier.Term
	Leader identifier.ReplicaID
}

func (SaveState) isEffect()      {}
func (SaveEntries) isEffect()    {}
func (SaveCheckpoint) isEffect() {}
func (Send) isEffect()           {}
func (SendSnapshot) isEffect()   {}
func (Apply) isEffect()          {}
func (Restore) isEffect()        {}
func (Accepted) isEffect()       {}
func (Refused) isEffect()        {}
func (ReadReady) isEffect()      {}
func (RoleChanged) isEffect()    {}
