package replicator

import "cyclamenhub.org/identifier"

// Message is what one replica says to another.
type Message interface{ isMessage() }

// Stamp is a leader's own clock reading in nanoseconds since its election. No
// two messages of a leader carry the same one. Receivers echo it, so that the
// leader learns which of its messages a quorum has heard.
type Stamp int64

// PreVote asks whether the receiver would vote for the sender in Term, without
// any promise (Ongaro, section 9.6).
type PreVote struct {
	Term identifier.Term
	Last Position
}

// PreVoteAnswer answers PreVote. Term is the asked one if Granted, else the
// receiver's own.
type PreVoteAnswer struct {
	Term    identifier.Term
	Granted bool
}

// Vote asks for the receiver's vote in Term.
type Vote struct {
	Term identifier.Term
	Last Position
}

// VoteAnswer answers Vote.
type VoteAnswer struct {
	Term    identifier.Term
	Granted bool
}

// Append carries entries that follow Previous, or none as a heartbeat.
type Append struct {
	Term     identifier.Term
	Previous Position
	Entries  []Entry
	Commit   identifier.LogIndex
	Stamp    Stamp
}

// AppendAnswer answers Append and InstallSnapshot.
type AppendAnswer struct {
	Term identifier.Term
	// Rejected tells that Previous is not in the receiver's log.
	Rejected bool
	// Match is the last index known to agree and to be stored, or for a
	// rejection the index after which the sender should try again.
	Match identifier.LogIndex
	Stamp Stamp
}

// InstallSnapshot replaces the receiver's log by a snapshot.
type InstallSnapshot struct {
	Term     identifier.Term
	Snapshot Snapshot
	Stamp    Stamp
}

// ReadRequest asks the leader for a read index.
type ReadRequest struct {
	Term identifier.Term
	ID   uint64
}

// ReadAnswer gives the index that the asker must have applied before it reads.
type ReadAnswer struct {
	Term  identifier.Term
	ID    uint64
	Index identifier.LogIndex
}

func (PreVote) isMessage()         {}
func (PreVoteAnswer) isMessage()   {}
func (Vote) isMessage()            {}
func (VoteAnswer) isMessage()      {}
func (Append) isMessage()          {}
func (AppendAnswer) isMessage()    {}
func (InstallSnapshot) isMessage() {}
func (ReadRequest) isMessage()     {}
func (ReadAnswer) isMessage()      {}
