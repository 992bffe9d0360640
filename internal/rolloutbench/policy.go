package rolloutbench

import (
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/roller"
)

// policy decides which version each request is drawn for.
type policy interface {
	// begin starts the rollout.
	begin(now time.Time)
	// draw returns where a request goes.
	draw(host int, id identifier.RequestID, route int, b roller.Band) drawn
	// observe hears how a drawn request ended.
	observe(now time.Time, d drawn, e roller.Ending)
	// share returns the share of requests that the candidate would get if no
	// host were cut off.
	share() float64
	// outcome returns what became of the rollout so far.
	outcome() outcome
}

// drawn is a request after its draw.
type drawn struct {
	host      int
	route     int
	candidate bool
	ticket    roller.Ticket
}

// outcome is what became of a rollout. Times are zero until the thing happened.
type outcome struct {
	// moved is when all traffic was told to move.
	moved time.Time
	// done is when the policy gave the old version up.
	done time.Time
	// reverted is when the policy decided to take the candidate back.
	reverted time.Time
	cause    string
	// stopped holds, for each host, when it reached its own first verdict that
	// stops all draws of the candidate.
	stopped map[int]time.Time
}

// Policy names a policy.
type Policy string

// The policies that Run knows.
const (
	// Cyclamen is the policy of package roller.
	Cyclamen Policy = "roller"
	// Canary is a fixed five-step canary with a threshold on the summed error
	// rate.
	Canary Policy = "five-step canary"
)

// newPolicy returns the policy by its name.
func newPolicy(p Policy, s *Scenario, q *queue) policy {
	if p == Canary {
		return newCanary(s, q)
	}
	return newFleet(s, q)
}
