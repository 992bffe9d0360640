package distributor

import (
	"errors"

	"github.com/cespare/xxhash/v2"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/wire"
)

const (
	// maxHistoryDeltas bounds the deltas kept of one topic.
	maxHistoryDeltas = 256
	// maxHistoryBytes bounds the bytes of the deltas kept of one topic.
	maxHistoryBytes = 1 << 20
)

// errDeltaMismatch tells that a delta does not fit the document held.
var errDeltaMismatch = errors.New("a delta does not fit the document held here: the whole document is fetched next")

// newDelta returns what turns old into t: the part between their common prefix
// and suffix. Changes of configuration touch one place, so that this part is
// short however long the document is.
func newDelta(old, t Topic) *wire.Delta {
	prefix := commonPrefix(old.Body, t.Body)
	suffix := commonSuffix(old.Body[prefix:], t.Body[prefix:])
	return &wire.Delta{
		From: uint64(old.Revision), To: uint64(t.Revision),
		Prefix: uint64(prefix), Suffix: uint64(suffix),
		Middle: t.Body[prefix : len(t.Body)-suffix],
		Sum:    xxhash.Sum64(t.Body),
	}
}

// commonPrefix returns how many first bytes a and b share.
func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

// commonSuffix returns how many last bytes a and b share.
func commonSuffix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[len(a)-1-i] != b[len(b)-1-i] {
			return i
		}
	}
	return n
}

// applyDeltas returns the document that the deltas make of the one held.
func applyDeltas(held Topic, deltas []*wire.Delta) ([]byte, error) {
	body, revision := held.Body, uint64(held.Revision)
	for _, d := range deltas {
		if d.To <= revision {
			continue // That part arrived another way in the meantime.
		}
		n := uint64(len(body))
		if d.From != revision || d.Prefix > n || d.Suffix > n-d.Prefix {
			return nil, errDeltaMismatch
		}
		next := make([]byte, 0, d.Prefix+uint64(len(d.Middle))+d.Suffix)
		next = append(next, body[:d.Prefix]...)
		next = append(next, d.Middle...)
		next = append(next, body[n-d.Suffix:]...)
		body, revision = next, d.To
	}
	if xxhash.Sum64(body) != deltas[len(deltas)-1].Sum {
		return nil, errDeltaMismatch
	}
	return body, nil
}

// history holds the latest deltas of one topic, oldest first. Its zero value is
// ready to use.
type history struct {
	deltas []*wire.Delta
	bytes  int
}

// add appends a delta and drops the oldest beyond the bounds.
func (h *history) add(d *wire.Delta) {
	h.deltas = append(h.deltas, d)
	h.bytes += len(d.Middle)
	for len(h.deltas) > maxHistoryDeltas || h.bytes > maxHistoryBytes {
		h.bytes -= len(h.deltas[0].Middle)
		h.deltas[0] = nil
		h.deltas = h.deltas[1:]
	}
}

// since returns the deltas that lead from revision r to the newest.
func (h *history) since(r identifier.Revision) ([]*wire.Delta, bool) {
	for i, d := range h.deltas {
		if d.From == uint64(r) {
			return h.deltas[i:len(h.deltas):len(h.deltas)], true
		}
	}
	return nil, false
}
