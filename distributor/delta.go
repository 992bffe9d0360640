package distributor

import (
	"bytes"
	"errors"

	"github.com/cespare/xxhash/v2"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/wire"
)

const (
	// maxHistoryDeltas bounds the number of deltas kept per topic.
	maxHistoryDeltas = 256
	// maxHistoryBytes bounds the total size of the deltas kept per topic.
	maxHistoryBytes = 1 << 20
)

// errDeltaMismatch reports that a delta does not apply to the local document.
var errDeltaMismatch = errors.New("a delta does not fit the document held here: the whole document is fetched next")

// maxHunks bounds the number of hunks per change. A change with more hunks is
// sent as a single hunk that replaces the full document.
const maxHunks = 64

// newDeltas returns the deltas that turn old into t, one per hunk. Each hunk lies
// between two lines that both documents contain, so the size of the deltas grows
// with the changes and not with the unchanged text between them. All deltas carry
// the same two revisions; a host applies them in order.
func newDeltas(old, t Topic) []*wire.Delta {
	hunks := diff(old.Body, t.Body)
	if len(hunks) == 0 || len(hunks) > maxHunks {
		hunks = []hunk{{0, len(old.Body), t.Body}}
	}
	deltas := make([]*wire.Delta, len(hunks))
	shift := 0 // length of the new body minus the old one, up to the current hunk
	sum := xxhash.Sum64(t.Body)
	for i, h := range hunks {
		replaced := old.Body[h.from:h.to]
		prefix := commonPrefix(replaced, h.replacement)
		suffix := commonSuffix(replaced[prefix:], h.replacement[prefix:])
		deltas[i] = &wire.Delta{
			From: uint64(old.Revision), To: uint64(t.Revision),
			Prefix: uint64(h.from + shift + prefix), Suffix: uint64(len(old.Body) - h.to + suffix),
			Middle: h.replacement[prefix : len(h.replacement)-suffix],
			Sum:    sum,
		}
		shift += len(h.replacement) - (h.to - h.from)
	}
	return deltas
}

// hunk replaces the bytes of a document from offset from up to offset to.
type hunk struct {
	from, to    int
	replacement []byte
}

// diff returns the hunks that turn a into b, in order. Lines that keep their
// relative order are matched; a moved line counts as deleted and inserted.
func diff(a, b []byte) []hunk {
	offsets := make(map[string]int) // offsets of the lines of a, by content
	for i := 0; i < len(a); {
		n := lineLength(a[i:])
		offsets[string(a[i:i+n])] = i
		i += n
	}
	var hunks []hunk
	aDone, bDone := 0, 0 // offsets up to which a and b are processed
	for j := 0; j < len(b); {
		n := lineLength(b[j:])
		i, ok := offsets[string(b[j:j+n])]
		if !ok || i < aDone {
			j += n
			continue
		}
		if i > aDone || j > bDone {
			hunks = append(hunks, hunk{aDone, i, b[bDone:j]})
		}
		aDone, bDone = i+n, j+n
		j += n
	}
	if aDone < len(a) || bDone < len(b) {
		hunks = append(hunks, hunk{aDone, len(a), b[bDone:]})
	}
	return hunks
}

// lineLength returns the length of the first line of b, including its newline.
func lineLength(b []byte) int {
	if n := bytes.IndexByte(b, '\n'); n >= 0 {
		return n + 1
	}
	return len(b)
}

// commonPrefix returns the length of the common prefix of a and b.
func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

// commonSuffix returns the length of the common suffix of a and b.
func commonSuffix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[len(a)-1-i] != b[len(b)-1-i] {
			return i
		}
	}
	return n
}

// applyDeltas applies deltas to the held document and returns the result. It
// returns errDeltaMismatch if a delta does not apply or the checksum differs.
func applyDeltas(held Topic, deltas []*wire.Delta) ([]byte, error) {
	body, from, revision := held.Body, uint64(held.Revision), uint64(held.Revision)
	for _, d := range deltas {
		if d.To <= uint64(held.Revision) {
			continue // This revision has arrived from another upstream meanwhile.
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

// history holds the latest deltas of one topic, oldest first. The zero value is
// ready to use.
type history struct {
	deltas []*wire.Delta
	size   int
}

// add appends the deltas of one change and drops the oldest changes until the
// history is within its bounds.
func (h *history) add(change ...*wire.Delta) {
	for _, d := range change {
		h.deltas = append(h.deltas, d)
		h.size += len(d.Middle)
	}
	for len(h.deltas) > maxHistoryDeltas || h.size > maxHistoryBytes {
		h.dropOldest()
	}
}

// dropOldest removes all deltas of the oldest change.
func (h *history) dropOldest() {
	for from := h.deltas[0].From; len(h.deltas) > 0 && h.deltas[0].From == from; h.deltas = h.deltas[1:] {
		h.size -= len(h.deltas[0].Middle)
		h.deltas[0] = nil
	}
}

// since returns the deltas from revision r to the newest revision. It reports
// false if the history does not reach back to r.
func (h *history) since(r identifier.Revision) ([]*wire.Delta, bool) {
	for i, d := range h.deltas {
		if d.From == uint64(r) {
			return h.deltas[i:len(h.deltas):len(h.deltas)], true
		}
	}
	return nil, false
}
