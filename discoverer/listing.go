package discoverer

import (
	"time"

	"cyclamenhub.org/identifier"
)

// Instance is one listed backend server.
type Instance struct {
	ID            identifier.BackendServer
	Service       identifier.Service
	Address       string
	FailureDomain identifier.FailureDomain
	Version       identifier.Version
	// Slots is how many requests it runs side by side.
	Slots int
	// Draining tells that it is leaving and takes no new work.
	Draining bool
	// Reclaimable tells that the platform may take it away at short notice.
	Reclaimable bool
	// ColdFor is how much longer it is slow after its start.
	ColdFor time.Duration
	// Born is when it started, in milliseconds since 1970, or 0 where unknown.
	Born int64
}

// Listing is one reading of the whole list. It is immutable.
type Listing struct {
	Instances []Instance
	// At is when the reading began.
	At time.Time
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
