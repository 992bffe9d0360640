package router

import (
	"math"
	"sync/atomic"
	"time"

	"cyclamenhub.org/identifier"
)

// server is what this host knows of one backend server beyond the table. It
// outlives tables; all fields are atomic.
type server struct {
	// id is a small number, from 1.
	id   uint32
	name identifier.BackendServer
	hash uint64

	// inFlight counts this host's requests, pending their prompt tokens whose
	// first token has not come.
	inFlight, pending atomic.Int64
	report            atomic.Pointer[report]
	// incarnation is that of the latest table; gone is 1 + the one that was
	// noticed to leave.
	incarnation, gone atomic.Uint64
	// suspectUntil is in nanoseconds since 1970; strikes counts the failures in
	// a row.
	suspectUntil atomic.Int64
	strikes      atomic.Int32
	// excess is how much later than estimated recent first tokens came.
	excess decaying
}

// report is the part of a load report that is due to other hosts.
type report struct {
	at       time.Time
	requests int64
}

// Bounds of suspicion after refusals and silence.
const (
	suspectFirst  = time.Second
	suspectLimit  = 30 * time.Second
	suspectDouble = 5
)

// strike makes the server suspect, longer with every failure in a row.
func (s *server) strike(now time.Time) {
	n := min(s.strikes.Add(1)-1, suspectDouble)
	d := min(suspectFirst<<n, suspectLimit)
	s.suspectUntil.Store(now.Add(d).UnixNano())
}

// clear ends the suspicion after a success.
func (s *server) clear() {
	if s.strikes.Load() != 0 {
		s.strikes.Store(0)
		s.suspectUntil.Store(0)
	}
}

// isGone reports whether that incarnation was noticed to leave.
func (s *server) isGone(incarnation uint64) bool { return s.gone.Load() > incarnation }

// isSuspect reports whether the server failed a short while ago.
func (s *server) isSuspect(now time.Time) bool {
	until := s.suspectUntil.Load()
	return until != 0 && now.UnixNano() < until
}

// average is an exponentially weighted moving average that is safe for
// concurrent use; concurrent additions may be lost. Its zero value knows
// nothing.
type average struct{ bits atomic.Uint64 }

// averageWeight is the part of a new value.
const averageWeight = 0.05

// add takes a positive value in.
func (a *average) add(v float64) {
	if v <= 0 {
		return
	}
	old := a.value(v)
	a.bits.Store(math.Float64bits(old + averageWeight*(v-old)))
}

// value returns the average, or otherwise where nothing is known.
func (a *average) value(otherwise float64) float64 {
	if b := a.bits.Load(); b != 0 {
		return math.Float64frombits(b)
	}
	return otherwise
}

// decaying is a moving average that halves every excessHalfLife, so that what
// was slow is tried again. Its zero value is 0.
type decaying struct {
	bits atomic.Uint64
	at   atomic.Int64
}

// Constants of a decaying average.
const (
	excessHalfLife = 2 * time.Second
	excessWeight   = 0.3
)

// value returns the average at a time.
func (d *decaying) value(now time.Time) float64 {
	bits := d.bits.Load()
	if bits == 0 {
		return 0
	}
	age := time.Duration(now.UnixNano() - d.at.Load())
	return math.Float64frombits(bits) * math.Exp2(-age.Seconds()/excessHalfLife.Seconds())
}

// add takes a value in.
func (d *decaying) add(v float64, now time.Time) {
	old := d.value(now)
	d.bits.Store(math.Float64bits(old + excessWeight*(v-old)))
	d.at.Store(now.UnixNano())
}
