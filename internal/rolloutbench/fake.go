package rolloutbench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/roller"
)

// The latency of a sound version: log-normal, slower under heavy load.
const (
	medianLatency  = 800 * time.Millisecond
	latencySigma   = 0.5
	heavySlowdown  = 1.6
	failureLatency = 100 * time.Millisecond
	// answerLimit is when the entry host gives an answer up as failed.
	answerLimit = 10 * time.Second
)

// The effect of a reclaim wave on the requests from its failure domain. The
// candidate has few servers, so that a wave may take most of them, while what
// is left of either version is overloaded alike.
const (
	waveReclaimsControl   = 0.3
	waveReclaimsCandidate = 0.7
	waveFails             = 0.3
	// waveNoticed is the part of the lost attempts that a notice announced.
	waveNoticed = 0.7
	// waveBreaks is how long a wave breaks connections at work; later ones are
	// not made.
	waveBreaks = 2 * time.Second
)

// call is one request as the fake versions see it.
type call struct {
	at        time.Time
	host      int
	route     int
	band      roller.Band
	candidate bool
	// share is the candidate's share of the fleet's requests.
	share float64
}

// result is how a call ended.
type result struct {
	roller.Ending
	// bad is set where the candidate's own fault decided it.
	bad bool
}

// ended returns a result that no fault of the candidate's decided.
func ended(o roller.Outcome, latency time.Duration, b identifier.BackendServer) result {
	return result{Ending: roller.Ending{Outcome: o, Latency: latency, Server: b}}
}

// fault returns a result that the candidate's own fault decided.
func fault(o roller.Outcome, latency time.Duration, b identifier.BackendServer) result {
	r := ended(o, latency, b)
	r.bad = true
	return r
}

// server names the server that answers: each version has one per failure
// domain, which keeps its name when it restarts.
func (c *call) server() identifier.BackendServer {
	return serverNames[arm(c.candidate)][c.host%numDomains]
}

// server names a server that the wave took away for good; its replacement has
// another name.
func (w span) server(c *call) identifier.BackendServer {
	return identifier.BackendServer(fmt.Sprint(c.server(), "-", w.from.Unix()))
}

// serverNames holds the servers of each arm by failure domain.
var serverNames = [2][numDomains]identifier.BackendServer{{"a1", "b1", "c1", "d1"}, {"a2", "b2", "c2", "d2"}}

func arm(candidate bool) roller.Arm {
	if candidate {
		return roller.Candidate
	}
	return roller.Control
}

// answer draws how a call ends.
func (s *Scenario) answer(c *call, rng *rand.Rand) result {
	if r, ok := s.waveAnswer(c, rng); ok {
		return r
	}
	latency := soundLatency(c.band, rng)
	if c.candidate && s.isBadFor(c) {
		return s.badAnswer(c, latency, rng)
	}
	return s.soundAnswer(c, latency, rng)
}

// waveAnswer draws how a call ends that a reclaim wave hits.
func (s *Scenario) waveAnswer(c *call, rng *rand.Rand) (result, bool) {
	for _, w := range s.waves {
		if w.domain != c.host%numDomains || !w.holds(c.at) {
			continue
		}
		lost := waveReclaimsControl
		if c.candidate {
			lost = waveReclaimsCandidate
		}
		if rng.Float64() < lost {
			o := roller.Unreachable
			if c.at.Sub(w.from) < waveBreaks {
				o = roller.Lost
			}
			if rng.Float64() < waveNoticed {
				o = roller.Reclaimed
			}
			return ended(o, failureLatency, w.server(c)), true
		}
		if rng.Float64() < waveFails {
			return ended(roller.Failed, failureLatency, c.server()), true
		}
	}
	return result{}, false
}

// isBadFor reports whether the candidate's fault shows in a call.
func (s *Scenario) isBadFor(c *call) bool {
	switch s.Kind {
	case FailsAtOnce, SlowsDown, Hangs, Crashes:
		return true
	case BadAfterHour:
		return c.at.Sub(start) >= badAfter
	case BadUnderLoad:
		return c.band == roller.HeavyLoad
	case BadOnRoute:
		return c.route == s.badRoute
	case BadAtShare:
		return c.share >= badShare
	case Good, ReclaimWaves:
		return false
	default:
		return false
	}
}

// badAnswer draws how a call ends that the candidate's fault touches.
func (s *Scenario) badAnswer(c *call, latency time.Duration, rng *rand.Rand) result {
	if s.Kind == SlowsDown {
		return fault(roller.Succeeded, time.Duration(s.slowing*float64(latency)), c.server())
	}
	if rng.Float64() >= s.failing {
		return s.soundAnswer(c, latency, rng)
	}
	switch s.Kind {
	case Hangs:
		return fault(roller.Failed, answerLimit, c.server())
	case Crashes:
		return fault(roller.Lost, failureLatency, c.server())
	default:
		return fault(roller.Failed, failureLatency, c.server())
	}
}

// soundAnswer draws how a call ends on a version without a fault.
func (s *Scenario) soundAnswer(c *call, latency time.Duration, rng *rand.Rand) result {
	if rng.Float64() < s.background {
		return ended(roller.Failed, failureLatency, c.server())
	}
	return ended(roller.Succeeded, latency, c.server())
}

// soundLatency draws the latency of a version without a fault.
func soundLatency(b roller.Band, rng *rand.Rand) time.Duration {
	f := math.Exp(latencySigma * rng.NormFloat64())
	if b == roller.HeavyLoad {
		f *= heavySlowdown
	}
	return time.Duration(f * float64(medianLatency))
}
