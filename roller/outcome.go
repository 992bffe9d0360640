package roller

import (
	"fmt"
	"time"

	"cyclamenhub.org/identifier"
)

// Outcome is how a request ended.
type Outcome uint8

// The outcomes.
const (
	// Succeeded is a complete answer.
	Succeeded Outcome = iota
	// Failed is an incorrect answer from the version itself: an error status, a
	// broken body, or no answer within the time limit over an intact
	// connection.
	Failed
	// Unreachable is a connection that could not be made, or that was lost
	// before the request was sent. It is attributed to the host or the network.
	Unreachable
	// Lost is a connection that broke without a reclaim notice while the request
	// was in flight. It counts as Failed if the server had been lost before and
	// had recovered, and as Unreachable otherwise.
	Lost
	// Reclaimed is an attempt on a server whose host was being reclaimed.
	Reclaimed
	// Withdrawn is an attempt that ended for a reason on the caller's side or
	// within this host. It is not counted.
	Withdrawn
)

// Result describes how a request ended.
type Result struct {
	Outcome Outcome
	// Latency is the time to the first token, or to the complete answer of a
	// plain service.
	Latency time.Duration
	// Server is the server that gave the outcome, or empty if none did.
	Server identifier.BackendServer
}

// Arm identifies one of the two versions of a rollout.
type Arm uint8

// The arms.
const (
	// Control is the current version.
	Control Arm = iota
	// Candidate is the version that traffic moves to.
	Candidate

	numArms = 2
)

// Band classifies the load of the service on the host. It is determined before
// a version is picked: a band that depended on the version would bias the
// comparison.
type Band uint8

// The load bands.
const (
	LightLoad Band = iota
	MediumLoad
	HeavyLoad

	numBands = 3
)

// The lower bounds of the load bands, as fractions of the capacity.
const (
	mediumLoadFrom = 0.5
	heavyLoadFrom  = 0.8
)

// BandOf returns the band for a number of in-flight requests and the number of
// requests that the service's servers can run concurrently. A capacity of 0
// counts as 1.
func BandOf(inFlight, capacity int) Band {
	load := float64(inFlight) / float64(max(capacity, 1))
	switch {
	case load >= heavyLoadFrom:
		return HeavyLoad
	case load >= mediumLoadFrom:
		return MediumLoad
	default:
		return LightLoad
	}
}

// String returns the band's name.
func (b Band) String() string {
	switch b {
	case LightLoad:
		return "light"
	case MediumLoad:
		return "medium"
	case HeavyLoad:
		return "heavy"
	default:
		return fmt.Sprintf("band %d", uint8(b))
	}
}

// numBuckets is the number of histogram buckets. They cover latencies from 1 ms
// to 65 s in quarter octaves.
const numBuckets = 64

// bucketOf returns the histogram bucket of a latency. Each octave above 1 ms
// has four buckets, which divide it linearly.
func bucketOf(d time.Duration) int {
	us := uint64(max(d, 0) / time.Microsecond)
	if us < 1024 {
		return 0
	}
	octave := 0
	for v := us >> 10; v > 1; v >>= 1 {
		octave++
	}
	quarter := int(us>>(octave+8)) & 3
	return min(octave*4+quarter+1, numBuckets-1)
}

// bucketEnd returns the upper bound of a bucket.
func bucketEnd(i int) time.Duration {
	octave, quarter := i/4, i%4
	return time.Duration((4+quarter)<<(octave+8)) * time.Microsecond
}
