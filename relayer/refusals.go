package relayer

import (
	"slices"
	"sync"
	"time"

	"cyclamenhub.org/timer"
)

const (
	// witnessTime is how long after refusals of several servers an older connection must be
	// open to show that its server is up. The connections of a process that ends close at
	// once.
	witnessTime = 50 * time.Millisecond
	// loneWitnessTime is the same for a server that is the only one. Nothing else speaks
	// for a cut then, and the end of a connection that is lost on its way comes again
	// after 200 ms.
	loneWitnessTime = 250 * time.Millisecond
	// knownCutTime is how long it is remembered that servers that are up refuse the
	// connections of this host, as long as none accepts one.
	knownCutTime = 10 * time.Second
)

// Ending is what is known of the process of a server that refuses new connections.
type Ending uint8

// Kinds of Ending.
const (
	// Undecided: the connections are to be looked at again a little later.
	Undecided Ending = iota
	// Ended: the process has ended.
	Ended
	// CutOff: this host is cut off, so that the refusal tells nothing of the process.
	CutOff
)

// String returns the name of an Ending in logs.
func (e Ending) String() string { return [...]string{"undecided", "ended", "cutOff"}[e] }

// Finding is what a host finds at a server, in a case of a refused connection.
type Finding struct {
	// Accepts and Refuses are what the server does with a new connection. Neither is set
	// if that is not known.
	Accepts, Refuses bool
	// IsOpen is whether an older connection is open.
	IsOpen bool
}

// Refusals decides whether the process of a server that refuses a new connection has ended.
// It is safe for concurrent use.
//
// Servers that are up are refused too, where a host is cut off from all of them in a way that
// leaves open connections alive. A host is cut off if no server accepts a connection and
// one that refuses it holds an older one open, which a process that has ended does not.
type Refusals struct {
	clock timer.Clock

	mu sync.Mutex
	// cutAt is when this host was found to be cut off, or zero.
	cutAt time.Time
}

// NewRefusals returns the Refusals of a host that is not cut off.
func NewRefusals(clock timer.Clock) *Refusals { return &Refusals{clock: clock} }

// Accepted records that a server has accepted a new connection.
func (r *Refusals) Accepted() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutAt = time.Time{}
}

// Judge returns what is known now of a server that refused a new connection at a time. others
// are all other servers, or some, that were tried since.
func (r *Refusals) Judge(server Finding, others []Finding, refusedAt time.Time) Ending {
	if slices.ContainsFunc(others, func(o Finding) bool { return o.Accepts }) {
		r.Accepted()
		return Ended
	}
	refusing := slices.DeleteFunc(slices.Clone(others), func(o Finding) bool { return !o.Refuses })
	if len(refusing) == 0 && len(others) > 0 {
		return Ended
	}
	needed := witnessTime
	if len(others) == 0 {
		needed = loneWitnessTime
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	switch isOpen := slices.ContainsFunc(append(refusing, server), func(f Finding) bool { return f.IsOpen }); {
	case !r.cutAt.IsZero() && now.Sub(r.cutAt) < knownCutTime:
		return CutOff
	case !isOpen:
		return Ended
	case now.Sub(refusedAt) < needed:
		return Undecided
	}
	r.cutAt = now
	return CutOff
}
