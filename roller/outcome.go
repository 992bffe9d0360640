package roller

import (
	"fmt"
	"time"

	"cyclamenhub.org/identifier"
)

// Outcome tells how a request ended.
type Outcome uint8

// The outcomes.
const (
	// Succeeded is a whole answer.
	Succeeded Outcome = iota
	// Failed is an answer that the version itself got wrong: an error status, a
	// broken body, or none within the limit while the connection was sound.
	Failed
	// Unreachable is a connection that was not made, or that had been lost
	// before the request. It speaks of the host or the network.
	Unreachable
	// Lost is a connection that broke with the request at work and no notice.
	// It counts as Failed where the server had been lost before and had come
	// back, and else as Unreachable.
	Lost
	// Reclaimed is an attempt on a server whose host was being taken away.
	Reclaimed
	// Withdrawn is an attempt that ended for a reason of the caller's or of this
	// host's own. It is not counted.
	Withdrawn
)

// Ending tells how a drawn request ended.
type Ending struct {
	Outcome Outcome
	// Latency is the time to the first token, or to the whole answer of a plain
	// service.
	Latency time.Duration
	// Server is the one that gave the outcome; empty where none did.
	Server identifier.BackendServer
}

// Arm tells the two versions of a rollout apart.
type Arm uint8

// The arms.
const (
	// Control is the present version.
	Control Arm = iota
	// Candidate is the version that traffic moves to.
	Candidate

	numArms = 2
)

// Band classifies the load of the service on the host, before a version is
// drawn: a band that followed from the version would bias the comparison.
type Band uint8

// The load bands.
const (
	LightLoad Band = iota
	MediumLoad
	HeavyLoad

	numBands = 3
)

// The lower bounds of the load bands, in parts of the capacity.
const (
	mediumLoadFrom = 0.5
	heavyLoadFrom  = 0.8
)

// BandOf returns the band for a number of requests in flight and the number
// that the service's servers run side by side. A capacity of 0 counts as full.
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

// numBuckets covers latencies from 1 ms to 65 s in quarter octaves.
const numBuckets = 64

// bucketOf returns the histogram bucket of a latency: four per octave above
// 1 ms, bounded by linear interpolation within the octave.
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
