package distributor

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/wire"
)

const (
	// minPackedBytes is the size of an update from which on it is packed.
	minPackedBytes = 4 << 10
	// maxUnpackedBytes bounds an update after unpacking.
	maxUnpackedBytes = 64 << 20
	// maxPackedUpdates bounds the packed updates that are kept for one topic.
	maxPackedUpdates = 8
)

// errUnpackable reports an update that cannot be unpacked.
var errUnpackable = errors.New("a packed update is damaged: the whole document is fetched next")

// packedUpdates holds the packed updates to the newest revision of a topic, by the
// revision that the receiver has. Its zero value is empty.
//
// It answers a large change in a large fleet: hundreds of hosts ask for the same
// update at once, and their links are slow.
type packedUpdates map[identifier.Revision][]byte

// pack returns w in its packed form, or w itself if it is small. All hosts that
// have revision from get the same bytes.
func (p packedUpdates) pack(w *wire.Topic, from identifier.Revision) *wire.Topic {
	b, ok := p[from]
	if !ok {
		if proto.Size(w) < minPackedBytes {
			return w
		}
		b = deflate(w)
		if len(p) >= maxPackedUpdates {
			clear(p)
		}
		p[from] = b
	}
	return &wire.Topic{Name: w.Name, Revision: w.Revision, Packed: b}
}

// deflate returns the compressed encoding of w.
func deflate(w *wire.Topic) []byte {
	b, err := proto.Marshal(w)
	if err != nil {
		// Topic has only fields that can be encoded.
		panic(fmt.Sprintf("distributor: %v", err))
	}
	var out bytes.Buffer
	// Neither the level nor a write to a buffer can cause an error.
	fw, _ := flate.NewWriter(&out, flate.BestSpeed)
	_, _ = fw.Write(b)
	_ = fw.Close()
	return out.Bytes()
}

// unpack returns the update that a packed one contains, and any other one as it
// is.
func unpack(w *wire.Topic) (*wire.Topic, error) {
	if len(w.Packed) == 0 {
		return w, nil
	}
	b, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(w.Packed)), maxUnpackedBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUnpackable, err)
	}
	if len(b) > maxUnpackedBytes {
		return nil, fmt.Errorf("%w: it has more than %d bytes", errUnpackable, maxUnpackedBytes)
	}
	var out wire.Topic
	if err := proto.Unmarshal(b, &out); err != nil {
		return nil, fmt.Errorf("%w: %w", errUnpackable, err)
	}
	if out.Name != w.Name || out.Revision != w.Revision {
		return nil, fmt.Errorf("%w: it is of topic %q, not %q", errUnpackable, out.Name, w.Name)
	}
	return &out, nil
}
