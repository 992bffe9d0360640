package discoverer

import (
	"encoding/json"
	"fmt"
	"time"

	"cyclamenhub.org/identifier"
)

// Instance is one listed backend server.
type Instance struct {
	ID            identifier.BackendServer `json:"id"`
	Service       identifier.Service       `json:"service"`
	Address       string                   `json:"address"`
	FailureDomain identifier.FailureDomain `json:"failureDomain"`
	Version       identifier.Version       `json:"version"`
	// Slots is how many requests it runs side by side.
	Slots int `json:"slots"`
	// Draining tells that it is leaving and takes no new work.
	Draining bool `json:"draining,omitempty"`
	// Reclaimable tells that the platform may take it away at short notice.
	Reclaimable bool `json:"reclaimable,omitempty"`
	// ColdFor is how much longer it is slow after its start.
	ColdFor time.Duration `json:"-"`
	// Born is when it started, in milliseconds since 1970, or 0 where unknown.
	Born int64 `json:"born,omitempty"`
}

// Listing is one reading of the whole list. It is immutable.
type Listing struct {
	Instances []Instance `json:"instances"`
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
func sameInstances(a, b []Instance) bool {
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
