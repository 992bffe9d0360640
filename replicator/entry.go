package replicator

import (
	"fmt"

	"cyclamenhub.org/identifier"
)

// EntryKind is the kind of an entry.
type EntryKind uint8

// The kinds of entry.
const (
	// Command holds data for the state machine.
	Command EntryKind = 1
	// Empty holds no data. A new leader commits one to learn which earlier
	// entries are committed.
	Empty EntryKind = 2
	// Membership holds the members that are in effect from this entry on.
	Membership EntryKind = 3
)

// Entry is one entry of the log.
type Entry struct {
	Index identifier.LogIndex
	Term  identifier.Term
	Kind  EntryKind
	// Data is the command, or the encoded Members of a Membership entry.
	Data []byte
}

// entryOverheadBytes is the assumed size of an entry without its data.
const entryOverheadBytes = 24

// size returns the bytes by which e counts towards limits.
func (e Entry) size() int { return len(e.Data) + entryOverheadBytes }

// Check returns an error if e is not a valid log entry.
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

// CheckEntries returns an error unless entries are valid and can directly
// follow previous in a log.
func CheckEntries(previous Position, entries []Entry) error {
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

// HardState is the state, besides the log, that a replica must keep across
// restarts.
type HardState struct {
	Term identifier.Term
	// Vote is the replica that this one voted for in Term, or 0.
	Vote identifier.ReplicaID
}

// Position is the index and term of a log entry.
type Position struct {
	Index identifier.LogIndex
	Term  identifier.Term
}

// Snapshot is the state of the state machine after it applied the entry at
// Position.
type Snapshot struct {
	Position
	// Members are the members in effect at Position.
	Members Members
	// Data is the state as encoded by the state machine.
	Data []byte
}

// Stored is the durable state with which a replica starts.
type Stored struct {
	State HardState
	// Snapshot may lack its Data, which the replica does not read.
	Snapshot Snapshot
	// Base is the position before Entries[0]. It is at or before the
	// snapshot's position.
	Base    Position
	Entries []Entry
}

// Role is the role of a replica in its current term.
type Role uint8

// The roles. A learner is a Follower without a vote.
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
