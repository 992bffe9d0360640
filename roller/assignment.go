package roller

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cyclamenhub.org/identifier"
)

// Assignment is the version assigned to a request. The holder must call its End
// exactly once.
type Assignment struct {
	trial *trial
	slot  uint16
	arm   Arm
	level Level
	shard uint8
	// losses is the number of server losses before the request was assigned.
	losses uint64
	// begun is set once the first content has been observed.
	begun bool
}

// Version returns the version to send the request to, or "" if the service is
// unknown.
func (a Assignment) Version() identifier.Version {
	if a.trial == nil {
		return ""
	}
	return a.trial.version(a.arm)
}

// Candidate returns the version that a rollout in progress moves the service
// to, or "" if there is none.
func (a Assignment) Candidate() identifier.Version {
	if a.trial == nil {
		return ""
	}
	return a.trial.candidate
}

// Arm returns which of the two versions of a rollout the request is assigned
// to.
func (a Assignment) Arm() Arm { return a.arm }

// SlowAfter returns the time after which an answer without content counts as
// slow, and false if there is no such time.
func (a Assignment) SlowAfter() (time.Duration, bool) {
	if a.trial == nil || a.trial.rollout == "" {
		return 0, false
	}
	after := a.trial.slots[a.slot].threshold
	return after, after > 0
}

// FirstContent counts the request as slow if the first content of its answer took
// longer than the threshold. It is optional: without it, End does so. A stream
// may end long after its first content has shown that the version is slow.
func (a *Assignment) FirstContent(latency time.Duration) {
	if a.trial == nil || a.begun {
		return
	}
	a.begun = true
	a.trial.observeFirst(*a, latency)
}

// End counts how the request ended.
func (a Assignment) End(e Result) {
	if a.trial == nil {
		return
	}
	if a.arm == Candidate {
		a.trial.inFlight.Add(-1)
	}
	a.trial.observe(a, e)
}

// trafficSplit is the state that request goroutines read to assign a version.
// It is immutable once published.
type trafficSplit struct {
	trial    *trial
	level    Level
	inFlight int64
	// stopped is set if no request is assigned to the candidate.
	stopped bool
	// stoppedRoutes holds the routes whose requests are not assigned to the
	// candidate.
	stoppedRoutes map[identifier.Route]bool
}

// levelFor returns the level at which a request on route r is assigned. Local
// verdicts, and then the limit on in-flight requests, are checked before the
// assignment. They depend on nothing that follows from the assignment, which
// keeps the test valid.
func (t *trafficSplit) levelFor(r identifier.Route) Level {
	if t.level == NoLevel || t.stopped || t.stoppedRoutes[t.trial.routeKey(r)] {
		return NoLevel
	}
	return t.level
}

// hashPosition maps a request to [0, 1). The hash includes the rollout id, so
// that the same callers are not the first to reach the candidate in every
// rollout.
func hashPosition(rollout identifier.RolloutID, id identifier.RequestID) float64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(rollout))
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(string(id))
	return unit(d.Sum64())
}

// unit maps a hash uniformly to [0, 1).
func unit(h uint64) float64 {
	const mantissaBits = 53
	return float64(h>>(64-mantissaBits)) / (1 << mantissaBits)
}
