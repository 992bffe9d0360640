package rolloutbench

import (
	"math"
	"math/rand/v2"
	"time"

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
	outcome roller.Outcome
	latency time.Duration
	// bad is set where the candidate's own fault decided it.
	bad bool
}

// answer draws how a call ends.
func (s *Scenario) answer(c *call, rng *rand.Rand) result {
	if r, ok := s.waveAnswer(c, rng); ok {
		return r
	}
	latency := soundLatency(c.band, rng)
	if c.candidate && s.isBadFor(c) {
		return s.badAnswer(latency, rng)
	}
	return s.soundAnswer(latency, rng)
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
			if rng.Float64() < waveNoticed {
				o = roller.Reclaimed
			}
			return result{outcome: o, latency: failureLatency}, true
		}
		if rng.Float64() < waveFails {
			return result{outcome: roller.Failed, latency: failureLatency}, true
		}
	}
	return result{}, false
}

// isBadFor reports whether the candidate's fault shows in a call.
func (s *Scenario) isBadFor(c *call) bool {
	switch s.Kind {
	case FailsAtOnce, SlowsDown, Hangs:
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
func (s *Scenario) badAnswer(latency time.Duration, rng *rand.Rand) result {
	if s.Kind == SlowsDown {
		return result{outcome: roller.Succeeded, latency: time.Duration(s.slowing * float64(latency)), bad: true}
	}
	if rng.Float64() >= s.failing {
		return s.soundAnswer(latency, rng)
	}
	if s.Kind == Hangs {
		return result{outcome: roller.Failed, latency: answerLimit, bad: true}
	}
	return result{outcome: roller.Failed, latency: failureLatency, bad: true}
}

// soundAnswer draws how a call ends on a version without a fault.
func (s *Scenario) soundAnswer(latency time.Duration, rng *rand.Rand) result {
	if rng.Float64() < s.background {
		return result{outcome: roller.Failed, latency: failureLatency}
	}
	return result{outcome: roller.Succeeded, latency: latency}
}

// soundLatency draws the latency of a version without a fault.
func soundLatency(b roller.Band, rng *rand.Rand) time.Duration {
	f := math.Exp(latencySigma * rng.NormFloat64())
	if b == roller.HeavyLoad {
		f *= heavySlowdown
	}
	return time.Duration(f * float64(medianLatency))
}
