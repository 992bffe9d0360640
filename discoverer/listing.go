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

// Listing is one reading of the whole list. It is immutable.
type Listing struct {
	Instances []describer.Instance `json:"instances"`
	// At is when the reading began, by the clock of the process that read it.
	At time.Time `json:"-"`
}

// NewListing returns a reading that began at a time, in the order of the ids,
// whatever the order in which the list was read.
func NewListing(at time.Time, instances []describer.Instance) *Listing {
	slices.SortFunc(instances, func(a, b describer.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return &Listing{Instances: instances, At: at}
}

// Encode returns the form in which one process hands a listing on to others: one
// line for each instance, so that a change of some changes these lines only.
func (l *Listing) Encode() []byte {
	out := []byte(`{"instances":[`)
	for i := range l.Instances {
		if i > 0 {
			out = append(out, ',')
		}
		b, err := json.Marshal(&l.Instances[i])
		if err != nil {
			panic("discoverer: a listing cannot be encoded: " + err.Error()) // strings, numbers and booleans always can
		}
		out = append(append(out, '\n'), b...)
	}
	return append(out, "\n]}\n"...)
}

// DecodeListing reads what Encode wrote.
func DecodeListing(b []byte) (*Listing, error) {
	var l Listing
	if err := json.Unmarshal(b, &l); err != nil {
		return nil, fmt.Errorf("the listing cannot be read: %w: run one release on all hosts", err)
	}
	return &l, nil
}

// Same reports whether two readings say the same, but for how long servers are
// cold.
func (l *Listing) Same(o *Listing) bool {
	return o != nil && sameInstances(l.Instances, o.Instances)
}

// Versions counts the instances of a service that take work, by version.
func (l *Listing) Versions(s identifier.Service) map[identifier.Version]int {
	out := make(map[identifier.Version]int)
	for i := range l.Instances {
		if in := &l.Instances[i]; in.Service == s && !in.Draining {
			out[in.Version]++
		}
	}
	return out
}

// sameInstances reports whether two readings say the same, but for how long
// servers are cold.
func sameInstances(a, b []describer.Instance) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		x, y := a[i], b[i]
		x.ColdFor, y.ColdFor = 0, 0
		if x != y {
			return false
		}
	}
	return true
}
