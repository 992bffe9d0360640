package placer

import (
	"math"
	"slices"
	"time"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
)

// Server is a backend server that can be chosen.
type Server struct {
	ID            identifier.BackendServer
	Service       identifier.Service
	Version       identifier.Version
	FailureDomain identifier.FailureDomain
	// Region is that of the failure domain, or empty if it is not known.
	Region identifier.Region
	// Incarnation distinguishes successive starts of a server with the same id.
	Incarnation uint64
	// Slots is the number of calls that the server runs concurrently.
	Slots int
	// Engine is whether the server is a model engine. Memory is its capacity in
	// tokens for running generations and the prefix cache.
	Engine bool
	Memory identifier.Tokens
	// EventTokens is the number of tokens in an event of a stream, 0 if it is not
	// known.
	EventTokens identifier.Tokens
	// EventGap is the shortest of the longest pauses that the routes of the service
	// allow between two events, 0 if none says so.
	EventGap time.Duration
	// Leaving servers accept no new calls.
	Leaving bool
	// ColdLimit is the rate of requests of all hosts to the server while it is
	// cold, which it is for WarmUpTime after a start; 0 means that there is none.
	ColdLimit  identifier.RequestRate
	WarmUpTime time.Duration
	// ColdUntil is when the server, which is listed as cold, gets warm; zero means
	// that it is listed as warm.
	ColdUntil time.Time
}

// Load is the load of a server.
type Load struct {
	// Running is the number of calls, Unread the number of prompt tokens not
	// processed yet, and Context the number of tokens in memory.
	Running         int
	Unread, Context identifier.Tokens
}

// Plus returns l plus o.
func (l Load) Plus(o Load) Load {
	return Load{l.Running + o.Running, l.Unread + o.Unread, l.Context + o.Context}
}

// Minus returns l minus o.
func (l Load) Minus(o Load) Load {
	return Load{l.Running - o.Running, l.Unread - o.Unread, l.Context - o.Context}
}

// times returns l multiplied by f, rounded.
func (l Load) times(f float64) Load {
	scale := func(n identifier.Tokens) identifier.Tokens { return identifier.Tokens(math.Round(float64(n) * f)) }
	return Load{int(math.Round(float64(l.Running) * f)), scale(l.Unread), scale(l.Context)}
}

const (
	// maxCachedParts limits the prompt parts that are recorded as cached for
	// each server.
	maxCachedParts = 512
	// cachedPartTTL is how long after its last use a part is assumed to be in
	// the prefix cache.
	cachedPartTTL = 20 * time.Second
	// backoffMin is how long an unreachable server is avoided. The time doubles
	// with each consecutive failure, up to backoffMax.
	backoffMin = time.Second
	backoffMax = 8 * time.Second
	// decayHalfLife is the half-life of the slowness and the failure rate of a
	// server, and for trials of its time of a call.
	decayHalfLife = 4 * time.Second
	// averageWeight is the weight of a new sample in a moving average.
	averageWeight = 0.25
)

// serverState is what this host knows of one server. Placer.mu guards it.
type serverState struct {
	Server
	// own is the load that this host has placed at the server. others is the
	// last reported load of the other hosts. sinceReport is the load that this
	// host has placed since that report, including calls that have ended.
	own, sinceReport, others Load
	// cachedParts maps the id of a prompt part to the time of its last use at
	// the server.
	cachedParts map[identifier.PartID]time.Time
	// slowness is the ratio of the measured to the expected time to the first
	// token. failureRate is the fraction of calls that failed. Both decay.
	slowness, failureRate decayingAverage
	// callSeconds is the moving average, in seconds, of the time to the first
	// content of a plain call; 0 means not measured.
	callSeconds float64
	// triedAt is when a call was last assigned to the server or got its first content.
	triedAt time.Time

	// forLong is whether the server is kept for long prompts.
	forLong bool

	// announced is what the responses of the server said about taking calls.
	announced announced

	connectFailures int
	backoffUntil    time.Time
	// awaitingFirst are the choices whose first content has not arrived, oldest
	// first. lastContent is when the server last sent first content.
	awaitingFirst []*Choice
	lastContent   time.Time
}

// decayingAverage is a moving average that decays to its baseline.
type decayingAverage struct {
	baseline, value float64
	at              time.Time
}

// get returns the average at the time now.
func (a *decayingAverage) get(now time.Time) float64 {
	if a.at.IsZero() {
		return a.baseline
	}
	return a.baseline + (a.value-a.baseline)*remaining(now.Sub(a.at))
}

// remaining returns the part of a measurement of the given age that still counts.
func remaining(age time.Duration) float64 {
	return math.Exp2(-age.Seconds() / decayHalfLife.Seconds())
}

// add adds the sample v.
func (a *decayingAverage) add(now time.Time, v float64) {
	old := a.get(now)
	a.value, a.at = old+averageWeight*(v-old), now
}

// newServerState returns the state of a new server.
func newServerState(s Server) *serverState {
	return &serverState{Server: s, cachedParts: make(map[identifier.PartID]time.Time), slowness: decayingAverage{baseline: 1}, failureRate: decayingAverage{}}
}

// inBackoff reports whether the server is avoided after a connection failure.
func (s *serverState) inBackoff(now time.Time) bool { return now.Before(s.backoffUntil) }

// unresponsiveAfter is the minimum time for which a server with pending calls
// must send no first content before it is avoided. A busy server sends the first
// content of some call within that time.
const unresponsiveAfter = time.Second

// isUnresponsive reports whether the server has sent no first content since it
// received its oldest pending call, although the response is overdue. It detects
// servers that hang or crash without a TCP reset, which connections do not
// show.
func (s *serverState) isUnresponsive(now time.Time) bool {
	if len(s.awaitingFirst) == 0 {
		return false
	}
	oldest := s.awaitingFirst[0]
	expected := time.Duration(unresponsiveFactor * oldest.firstTokenMs * float64(time.Millisecond))
	return s.lastContent.Before(oldest.chosenAt) && now.Sub(oldest.chosenAt) > max(unresponsiveAfter, expected)
}

// unresponsiveFactor is the multiple of the expected time to the first token
// after which a response is overdue.
const unresponsiveFactor = 4.0

// removeAwaiting removes a choice whose first content has arrived, or that has
// ended.
func (s *serverState) removeAwaiting(c *Choice) {
	if i := slices.Index(s.awaitingFirst, c); i >= 0 {
		s.awaitingFirst = slices.Delete(s.awaitingFirst, i, i+1)
	}
}

// startBackoff records that the server could not be reached.
func (s *serverState) startBackoff(now time.Time) {
	s.backoffUntil = now.Add(min(backoffMin<<min(s.connectFailures, 5), backoffMax))
	s.connectFailures++
}

// clearBackoff resets the back-off.
func (s *serverState) clearBackoff() { s.connectFailures, s.backoffUntil = 0, time.Time{} }

// hasCached reports whether a part is assumed to be in the prefix cache of the
// server.
func (s *serverState) hasCached(id identifier.PartID, now time.Time) bool {
	at, ok := s.cachedParts[id]
	return ok && now.Sub(at) < cachedPartTTL
}

// recordCached records that the parts of a prompt placed at the server are in
// its prefix cache, or will be once it has processed the prompt.
func (s *serverState) recordCached(parts []describer.PromptPart, now time.Time) {
	if len(s.cachedParts) >= maxCachedParts {
		for id, at := range s.cachedParts {
			if now.Sub(at) >= cachedPartTTL {
				delete(s.cachedParts, id)
			}
		}
	}
	if len(s.cachedParts) >= maxCachedParts {
		clear(s.cachedParts)
	}
	for _, p := range parts {
		s.cachedParts[p.ID] = now
	}
}
