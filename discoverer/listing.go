package discoverer

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
)

// Listing is one complete reading of the list. It is immutable.
type Listing struct {
	Instances []describer.Instance `json:"instances"`
	// At is when the reading began, or when this process was offered the
	// listing, by the clock of this process.
	At time.Time `json:"-"`
}

// NewListing returns the listing of a reading that began at the given time. Its
// instances are sorted, so that the order of reading does not matter, and an instance
// that is listed twice is one.
func NewListing(at time.Time, instances []describer.Instance) *Listing {
	return &Listing{Instances: withoutDuplicates(instances), At: at}
}

// withoutDuplicates returns the instances in the order of their ids, each id once. A
// server that is listed twice, since it was started again or moved to another page while
// the list was read, is the one that started last, else the one that leaves.
func withoutDuplicates(instances []describer.Instance) []describer.Instance {
	slices.SortFunc(instances, func(a, b describer.Instance) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(b.StartedAtMillis, a.StartedAtMillis),
			compareBool(b.Draining, a.Draining), cmp.Compare(a.Address, b.Address), cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Version, b.Version), cmp.Compare(b.ColdFor, a.ColdFor), cmp.Compare(a.LeavesIn, b.LeavesIn))
	})
	return slices.CompactFunc(instances, func(a, b describer.Instance) bool { return a.ID == b.ID })
}

// compareBool compares two booleans; false comes first.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// Encode returns the listing in the form in which processes exchange it. Each
// instance is on a line of its own, so that a change to some instances changes
// only their lines.
func (l *Listing) Encode() []byte {
	out := []byte(`{"instances":[`)
	for i := range l.Instances {
		if i > 0 {
			out = append(out, ',')
		}
		b, err := json.Marshal(&l.Instances[i])
		if err != nil {
			panic("discoverer: cannot encode listing: " + err.Error()) // impossible: strings, numbers and booleans only
		}
		out = append(append(out, '\n'), b...)
	}
	return append(out, "\n]}\n"...)
}

// DecodeListing decodes a listing that Encode has written.
func DecodeListing(b []byte) (*Listing, error) {
	var l Listing
	if err := json.Unmarshal(b, &l); err != nil {
		return nil, fmt.Errorf("cannot decode listing: %w: run the same release on all hosts", err)
	}
	return &l, nil
}

// coldTolerance is how much later a server may get warm than the last listing said
// without being a change: the times of two readings are compared.
const coldTolerance = 500 * time.Millisecond

// Equal reports whether a listing says the same as an earlier one. Servers that
// have become warm are no change, since the earlier listing says when they do.
func (l *Listing) Equal(earlier *Listing) bool {
	if earlier == nil || len(l.Instances) != len(earlier.Instances) {
		return false
	}
	for i := range l.Instances {
		now, before := l.Instances[i], earlier.Instances[i]
		if now.ColdFor > 0 && l.At.Add(now.ColdFor).Sub(earlier.At.Add(before.ColdFor)) > coldTolerance {
			return false
		}
		if l.movesLeave(&now, earlier, &before) {
			return false
		}
		now.ColdFor, before.ColdFor, now.LeavesIn, before.LeavesIn = 0, 0, 0, 0
		if now != before {
			return false
		}
	}
	return true
}

// leaveTolerance is by how much the time at which a server is taken away may differ between two
// listings without being a change.
const leaveTolerance = 500 * time.Millisecond

// movesLeave reports whether a listing says of an instance that it is taken away at another time
// than the earlier one said. The same number of a platform that does not count down says nothing new.
func (l *Listing) movesLeave(now *describer.Instance, earlier *Listing, before *describer.Instance) bool {
	if now.LeavesIn == 0 || now.LeavesIn == before.LeavesIn {
		return false
	}
	moved := l.At.Add(now.LeavesIn).Sub(earlier.At.Add(before.LeavesIn))
	return before.LeavesIn == 0 || moved.Abs() > leaveTolerance
}

// Versions returns the number of instances of a service that accept new work,
// by version.
func (l *Listing) Versions(s identifier.Service) map[identifier.Version]int {
	out := make(map[identifier.Version]int)
	for i := range l.Instances {
		if in := &l.Instances[i]; in.Service == s && !in.Draining {
			out[in.Version]++
		}
	}
	return out
}
