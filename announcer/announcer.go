// Package announcer decides which of several announcements of backend servers is the
// newest. A server announces a rate in the headers of its responses, which arrive at many
// hosts; hosts and the leader tell each other what they have seen.
//
// A Notice is an announcement in a message: it has an age, since the clocks of two
// processes differ. An Observation is the same by the clock of one process. A host that was
// told something by a leader tells it a new one, and follows by a Confirmation whether it
// still holds. Nothing here does I/O or reads a clock.
//
// # Usage
//
//	seen := announcer.Observation{Rate: reply.Limit, At: now} // from a response
//	if seen.Supersedes(known) {
//		known = seen
//	}
//	notice := known.Notice(now)   // into a message
//	other := notice.AsOf(sentAt)  // from a message
package announcer

import (
	"time"

	"cyclamenhub.org/identifier"
)

// EndMargin is how much newer a response without an announcement must be than the
// last one with it to end it. Responses overtake each other on their way to a
// host, and their times at other hosts are known only within the time of a
// message.
const EndMargin = 500 * time.Millisecond

// UnconfirmedTTL is how long what a host knows counts under a leader that does not confirm it. By then the hosts with answers of their own have reported.
const UnconfirmedTTL = 3 * time.Second

// Notice is what a response announced.
type Notice struct {
	// Rate is the announced number per second, or nil if the response announced none.
	Rate *identifier.RequestRate
	// Age is the time since the response arrived.
	Age time.Duration
}

// AsOf returns the notice as an observation of a process, in a message that was
// sent or received at the given time.
func (n Notice) AsOf(at time.Time) Observation {
	return Observation{Rate: n.Rate, At: at.Add(-n.Age)}
}

// Observation is a notice with the time at which the response arrived, by the
// clock of this process. The zero value is none.
type Observation struct {
	Rate *identifier.RequestRate
	At   time.Time
}

// Notice returns the observation as a notice.
func (o Observation) Notice(now time.Time) Notice {
	return Notice{Rate: o.Rate, Age: max(now.Sub(o.At), 0)}
}

// Announces reports whether the response announced a rate.
func (o Observation) Announces() bool { return o.Rate != nil }

// Supersedes reports whether o is newer than the known observation.
func (o Observation) Supersedes(known Observation) bool {
	if !o.Announces() && known.Announces() {
		return o.At.Sub(known.At) > EndMargin
	}
	return o.At.After(known.At)
}

// IsTold reports whether o, the newest that a host knows, says more than its own newest
// answer: a leader has told it, or that answer came too soon after it to end it.
func (o Observation) IsTold(own Observation) bool {
	return o.Announces() && (!own.Announces() || o.At.After(own.At))
}

// OutweighsAsTold reports whether an announcement that a host was told by a former leader
// counts where the given observation is known. It counts only while nothing is announced,
// and may look newer than it is by the time of a message.
func (o Observation) OutweighsAsTold(known Observation) bool {
	return !known.Announces() && o.At.Sub(known.At) > EndMargin
}

// Confirmation follows whether the leader confirms what a host knows. The zero value is
// one that has heard no leader yet.
type Confirmation struct {
	// missingSince is when a leader first answered without a confirmation, or zero.
	missingSince time.Time
}

// IsOverdue records an answer of the leader, and reports whether none has been a confirmation
// for UnconfirmedTTL.
func (c *Confirmation) IsOverdue(now time.Time, isConfirmed bool) bool {
	switch {
	case isConfirmed:
		c.missingSince = time.Time{}
		return false
	case c.missingSince.IsZero():
		c.missingSince = now
	}
	return now.Sub(c.missingSince) >= UnconfirmedTTL
}
