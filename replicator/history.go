package replicator

import "cyclamenhub.org/identifier"

// memberHistory holds the members in effect at each Membership entry of the
// log, oldest first.
type memberHistory struct{ entries []membersAt }

// membersAt is the membership in effect from index on.
type membersAt struct {
	index   identifier.LogIndex
	members Members
}

// reset replaces the history by the members of a snapshot.
func (h *memberHistory) reset(index identifier.LogIndex, m Members) {
	h.entries = []membersAt{{index, m}}
}

// add records the members of e if e is a Membership entry. It panics if they
// can't be decoded, because entries are checked before they reach the log.
func (h *memberHistory) add(e Entry) {
	if e.Kind != Membership {
		return
	}
	m, err := DecodeMembers(e.Data)
	if err != nil {
		panic("replicator: checked Membership entry cannot be decoded: " + err.Error())
	}
	h.entries = append(h.entries, membersAt{e.Index, m})
}

// truncate removes the members of entries at and after first.
func (h *memberHistory) truncate(first identifier.LogIndex) {
	n := len(h.entries)
	for n > 1 && h.entries[n-1].index >= first {
		n--
	}
	h.entries = h.entries[:n]
}

// compact removes members that were superseded at or before i.
func (h *memberHistory) compact(i identifier.LogIndex) {
	for len(h.entries) > 1 && h.entries[1].index <= i {
		h.entries = h.entries[1:]
	}
}

// at returns the members in effect at i.
func (h *memberHistory) at(i identifier.LogIndex) Members {
	m := h.entries[0].members
	for _, x := range h.entries {
		if x.index <= i {
			m = x.members
		}
	}
	return m
}

// latest returns the members in effect at the end of the log.
func (h *memberHistory) latest() Members { return h.entries[len(h.entries)-1].members }

// latestSince returns the index from which the latest members are in effect.
func (h *memberHistory) latestSince() identifier.LogIndex { return h.entries[len(h.entries)-1].index }
