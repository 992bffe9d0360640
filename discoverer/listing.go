package discoverer

import (
	"encoding/json"
	"fmt"
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

// Encode returns the form in which one process hands a listing on to others.
func (l *Listing) Encode() []byte {
	b, err := json.Marshal(l)
	if err != nil {
		panic("discoverer: a listing cannot be encoded: " + err.Error()) // strings, numbers and booleans always can
	}
	return b
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
