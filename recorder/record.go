package recorder

import (
	"encoding/binary"
	"fmt"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/replicator"
)

// The kinds of record in a payload. A record is its kind and its fields.
const (
	// recordCheckpoint starts a segment: identity, positions and state.
	recordCheckpoint = 1
	// recordState is a term and vote.
	recordState = 2
	// recordEntry is one entry of the log.
	recordEntry = 3
	// recordClosed ends a segment in an orderly way.
	recordClosed = 4
)

// identity tells whose files these are.
type identity struct {
	group   identifier.GroupID
	replica identifier.ReplicaID
}

// encodeCheckpoint returns the records that a segment starts with.
func encodeCheckpoint(id identity, s replicator.Stored) []byte {
	b := []byte{recordCheckpoint}
	for _, v := range []uint64{
		uint64(id.group), uint64(id.replica),
		uint64(s.Snapshot.Index), uint64(s.Snapshot.Term), uint64(s.Base.Index), uint64(s.Base.Term),
	} {
		b = binary.AppendUvarint(b, v)
	}
	b = appendState(b, s.State)
	return appendEntries(b, s.Entries)
}

// appendState appends a state record.
func appendState(b []byte, s replicator.HardState) []byte {
	b = append(b, recordState)
	b = binary.AppendUvarint(b, uint64(s.Term))
	return binary.AppendUvarint(b, uint64(s.Vote))
}

// appendEntries appends one record for each entry.
func appendEntries(b []byte, entries []replicator.Entry) []byte {
	for _, e := range entries {
		b = append(b, recordEntry, byte(e.Kind))
		b = binary.AppendUvarint(b, uint64(e.Index))
		b = binary.AppendUvarint(b, uint64(e.Term))
		b = binary.AppendUvarint(b, uint64(len(e.Data)))
		b = append(b, e.Data...)
	}
	return b
}

// fields reads the fields of records. After the first failure it returns
// zeros.
type fields struct {
	b      []byte
	failed bool
}

// byte reads one byte.
func (f *fields) byte() byte {
	if len(f.b) == 0 {
		f.failed = true
		return 0
	}
	v := f.b[0]
	f.b = f.b[1:]
	return v
}

// uint reads a variable-length integer.
func (f *fields) uint() uint64 {
	v, n := binary.Uvarint(f.b)
	if n <= 0 {
		f.failed, f.b = true, nil
		return 0
	}
	f.b = f.b[n:]
	return v
}

// bytes reads a length and as many bytes. The result is a copy.
func (f *fields) bytes() []byte {
	n := f.uint()
	if n > uint64(len(f.b)) {
		f.failed, f.b = true, nil
		return nil
	}
	v := f.b[:n:n]
	f.b = f.b[n:]
	if n == 0 {
		return nil
	}
	return append([]byte(nil), v...)
}

// position reads an index and a term.
func (f *fields) position() replicator.Position {
	i := identifier.LogIndex(f.uint())
	return replicator.Position{Index: i, Term: identifier.Term(f.uint())}
}

// replay applies the records of a payload to what was read before it. first
// tells that the payload starts a segment.
func replay(payload []byte, first bool, id *identity, s *replicator.Stored) error {
	f := fields{b: payload}
	if first {
		if f.byte() != recordCheckpoint {
			return fmt.Errorf("the segment starts with no checkpoint")
		}
		id.group = identifier.GroupID(f.uint())
		id.replica = identifier.ReplicaID(f.uint())
		s.Snapshot.Position = f.position()
		s.Base = f.position()
	}
	for len(f.b) > 0 {
		if err := replayRecord(&f, s); err != nil {
			return err
		}
	}
	if f.failed {
		return fmt.Errorf("a record is cut short")
	}
	return nil
}

// replayRecord applies one record.
func replayRecord(f *fields, s *replicator.Stored) error {
	switch kind := f.byte(); kind {
	case recordState:
		s.State.Term = identifier.Term(f.uint())
		s.State.Vote = identifier.ReplicaID(f.uint())
		return nil
	case recordEntry:
		e := replicator.Entry{Kind: replicator.EntryKind(f.byte())}
		e.Index = identifier.LogIndex(f.uint())
		e.Term = identifier.Term(f.uint())
		e.Data = f.bytes()
		if f.failed {
			return fmt.Errorf("an entry is cut short")
		}
		return replayEntry(e, s)
	case recordClosed:
		return nil
	default:
		return fmt.Errorf("a record is of unknown kind %d", kind)
	}
}

// replayEntry puts e in its place and drops what it overwrites.
func replayEntry(e replicator.Entry, s *replicator.Stored) error {
	last := s.Base.Index + identifier.LogIndex(len(s.Entries))
	if e.Index <= s.Base.Index || e.Index > last+1 {
		return fmt.Errorf("entry %d does not fit a log from %d to %d", e.Index, s.Base.Index+1, last)
	}
	s.Entries = s.Entries[:e.Index-s.Base.Index-1]
	previous := s.Base
	if n := len(s.Entries); n > 0 {
		previous = replicator.Position{Index: s.Entries[n-1].Index, Term: s.Entries[n-1].Term}
	}
	if err := replicator.CheckRun(previous, []replicator.Entry{e}); err != nil {
		return err
	}
	s.Entries = append(s.Entries, e)
	return nil
}

// encodeSnapshot returns the payload of a snapshot file.
func encodeSnapshot(s replicator.Snapshot) []byte {
	b := binary.AppendUvarint(nil, uint64(s.Index))
	b = binary.AppendUvarint(b, uint64(s.Term))
	for _, part := range [][]byte{s.Members.Encode(), s.Data} {
		b = binary.AppendUvarint(b, uint64(len(part)))
		b = append(b, part...)
	}
	return b
}

// decodeSnapshot reads the payload of a snapshot file.
func decodeSnapshot(payload []byte) (replicator.Snapshot, error) {
	f := fields{b: payload}
	s := replicator.Snapshot{Position: f.position()}
	members := f.bytes()
	s.Data = f.bytes()
	if f.failed || len(f.b) > 0 {
		return s, fmt.Errorf("the snapshot is cut short")
	}
	m, err := replicator.DecodeMembers(members)
	s.Members = m
	return s, err
}
