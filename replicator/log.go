package replicator

import (
	"slices"

	"cyclamenhub.org/identifier"
)

// entryLog holds the entries after base. It never modifies entries that it has
// returned in a slice.
type entryLog struct {
	base    Position
	entries []Entry
}

// last returns the position of the last entry.
func (l *entryLog) last() Position {
	if n := len(l.entries); n > 0 {
		return Position{l.entries[n-1].Index, l.entries[n-1].Term}
	}
	return l.base
}

// termAt returns the term of the entry at i, if i is base or in the log.
func (l *entryLog) termAt(i identifier.LogIndex) (identifier.Term, bool) {
	if i == l.base.Index {
		return l.base.Term, true
	}
	if i < l.base.Index || i > l.last().Index {
		return 0, false
	}
	return l.entries[i-l.base.Index-1].Term, true
}

// has reports whether the log holds the entry at p, or p is its base.
func (l *entryLog) has(p Position) bool {
	t, ok := l.termAt(p.Index)
	return ok && t == p.Term
}

// between returns the entries from first to last, inclusive.
func (l *entryLog) between(first, last identifier.LogIndex) []Entry {
	if first > last {
		return nil
	}
	a, b := first-l.base.Index-1, last-l.base.Index
	return l.entries[a:b:b]
}

// batch returns entries from first on within both limits, but at least one if
// there is any.
func (l *entryLog) batch(first identifier.LogIndex, maxEntries, maxBytes int) []Entry {
	all := l.between(first, l.last().Index)
	size := 0
	for i := range all {
		size += all[i].size()
		if i > 0 && (i >= maxEntries || size > maxBytes) {
			return all[:i:i]
		}
	}
	return all
}

// append adds entries, which must follow the last one.
func (l *entryLog) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// truncate removes the entries at and after first. It copies the rest, because
// messages may still refer to the removed entries.
func (l *entryLog) truncate(first identifier.LogIndex) {
	l.entries = slices.Clone(l.entries[:first-l.base.Index-1])
}

// compact removes the entries at and before i and makes i the base.
func (l *entryLog) compact(i identifier.LogIndex) {
	t, ok := l.termAt(i)
	if !ok || i == l.base.Index {
		return
	}
	l.entries = slices.Clone(l.entries[i-l.base.Index:])
	l.base = Position{i, t}
}

// conflictHint returns the index after which a leader should retry when the log
// lacks p: the last index if the log ends before p, else the index before the
// first entry of the conflicting term (Raft, end of section 5.3).
func (l *entryLog) conflictHint(p Position) identifier.LogIndex {
	i := min(p.Index, l.last().Index)
	t, ok := l.termAt(i)
	if !ok || i < p.Index {
		return i
	}
	for i > l.base.Index {
		if before, ok := l.termAt(i); !ok || before != t {
			break
		}
		i--
	}
	return i
}
