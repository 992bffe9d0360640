package replicator

import "cyclamenhub.org/identifier"

// Message is a message between two replicas.
type Message interface{ isMessage() }

// Stamp is a time on the leader's clock, in nanoseconds since its election. Each
// message of a leader carries a different stamp. Receivers echo it, so that the
// leader learns which of its messages a quorum has received.
type Stamp int64

// PreVote asks whether the receiver would vote for the sender in Term. The
// answer does not bind the receiver (Ongaro, section 9.6).
type PreVote struct {
	Term identifier.Term
	Last Position
}

// PreVoteAnswer answers PreVote. Term is that of the request if Granted, else
// the current term of the replica that answers.
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

// Append carries entries that follow Previous. Without entries it is a
// heartbeat.
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
	// Rejected reports that the receiver's log lacks Previous or that the
	// sender's term is over.
	Rejected bool
	// Match is the last index that is stored and agrees with the sender's log.
	// In a rejection it is the index after which the sender should retry.
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

// ReadAnswer carries the index that the requesting replica must have applied
// before it reads.
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
