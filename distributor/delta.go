package distributor

import (
	"bytes"
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

// maxHunks bounds the parts in which one change is sent; more are sent as one.
const maxHunks = 64

// newDeltas returns what turns old into t, part by part. Each part stands between
// two lines that both documents hold, so that what is sent grows with the changes
// and not with the document between them. All parts bear the two revisions; a host
// applies them one after the other.
func newDeltas(old, t Topic) []*wire.Delta {
	hunks := diff(old.Body, t.Body)
	if len(hunks) == 0 || len(hunks) > maxHunks {
		hunks = []hunk{{0, len(old.Body), t.Body}}
	}
	deltas := make([]*wire.Delta, len(hunks))
	shift := 0 // how much longer body is than old up to the present part
	sum := xxhash.Sum64(t.Body)
	for i, h := range hunks {
		was := old.Body[h.from:h.to]
		prefix := commonPrefix(was, h.with)
		suffix := commonSuffix(was[prefix:], h.with[prefix:])
		deltas[i] = &wire.Delta{
			From: uint64(old.Revision), To: uint64(t.Revision),
			Prefix: uint64(h.from + shift + prefix), Suffix: uint64(len(old.Body) - h.to + suffix),
			Middle: h.with[prefix : len(h.with)-suffix],
			Sum:    sum,
		}
		shift += len(h.with) - (h.to - h.from)
	}
	return deltas
}

// hunk is a part of a document, from one offset to another, that another text
// takes the place of.
type hunk struct {
	from, to int
	with     []byte
}

// diff returns the hunks that turn a into b, in order. Lines that keep their order
// are found; others count as gone and new.
func diff(a, b []byte) []hunk {
	at := make(map[string]int) // the offsets of the lines of a
	for i := 0; i < len(a); {
		n := lineLength(a[i:])
		at[string(a[i:i+n])] = i
		i += n
	}
	var hunks []hunk
	done, begun := 0, 0 // what of a and of b is dealt with
	for j := 0; j < len(b); {
		n := lineLength(b[j:])
		i, ok := at[string(b[j:j+n])]
		if !ok || i < done {
			j += n
			continue
		}
		if i > done || j > begun {
			hunks = append(hunks, hunk{done, i, b[begun:j]})
		}
		done, begun = i+n, j+n
		j += n
	}
	if done < len(a) || begun < len(b) {
		hunks = append(hunks, hunk{done, len(a), b[begun:]})
	}
	return hunks
}

// lineLength returns the length of the first line of b with its end.
func lineLength(b []byte) int {
	if n := bytes.IndexByte(b, '\n'); n >= 0 {
		return n + 1
	}
	return len(b)
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
	body, from, revision := held.Body, uint64(held.Revision), uint64(held.Revision)
	for _, d := range deltas {
		if d.To <= uint64(held.Revision) {
			continue // That part arrived another way in the meantime.
		}
		isNext, isFurtherPart := d.From == revision, d.From == from && d.To == revision
		n := uint64(len(body))
		if !isNext && !isFurtherPart || d.Prefix > n || d.Suffix > n-d.Prefix {
			return nil, errDeltaMismatch
		}
		next := make([]byte, 0, d.Prefix+uint64(len(d.Middle))+d.Suffix)
		next = append(next, body[:d.Prefix]...)
		next = append(next, d.Middle...)
		next = append(next, body[n-d.Suffix:]...)
		body, from, revision = next, d.From, d.To
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

// add appends the deltas of a change and drops the oldest changes beyond the
// bounds.
func (h *history) add(change ...*wire.Delta) {
	for _, d := range change {
		h.deltas = append(h.deltas, d)
		h.bytes += len(d.Middle)
	}
	for len(h.deltas) > maxHistoryDeltas || h.bytes > maxHistoryBytes {
		h.dropOldest()
	}
}

// dropOldest drops all deltas of the oldest change.
func (h *history) dropOldest() {
	for from := h.deltas[0].From; len(h.deltas) > 0 && h.deltas[0].From == from; h.deltas = h.deltas[1:] {
		h.bytes -= len(h.deltas[0].Middle)
		h.deltas[0] = nil
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
