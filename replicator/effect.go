package replicator

import "cyclamenhub.org/identifier"

// Effect is an action that the driver of a replica has to carry out. Save
// effects must be carried out in order.
type Effect interface{ isEffect() }

// SaveState stores the term and vote.
type SaveState struct {
	Seq   uint64
	State HardState
}

// SaveEntries stores entries. They replace all stored entries at and after the
// index of the first one.
type SaveEntries struct {
	Seq     uint64
	Entries []Entry
}

// SaveCheckpoint replaces everything in storage.
type SaveCheckpoint struct {
	Seq    uint64
	Stored Stored
}

// Send sends a message. If AfterSync is set, the driver may send it only after
// every earlier Save effect is on stable storage.
type Send struct {
	To        identifier.ReplicaID
	Message   Message
	AfterSync bool
}

// SendSnapshot sends the latest stored snapshot as an InstallSnapshot message
// with the given term and stamp.
type SendSnapshot struct {
	To    identifier.ReplicaID
	Term  identifier.Term
	Stamp Stamp
}

// Apply applies committed entries to the state machine, in order.
type Apply struct{ Entries []Entry }

// Restore replaces the state of the state machine.
type Restore struct{ Snapshot Snapshot }

// Accepted reports the position of a proposal or change in the log. The entry
// is committed only once an Apply effect holds it with this index and term.
type Accepted struct {
	ID uint64
	Position
}

// Refused reports that a proposal, change or read was rejected and has no
// effect.
type Refused struct {
	ID  uint64
	Err error
}

// ReadReady reports that a read is linearizable once Index is applied.
type ReadReady struct {
	ID    uint64
	Index identifier.LogIndex
}

// RoleChanged reports that the role, the term or the known leader changed.
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
