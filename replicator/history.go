package replicator

import "cyclamenhub.org/identifier"

// memberHistory holds the members in force at each Membership entry of the
// log, the oldest one first.
type memberHistory struct{ list []membersAt }

// membersAt are the members in force from index on.
type membersAt struct {
	index   identifier.LogIndex
	members Members
}

// reset forgets all but the members of a snapshot.
func (h *memberHistory) reset(index identifier.LogIndex, m Members) {
	h.list = []membersAt{{index, m}}
}

// note takes the members of e, if it is a Membership entry.
func (h *memberHistory) note(e Entry) {
	if e.Kind != Membership {
		return
	}
	m, err := DecodeMembers(e.Data)
	if err != nil {
		panic("replicator: a checked entry holds no members: " + err.Error())
	}
	h.list = append(h.list, membersAt{e.Index, m})
}

// truncate forgets members of entries at and after first.
func (h *memberHistory) truncate(first identifier.LogIndex) {
	n := len(h.list)
	for n > 1 && h.list[n-1].index >= first {
		n--
	}
	h.list = h.list[:n]
}

// forget drops what was superseded at or before i.
func (h *memberHistory) forget(i identifier.LogIndex) {
	for len(h.list) > 1 && h.list[1].index <= i {
		h.list = h.list[1:]
	}
}

// at returns the members in force at i.
func (h *memberHistory) at(i identifier.LogIndex) Members {
	m := h.list[0].members
	for _, x := range h.list {
		if x.index <= i {
			m = x.members
		}
	}
	return m
}

// latest returns the members in force at the end of the log.
func (h *memberHistory) latest() Members { return h.list[len(h.list)-1].members }

// latestIndex returns since where the latest members are in force.
func (h *memberHistory) latestIndex() identifier.LogIndex { return h.list[len(h.list)-1].index }
