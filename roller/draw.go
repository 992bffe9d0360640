package roller

import (
	"github.com/cespare/xxhash/v2"

	"cyclamenhub.org/identifier"
)

// Ticket says which version a request was drawn for. Its End must be
// called exactly once.
type Ticket struct {
	trial *trial
	slot  uint16
	arm   Arm
	level Level
	shard uint8
	// losses is the number of losses before the draw.
	losses uint64
}

// Version returns the version to send the request to.
func (t Ticket) Version() identifier.Version {
	if t.trial == nil {
		return ""
	}
	return t.trial.version(t.arm)
}

// Arm returns which of the two versions of a rollout that is.
func (t Ticket) Arm() Arm { return t.arm }

// End counts how the request ended.
func (t Ticket) End(e Ending) {
	if t.trial == nil {
		return
	}
	if t.arm == Candidate {
		t.trial.inFlight.Add(-1)
	}
	t.trial.observe(t, e)
}

// drawTable is what traffic goroutines read to draw a version. It is never
// changed once published.
type drawTable struct {
	trial    *trial
	level    Level
	inFlight int64
	// stopped is set once the candidate is drawn for no route.
	stopped bool
	// stoppedRoutes lists the routes for which the candidate is not drawn.
	stoppedRoutes map[identifier.Route]bool
}

// levelFor returns the level at which a request on route r is drawn. Local
// stops and the bound on requests in flight go first; they depend on nothing
// that follows from the draw, which keeps the test valid.
func (t *drawTable) levelFor(r identifier.Route) Level {
	if t.level == NoLevel || t.stopped || t.stoppedRoutes[t.trial.known(r)] {
		return NoLevel
	}
	return t.level
}

// position places a request in [0, 1). It depends on the rollout too, so that
// the same callers are not the first in each.
func position(rollout identifier.RolloutID, id identifier.RequestID) float64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(rollout))
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(string(id))
	return unit(d.Sum64())
}

// unit maps a hash evenly to [0, 1).
func unit(h uint64) float64 {
	const mantissaBits = 53
	return float64(h>>(64-mantissaBits)) / (1 << mantissaBits)
}
