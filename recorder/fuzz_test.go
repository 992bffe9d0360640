package recorder

import (
	"bytes"
	"testing"

	"cyclamenhub.org/replicator"
)

// FuzzDecodeSegment decodes arbitrary bytes as a segment. It checks that the
// decoded and the torn part add up to the input, and that an accepted segment
// decodes to the same state after it is encoded again.
func FuzzDecodeSegment(f *testing.F) {
	id := identity{group: 3, replica: 77}
	stored := replicator.Stored{
		State: replicator.HardState{Term: 4, Vote: 2}, Base: replicator.Position{Index: 6, Term: 3},
		Entries: entries(7, 9, 4),
	}
	one := appendFrame(nil, 0, encodeCheckpoint(id, stored))
	two := appendFrame(one, 1, appendEntries(appendState(nil, stored.State), entries(9, 12, 5)))
	f.Add(one)
	f.Add(two)
	f.Add(two[:len(two)-3])
	f.Add(append(bytes.Clone(two), make([]byte, 100)...))
	f.Add(appendFrame(nil, 0, []byte{recordCheckpoint, 0xff}))
	f.Add(appendFrame(nil, 1, nil))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := decodeSegment("segment", b)
		if err != nil {
			return
		}
		if int(s.size+s.tornBytes) != len(b) {
			t.Fatalf("%d bytes decoded and %d torn, of %d", s.size, s.tornBytes, len(b))
		}
		again := appendFrame(nil, 0, encodeCheckpoint(s.id, s.stored))
		second, err := decodeSegment("again", again)
		if err != nil || !bytes.Equal(again, appendFrame(nil, 0, encodeCheckpoint(second.id, second.stored))) {
			t.Fatalf("a decoded segment differs after it is encoded and decoded again: %v", err)
		}
	})
}

// FuzzDecodePayload decodes arbitrary bytes as records and as a snapshot, as if
// their checksum were valid. Neither may panic.
func FuzzDecodePayload(f *testing.F) {
	f.Add(appendEntries(nil, entries(1, 3, 1)))
	f.Add([]byte{recordEntry, 1, 1, 1, 0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Add([]byte{recordEntry, 3, 1, 1, 2, '[', ']'})
	f.Fuzz(func(_ *testing.T, payload []byte) {
		var id identity
		var s replicator.Stored
		_ = replay(payload, true, &id, &s)
		_ = replay(payload, false, &id, &s)
		_, _ = decodeSnapshot(payload)
	})
}
