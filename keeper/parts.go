package keeper

import (
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/wire"
)

const (
	// partBytes is the size of a part, in bytes. Larger envelopes are sent in
	// parts.
	partBytes = 1 << 20
	// maxParts bounds the parts of one envelope.
	maxParts = 256
	// maxAssemblies bounds the senders whose parts are assembled at the same
	// time.
	maxAssemblies = 8
)

// split returns w, or its parts if w is larger than partBytes. Only snapshots
// are that large.
func split(w *wire.ReplicationEnvelope) []*wire.ReplicationEnvelope {
	if w.GetSnapshot() == nil || proto.Size(w) <= partBytes {
		return []*wire.ReplicationEnvelope{w}
	}
	b, err := proto.Marshal(w)
	if err != nil {
		return nil // same effect as a message lost by the network
	}
	count := (len(b) + partBytes - 1) / partBytes
	id := rand.Uint64()
	var parts []*wire.ReplicationEnvelope
	for i := range count {
		part := &wire.ReplicationPart{
			Id: id, Index: uint32(i), Count: uint32(count), Data: b[i*partBytes : min((i+1)*partBytes, len(b))],
		}
		parts = append(parts, &wire.ReplicationEnvelope{
			Group: w.GetGroup(), From: w.GetFrom(), To: w.GetTo(), FromHost: w.GetFromHost(),
			Message: &wire.ReplicationEnvelope_Part{Part: part},
		})
	}
	return parts
}

// assembler assembles envelopes from their parts, one envelope per sender. Its
// zero value is ready to use.
type assembler struct {
	assemblies map[assemblyKey]*assembly
}

// assemblyKey identifies a sender.
type assemblyKey struct {
	group identifier.GroupID
	from  identifier.ReplicaID
}

// assembly holds the received parts of one envelope.
type assembly struct {
	id      uint64
	parts   [][]byte
	missing int
}

// add adds a part and returns the envelope once it is complete, else nil. Parts
// of another envelope of the same sender discard those of the previous one.
func (a *assembler) add(w *wire.ReplicationEnvelope) *wire.ReplicationEnvelope {
	p := w.GetPart()
	if p.GetCount() > maxParts || p.GetIndex() >= p.GetCount() || len(p.GetData()) > partBytes {
		return nil
	}
	key := assemblyKey{identifier.GroupID(w.GetGroup()), identifier.ReplicaID(w.GetFrom())}
	s := a.assemblies[key]
	if s == nil || s.id != p.GetId() || len(s.parts) != int(p.GetCount()) {
		s = a.begin(key, p)
	}
	if s.parts[p.GetIndex()] == nil {
		s.parts[p.GetIndex()] = p.GetData()
		s.missing--
	}
	if s.missing > 0 {
		return nil
	}
	delete(a.assemblies, key)
	return join(s.parts)
}

// begin starts the assembly of a new envelope. If maxAssemblies are in
// progress, it discards them all.
func (a *assembler) begin(key assemblyKey, p *wire.ReplicationPart) *assembly {
	if a.assemblies == nil || len(a.assemblies) >= maxAssemblies {
		a.assemblies = make(map[assemblyKey]*assembly)
	}
	s := &assembly{id: p.GetId(), parts: make([][]byte, p.GetCount()), missing: int(p.GetCount())}
	a.assemblies[key] = s
	return s
}

// join decodes an envelope from its parts. It returns nil if they are damaged.
func join(parts [][]byte) *wire.ReplicationEnvelope {
	var b []byte
	for _, p := range parts {
		b = append(b, p...)
	}
	var w wire.ReplicationEnvelope
	if proto.Unmarshal(b, &w) != nil {
		return nil
	}
	return &w
}
