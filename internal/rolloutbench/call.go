package rolloutbench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/roller"
)

// The latency of a version without a fault is log-normal, and longer under
// heavy load.
const (
	latencySigma   = 0.5
	heavySlowdown  = 1.6
	failureLatency = 100 * time.Millisecond
	// answerTimeout is the time after which the entry host counts an answer as
	// failed.
	answerTimeout = 10 * time.Second
)

// The effect of a reclaim wave on the requests of its failure domain. The
// candidate has few servers, so a wave may take most of them. The remaining
// servers of both versions are equally overloaded.
const (
	waveReclaimShareControl   = 0.3
	waveReclaimShareCandidate = 0.7
	waveFailureProbability    = 0.3
	// waveNoticedShare is the share of the lost attempts whose server had a
	// reclaim notice.
	waveNoticedShare = 0.7
	// waveBreakPeriod is how long a wave breaks established connections. After
	// it, attempts fail to connect instead.
	waveBreakPeriod = 2 * time.Second
)

// call is one request as the simulated versions see it.
type call struct {
	at        time.Time
	host      int
	route     int
	band      roller.Band
	candidate bool
	// share is the candidate's share of all requests of the fleet.
	share float64
}

// callResult is how a call ended.
type callResult struct {
	roller.Result
	// candidateFault is set if a fault of the candidate caused the result.
	candidateFault bool
}

// newCallResult returns a result that no fault of the candidate caused.
func newCallResult(o roller.Outcome, latency time.Duration, b identifier.BackendServer) callResult {
	return callResult{Result: roller.Result{Outcome: o, Latency: latency, Server: b}}
}

// newFaultResult returns a result that a fault of the candidate caused.
func newFaultResult(o roller.Outcome, latency time.Duration, b identifier.BackendServer) callResult {
	r := newCallResult(o, latency, b)
	r.candidateFault = true
	return r
}

// server returns the name of the server that answers. Each version has one
// server per failure domain, which keeps its name when it restarts.
func (c *call) server() identifier.BackendServer {
	return serverNames[armOf(c.candidate)][c.host%numDomains]
}

// reclaimedServer returns the name of a server that the wave reclaimed for
// good. Its replacement has another name.
func (w domainWindow) reclaimedServer(c *call) identifier.BackendServer {
	return identifier.BackendServer(fmt.Sprint(c.server(), "-", w.from.Unix()))
}

// serverNames holds the servers of each arm by failure domain.
var serverNames = [2][numDomains]identifier.BackendServer{{"a1", "b1", "c1", "d1"}, {"a2", "b2", "c2", "d2"}}

func armOf(candidate bool) roller.Arm {
	if candidate {
		return roller.Candidate
	}
	return roller.Control
}

// sampleResult samples how a call ends.
func (s *Scenario) sampleResult(c *call, rng *rand.Rand) callResult {
	if r, ok := s.sampleWaveResult(c, rng); ok {
		return r
	}
	latency := s.sampleHealthyLatency(c.band, rng)
	if c.candidate && s.hasFault(c) {
		return s.sampleFaultyResult(c, latency, rng)
	}
	return s.sampleHealthyResult(c, latency, rng)
}

// sampleWaveResult samples how a call ends if a reclaim wave affects it. The
// second result reports whether one does.
func (s *Scenario) sampleWaveResult(c *call, rng *rand.Rand) (callResult, bool) {
	for _, w := range s.waves {
		if w.domain != c.host%numDomains || !w.contains(c.at) {
			continue
		}
		lostShare := waveReclaimShareControl
		if c.candidate {
			lostShare = waveReclaimShareCandidate
		}
		if rng.Float64() < lostShare {
			o := roller.Unreachable
			if c.at.Sub(w.from) < waveBreakPeriod {
				o = roller.Lost
			}
			if rng.Float64() < waveNoticedShare {
				o = roller.Reclaimed
			}
			return newCallResult(o, failureLatency, w.reclaimedServer(c)), true
		}
		if rng.Float64() < waveFailureProbability {
			return newCallResult(roller.Failed, failureLatency, c.server()), true
		}
	}
	return callResult{}, false
}

// hasFault reports whether the candidate's fault affects a call.
func (s *Scenario) hasFault(c *call) bool {
	switch s.Kind {
	case FailsAtOnce, SlowsDown, Hangs, Crashes:
		return true
	case BadLater:
		return c.at.Sub(rolloutStart) >= s.pace.turnsBadAfter
	case BadUnderLoad:
		return c.band == roller.HeavyLoad
	case BadOnRoute:
		return c.route == s.badRoute
	case BadAtShare:
		return c.share >= badFromShare
	case Good, ReclaimWaves:
		return false
	default:
		return false
	}
}

// sampleFaultyResult samples how a call ends that the candidate's fault
// affects.
func (s *Scenario) sampleFaultyResult(c *call, latency time.Duration, rng *rand.Rand) callResult {
	if s.Kind == SlowsDown {
		return newFaultResult(roller.Succeeded, time.Duration(s.slowdown*float64(latency)), c.server())
	}
	if rng.Float64() >= s.failureProbability {
		return s.sampleHealthyResult(c, latency, rng)
	}
	switch s.Kind {
	case Hangs:
		return newFaultResult(roller.Failed, answerTimeout, c.server())
	case Crashes:
		return newFaultResult(roller.Lost, failureLatency, c.server())
	default:
		return newFaultResult(roller.Failed, failureLatency, c.server())
	}
}

// sampleHealthyResult samples how a call ends on a version without a fault.
func (s *Scenario) sampleHealthyResult(c *call, latency time.Duration, rng *rand.Rand) callResult {
	if rng.Float64() < s.backgroundFailureProbability {
		return newCallResult(roller.Failed, failureLatency, c.server())
	}
	return newCallResult(roller.Succeeded, latency, c.server())
}

// sampleHealthyLatency samples the latency of a version without a fault.
func (s *Scenario) sampleHealthyLatency(b roller.Band, rng *rand.Rand) time.Duration {
	f := math.Exp(latencySigma * rng.NormFloat64())
	if b == roller.HeavyLoad {
		f *= heavySlowdown
	}
	return time.Duration(f * float64(s.pace.medianLatency))
}
