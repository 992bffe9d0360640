package reserver

import (
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/permitter"
)

// Notice is what a response of a server of a service said.
type Notice struct {
	// Refusals is the number of refusals in a second that the server survives, or nil
	// if the response did not say that the server is brittle.
	Refusals *identifier.RequestRate
	// Age is the time since the response arrived.
	Age time.Duration
}

// asOf returns the notice as an observation of a process, in a message that was sent or
// received at the given time.
func (n Notice) asOf(at time.Time) observation { return observation{n.Refusals, at.Add(-n.Age)} }

// observation is a notice with the time at which the response arrived, by the clock of
// this process. The zero value is none.
type observation struct {
	refusals *identifier.RequestRate
	at       time.Time
}

// notice returns the observation as a notice.
func (o observation) notice(now time.Time) Notice {
	return Notice{Refusals: o.refusals, Age: max(now.Sub(o.at), 0)}
}

// isBrittle reports whether the response said that the server is brittle.
func (o observation) isBrittle() bool { return o.refusals != nil }

// supersedes reports whether o is newer than the known observation.
func (o observation) supersedes(known observation) bool {
	if !o.isBrittle() && known.isBrittle() {
		return o.at.Sub(known.at) > permitter.EndMargin
	}
	return o.at.After(known.at)
}

// knowledge is what a process knows of a service.
type knowledge struct {
	known observation
	// since is when the service is known to have become brittle.
	since time.Time
}

// merge merges an observation and reports whether the service became brittle or
// stopped to be.
func (k *knowledge) merge(o observation, since time.Time) bool {
	was := k.known.isBrittle()
	if o.supersedes(k.known) {
		k.known = o
	}
	is := k.known.isBrittle()
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
