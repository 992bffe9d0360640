package replicator

import (
	"fmt"

	"cyclamenhub.org/identifier"
)

// EntryKind tells what an entry holds.
type EntryKind uint8

// The kinds of entry.
const (
	// Command holds bytes for the state machine.
	Command EntryKind = 1
	// Empty holds nothing; a new leader commits one to learn what is committed.
	Empty EntryKind = 2
	// Membership holds the members that are in force from this entry on.
	Membership EntryKind = 3
)

// Entry is one position of the log.
type Entry struct {
	Index identifier.LogIndex
	Term  identifier.Term
	Kind  EntryKind
	// Data is the command, or the encoded Members of a Membership entry.
	Data []byte
}

// entryOverheadBytes is what an entry costs beyond its data.
const entryOverheadBytes = 24

// size returns the bytes that e is counted with against bounds.
func (e Entry) size() int { return len(e.Data) + entryOverheadBytes }

// Check reports whether e can stand in a log.
func (e Entry) Check() error {
	if e.Index == 0 || e.Term == 0 {
		return fmt.Errorf("entry %d of term %d has no position: number both from 1", e.Index, e.Term)
	}
	switch e.Kind {
	case Command, Empty:
		return nil
	case Membership:
		_, err := DecodeMembers(e.Data)
		return err
	default:
		return fmt.Errorf("entry %d is of unknown kind %d: run the same version on all keepers", e.Index, e.Kind)
	}
}

// CheckRun reports whether entries can stand in a log right after previous.
func CheckRun(previous Position, entries []Entry) error {
	for _, e := range entries {
		if err := e.Check(); err != nil {
			return err
		}
		if e.Index != previous.Index+1 || e.Term < previous.Term {
			return fmt.Errorf("entry %d of term %d cannot follow %d of term %d: restore the sender's data folder", e.Index, e.Term, previous.Index, previous.Term)
		}
		previous = Position{e.Index, e.Term}
	}
	return nil
}

// HardState is what a replica must remember over restarts besides its log.
type HardState struct {
	Term identifier.Term
	// Vote is the replica that got this one's vote in Term, or 0.
	Vote identifier.ReplicaID
}

// Position names one place in the log.
type Position struct {
	Index identifier.LogIndex
	Term  identifier.Term
}

// Snapshot is the state of the state machine after the entry at Position.
type Snapshot struct {
	Position
	// Members are those in force at Position.
	Members Members
	// Data is the state machine's own encoding.
	Data []byte
}

// Stored is what a replica finds on its disk at start.
type Stored struct {
	State HardState
	// Snapshot may come without its Data, which the replica never reads.
	Snapshot Snapshot
	// Base is the position before Entries[0]. It is at or before the
	// snapshot's position.
	Base    Position
	Entries []Entry
}

// Role is what a replica is in its present term.
type Role uint8

// The roles. A learner is a Follower that is no voter.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role in lower case.
func (r Role) String() string {
	switch r {
	case Follower:
		return "follower"
	case PreCandidate:
		return "preCandidate"
	case Candidate:
		return "candidate"
	case Leader:
		return "leader"
	default:
		return "unknown"
	}
}
