package reserver

import (
	"time"

	"cyclamenhub.org/announcer"
	"cyclamenhub.org/identifier"
)

// knowledge is what a process knows of a service.
type knowledge struct {
	known announcer.Observation
	// since is when the service is known to have become brittle.
	since time.Time
}

// merge merges an observation and reports whether the service became brittle or
// stopped to be.
func (k *knowledge) merge(o announcer.Observation, since time.Time) bool {
	was := k.known.Announces()
	if o.Supersedes(k.known) {
		k.known = o
	}
	is := k.known.Announces()
	switch {
	case is && !was:
		k.since = since
	case is && since.Before(k.since):
		k.since = since
	}
	return is != was
}

// Change is news of a service.
type Change struct {
	Service identifier.Service
	// Refusals is the number of refusals in a second that a server survives, or nil if
	// the service is no longer brittle.
	Refusals *identifier.RequestRate
}
