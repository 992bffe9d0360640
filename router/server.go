package router

import (
	"math"
	"sync/atomic"
	"time"

	"cyclamenhub.org/identifier"
)

// server is this host's own state of one backend server. It persists across
// routing tables. Fields that change are atomic.
type server struct {
	// id is a small positive number that identifies the server in cache hints.
	id   uint32
	name identifier.BackendServer
	hash uint64

	// inFlight counts this host's in-flight requests. pendingTokens counts the
	// uncached prompt tokens of those that wait for the first token.
	inFlight, pendingTokens atomic.Int64
	report                  atomic.Pointer[report]
	// incarnation is that of the latest routing table. goneBelow is one more
	// than the incarnation for which a leaving notice was observed, or 0.
	incarnation, goneBelow atomic.Uint64
	// suspectUntil is the end of the suspicion in nanoseconds since 1970.
	// failures counts consecutive failures.
	suspectUntil atomic.Int64
	failures     atomic.Int32
	// firstTokenDelay is how much later than estimated recent first tokens
	// arrived, in seconds.
	firstTokenDelay decayingAverage
}

// report is the part of a load report that other hosts cause.
type report struct {
	at       time.Time
	requests int64
}

// Bounds on how long a server is suspect after refusals and time-outs.
const (
	minSuspicion          = time.Second
	maxSuspicion          = 30 * time.Second
	maxSuspicionDoublings = 5
)

// recordFailure makes the server suspect. The duration doubles with each
// consecutive failure up to maxSuspicion.
func (s *server) recordFailure(now time.Time) {
	n := min(s.failures.Add(1)-1, maxSuspicionDoublings)
	d := min(minSuspicion<<n, maxSuspicion)
	s.suspectUntil.Store(now.Add(d).UnixNano())
}

// clearFailures resets the failure count and ends the suspicion.
func (s *server) clearFailures() {
	if s.failures.Load() != 0 {
		s.failures.Store(0)
		s.suspectUntil.Store(0)
	}
}

// isGone reports whether a leaving notice was observed for the given
// incarnation or a later one.
func (s *server) isGone(incarnation uint64) bool { return s.goneBelow.Load() > incarnation }

// isSuspect reports whether the server is suspect because of recent failures.
func (s *server) isSuspect(now time.Time) bool {
	until := s.suspectUntil.Load()
	return until != 0 && now.UnixNano() < until
}

// movingAverage is an exponentially weighted moving average. It is safe for
// concurrent use, but concurrent additions may be lost. The zero value is
// empty.
type movingAverage struct{ bits atomic.Uint64 }

// movingAverageWeight is the weight of a new value.
const movingAverageWeight = 0.05

// add adds a value. It ignores values that are not positive.
func (a *movingAverage) add(v float64) {
	if v <= 0 {
		return
	}
	old := a.value(v)
	a.bits.Store(math.Float64bits(old + movingAverageWeight*(v-old)))
}

// value returns the average, or fallback if no value was added.
func (a *movingAverage) value(fallback float64) float64 {
	if b := a.bits.Load(); b != 0 {
		return math.Float64frombits(b)
	}
	return fallback
}

// decayingAverage is a moving average that halves every delayHalfLife, so that
// servers that were slow are tried again. The zero value is 0.
type decayingAverage struct {
	bits atomic.Uint64
	at   atomic.Int64
}

// Parameters of decayingAverage: the half-life, and the weight of a new value.
const (
	delayHalfLife = 2 * time.Second
	delayWeight   = 0.3
)

// value returns the average at the given time.
func (d *decayingAverage) value(now time.Time) float64 {
	bits := d.bits.Load()
	if bits == 0 {
		return 0
	}
	age := time.Duration(now.UnixNano() - d.at.Load())
	return math.Float64frombits(bits) * math.Exp2(-age.Seconds()/delayHalfLife.Seconds())
}

// add adds a value at the given time.
func (d *decayingAverage) add(v float64, now time.Time) {
	old := d.value(now)
	d.bits.Store(math.Float64bits(old + delayWeight*(v-old)))
	d.at.Store(now.UnixNano())
}
