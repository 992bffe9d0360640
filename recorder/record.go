package recorder

import (
	"encoding/binary"
	"fmt"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/replicator"
)

// The kinds of record in a payload. A record consists of its kind and its
// fields.
const (
	// recordCheckpoint is the first record of a segment. It holds the identity
	// and the positions of the snapshot and of the log's base.
	recordCheckpoint = 1
	// recordState holds a term and vote.
	recordState = 2
	// recordEntry holds one log entry.
	recordEntry = 3
	// recordClosed marks a clean shutdown. It has no fields.
	recordClosed = 4
)

// identity is the group and replica to which a data folder belongs.
type identity struct {
	group   identifier.GroupID
	replica identifier.ReplicaID
}

// encodeCheckpoint returns the records of the first frame of a segment.
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

// appendState appends a state record to b.
func appendState(b []byte, s replicator.HardState) []byte {
	b = append(b, recordState)
	b = binary.AppendUvarint(b, uint64(s.Term))
	return binary.AppendUvarint(b, uint64(s.Vote))
}

// appendEntries appends one record for each entry to b.
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

// fieldReader reads the fields of records. It sets failed if the input ends too
// early or is invalid, and returns a zero value for that field.
type fieldReader struct {
	b      []byte
	failed bool
}

// byte reads one byte.
func (f *fieldReader) byte() byte {
	if len(f.b) == 0 {
		f.failed = true
		return 0
	}
	v := f.b[0]
	f.b = f.b[1:]
	return v
}

// uvarint reads a variable-length unsigned integer.
func (f *fieldReader) uvarint() uint64 {
	v, n := binary.Uvarint(f.b)
	if n <= 0 {
		f.failed, f.b = true, nil
		return 0
	}
	f.b = f.b[n:]
	return v
}

// bytes reads a length and that number of bytes. The result is a copy.
func (f *fieldReader) bytes() []byte {
	n := f.uvarint()
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
func (f *fieldReader) position() replicator.Position {
	i := identifier.LogIndex(f.uvarint())
	return replicator.Position{Index: i, Term: identifier.Term(f.uvarint())}
}

// replay applies the records of a payload to id and s, which hold the result of
// the payloads before it. first reports that the payload is that of the first
// frame of a segment.
func replay(payload []byte, first bool, id *identity, s *replicator.Stored) error {
	f := fieldReader{b: payload}
	if first {
		if f.byte() != recordCheckpoint {
			return fmt.Errorf("the segment does not start with a checkpoint record")
		}
		id.group = identifier.GroupID(f.uvarint())
		id.replica = identifier.ReplicaID(f.uvarint())
		s.Snapshot.Position = f.position()
		s.Base = f.position()
	}
	for len(f.b) > 0 {
		if err := replayRecord(&f, s); err != nil {
			return err
		}
	}
	if f.failed {
		return fmt.Errorf("a record is truncated")
	}
	return nil
}

// replayRecord applies one record to s.
func replayRecord(f *fieldReader, s *replicator.Stored) error {
	switch kind := f.byte(); kind {
	case recordState:
		s.State.Term = identifier.Term(f.uvarint())
		s.State.Vote = identifier.ReplicaID(f.uvarint())
		return nil
	case recordEntry:
		e := replicator.Entry{Kind: replicator.EntryKind(f.byte())}
		e.Index = identifier.LogIndex(f.uvarint())
		e.Term = identifier.Term(f.uvarint())
		e.Data = f.bytes()
		if f.failed {
			return fmt.Errorf("an entry is truncated")
		}
		return replayEntry(e, s)
	case recordClosed:
		return nil
	default:
		return fmt.Errorf("a record has unknown kind %d", kind)
	}
}

// replayEntry appends e to the entries of s, after it removed those at and after
// the index of e.
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
	if err := replicator.CheckEntries(previous, []replicator.Entry{e}); err != nil {
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

// decodeSnapshot decodes the payload of a snapshot file.
func decodeSnapshot(payload []byte) (replicator.Snapshot, error) {
	f := fieldReader{b: payload}
	s := replicator.Snapshot{Position: f.position()}
	members := f.bytes()
	s.Data = f.bytes()
	if f.failed || len(f.b) > 0 {
		return s, fmt.Errorf("the snapshot is truncated or has extra bytes")
	}
	m, err := replicator.DecodeMembers(members)
	s.Members = m
	return s, err
}
