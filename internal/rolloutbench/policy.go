package rolloutbench

import (
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/sequencer"
	"cyclamenhub.org/roller"
)

// policy decides which version serves each request.
type policy interface {
	// begin starts the rollout.
	begin(now time.Time)
	// pick picks the version for a request.
	pick(host int, id identifier.RequestID, route int, b roller.Band) pickedRequest
	// observe processes the result of a request that pick returned.
	observe(now time.Time, req pickedRequest, e roller.Result)
	// share returns the share of requests that the candidate would get if no
	// host were partitioned from the controller.
	share() float64
	// outcome returns the outcome of the rollout so far.
	outcome() outcome
}

// pickedRequest is a request with the version that the policy picked.
type pickedRequest struct {
	host       int
	route      int
	candidate  bool
	assignment roller.Assignment
}

// candidateRuns reports whether the servers of the candidate that the request
// is compared with have started. A request outside a rollout is compared with
// none.
func (p *pickedRequest) candidateRuns(s *Scenario, now time.Time) bool {
	return p.assignment.Candidate() == "" || !now.Before(rolloutStart.Add(s.pace.start))
}

// outcome is the outcome of a rollout. A time is zero until its event has
// happened.
type outcome struct {
	// moved is when the policy directed all traffic to the candidate.
	moved time.Time
	// done is when the policy released the old version.
	done time.Time
	// reverted is when the policy decided to revert to the old version.
	reverted time.Time
	cause    string
	// stopped holds, by host index, the time of the host's own first verdict
	// that stops all requests to the candidate.
	stopped map[int]time.Time
}

// Policy is the name of a policy.
type Policy string

// The policies that Run supports.
const (
	// Cyclamen is the policy of package roller.
	Cyclamen Policy = "roller"
	// Canary is a fixed five-step canary with a threshold for the error rate
	// over all requests.
	Canary Policy = "five-step canary"
)

// newPolicy returns the policy of the given name.
func newPolicy(p Policy, s *Scenario, q *sequencer.Queue) policy {
	if p == Canary {
		return newCanary(s, q)
	}
	return newFleet(s, q)
}
