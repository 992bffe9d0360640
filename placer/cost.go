package placer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/pacer"
)

// Parameters of the cost model of a model engine. Rough values suffice: the factors of
// each service and server are learned by the pacer.
const (
	// prefillTokensPerMs is the number of prompt tokens processed per
	// millisecond.
	prefillTokensPerMs = 110.0
	// stepMs is the time in milliseconds of a decoding step, which generates
	// one token for every running generation. stepMsPerToken is the time that
	// each token in memory adds to a step.
	stepMs         = 2.6
	stepMsPerToken = 0.00002
	// typicalOutputTokens is the assumed number of tokens that a running
	// generation has yet to produce.
	typicalOutputTokens = 150.0
	// firstWeight and stepWeight weight the time to the first token and the
	// time of the decoding steps. The first counts for more because callers
	// notice it immediately, and the time of the steps only when it is long.
	firstWeight = 2.0
	stepWeight  = 0.25
	// duplicatePrefillWeight weights the time to process shared tokens that are
	// not in the prefix cache of this server, in addition to the time itself,
	// because another server may have them cached.
	duplicatePrefillWeight = 12.0
	// preemptionThreshold is the fraction of the memory above which the engine
	// may preempt generations. preemptionPenaltyMs is the cost of a preemption
	// in milliseconds.
	preemptionThreshold = 0.9
	preemptionPenaltyMs = 2000.0
	// missFrom is the part of a limit from which on an expected time may miss it, and
	// missWeight the cost of a miss as a multiple of the limit.
	missFrom   = 0.5
	missWeight = 2.0
	// queueMsPerCall is the time in milliseconds that each queued call adds
	// when no slot is free.
	queueMsPerCall = 40.0
)

// Parameters of the cost model of a plain service.
const (
	// defaultCallSeconds is the assumed time to the first content of a call, in
	// seconds, before any was measured at any server.
	defaultCallSeconds = 0.05
	// failurePenalty multiplies the failure rate of a server. The cost is
	// multiplied by 1 plus this product, also at a model engine.
	failurePenalty = 8.0
	// crossDomainMs is the round-trip time in milliseconds to another failure
	// domain.
	crossDomainMs = 3.0
)

// Request describes a call to place.
type Request struct {
	Service identifier.Service
	Version identifier.Version
	// Parts are the parts of the prompt in order. The last part is unique to
	// the call.
	Parts []describer.PromptPart
	// Prompt is the number of tokens of the prompt, Output the number of tokens
	// expected to be generated.
	Prompt, Output identifier.Tokens
	// Target is the time within which the first content is on time, and EventGap the
	// longest pause between events with which a stream is; 0 means unspecified.
	Target, EventGap time.Duration
	// Exclude lists servers that must not be chosen.
	Exclude []identifier.BackendServer
	// HasAsked is whether the leader has been asked for a place at a brittle server for
	// this choice.
	HasAsked bool
	// Homes are the regions that the route and the customer allow; each list that is
	// not empty binds.
	Homes [2][]identifier.Region
}

// mayRunIn reports whether the call may run in a region.
func (r *Request) mayRunIn(region identifier.Region) bool {
	for _, homes := range r.Homes {
		if len(homes) > 0 && !slices.Contains(homes, region) {
			return false
		}
	}
	return true
}

// uniqueTokens returns the number of prompt tokens outside the shared parts, at
// least 1.
func (r *Request) uniqueTokens() identifier.Tokens {
	left := r.Prompt
	for _, p := range describer.SharedParts(r.Parts) {
		left -= p.Tokens
	}
	return max(left, 1)
}

// uncachedTokens returns the number of prompt tokens that a server would have
// to process, at least 1. A part counts as cached only if all parts before it
// are cached. The home server counts as having all shared parts cached, since
// all hosts prefer it for such prompts.
func (r *Request) uncachedTokens(s *serverState, isHome bool, now time.Time) identifier.Tokens {
	left := r.Prompt
	for _, p := range describer.SharedParts(r.Parts) {
		if !isHome && !s.hasCached(p.ID, now) {
			break
		}
		left -= p.Tokens
	}
	return max(left, 1)
}

// home returns the preferred server for prompts with the same shared parts. It
// uses rendezvous hashing (Thaler and Ravishankar, 1998), so that all hosts
// agree without communication. It returns "" for a prompt without shared parts.
func (r *Request) home(candidates []*serverState) identifier.BackendServer {
	shared := describer.SharedParts(r.Parts)
	if len(shared) == 0 {
		return ""
	}
	key := shared[len(shared)-1].ID
	var best identifier.BackendServer
	var maxHash uint64
	for _, s := range candidates {
		if h := xxhash.Sum64String(string(key) + "\x00" + string(s.ID)); h >= maxHash {
			best, maxHash = s.ID, h
		}
	}
	return best
}

// pace is how fast a server works.
type pace struct {
	service pacer.Service
	// factor is how long work takes at the server compared with the average server
	// of its service.
	factor float64
}

// prefillMs returns the time in milliseconds to process prompt tokens.
func (p pace) prefillMs(n identifier.Tokens) float64 {
	return float64(n) / prefillTokensPerMs * p.service.PrefillFactor() * p.factor
}

// stepMs returns the time in milliseconds of a decoding step with a number of tokens
// in memory.
func (p pace) stepMs(context identifier.Tokens) float64 {
	return baseStepMs(context) * p.service.StepFactor() * p.factor
}

// fixedMs returns the part of the time to the first token that does not depend on the
// prompt, in milliseconds.
func (p pace) fixedMs() float64 {
	return float64(p.service.Fixed) / float64(time.Millisecond) * p.factor
}

// baseStepMs returns the time in milliseconds of a decoding step by the constants.
func baseStepMs(context identifier.Tokens) float64 {
	return stepMs + stepMsPerToken*float64(context)
}

// engineCost estimates the cost of a call at a model engine: the weighted
// waiting time in milliseconds of the call itself and of the other calls there.
// It also returns the expected time to the first token in milliseconds. The
// cost accounts for bursts of long prompts, for many prompts with the same
// shared parts, for uneven load, and for servers that are faster or slower than
// others.
func engineCost(s *serverState, l Load, r *Request, uncached identifier.Tokens, p pace) (cost, firstTokenMs float64) {
	n := float64(l.Running)
	prefill, step := p.prefillMs(uncached), p.stepMs(l.Context+r.Prompt)
	firstTokenMs = p.fixedMs() + engineWait(s, l, p) + prefill + step
	own := firstWeight*firstTokenMs + stepWeight*float64(r.Output)*step + lateCost(firstTokenMs, r.Target)
	own += pauseCost(p.prefillMs(l.Unread), r.EventGap)
	others := n*prefill + stepWeight*n*typicalOutputTokens*stepMsPerToken*float64(r.Prompt)
	others += n * (pauseCost(p.prefillMs(l.Unread+uncached), s.EventGap) - pauseCost(p.prefillMs(l.Unread), s.EventGap))
	if recomputed := uncached - r.uniqueTokens(); recomputed > 0 {
		others += duplicatePrefillWeight * float64(recomputed) / prefillTokensPerMs
	}
	cost = own + others
	if s.Memory > 0 && float64(l.Context+r.Prompt+r.Output) > preemptionThreshold*float64(s.Memory) {
		cost += preemptionPenaltyMs
	}
	return cost, firstTokenMs
}

// engineWait returns the time in milliseconds for which a call waits for others at a model
// engine: until their prompts are processed, and until a slot is free.
func engineWait(s *serverState, l Load, p pace) float64 {
	wait := p.prefillMs(l.Unread)
	if over := l.Running - s.Slots + 1; over > 0 {
		wait += float64(over) * queueMsPerCall * p.factor
	}
	return wait
}

// lateCost returns the cost in milliseconds of a first token that is expected near its
// target or after it.
func lateCost(firstTokenMs float64, target time.Duration) float64 {
	return missCost(firstTokenMs, target)
}

// pauseCost returns the cost in milliseconds of a pause that the prompts at a server
// cause in a stream there. Prompts are processed in chunks, one with each decoding step,
// so that the tokens of one event may take as long as the prompts. It answers long
// prompts beside short streams: the streams would be late, and the long prompt is as
// fast at a server without any.
func pauseCost(prefillMs float64, longest time.Duration) float64 {
	return missCost(prefillMs, longest)
}

// missCost returns the cost of a time that is expected to miss its limit: none up to
// missFrom of the limit, which is an expectation only, and missWeight times the limit
// from the limit on.
func missCost(ms float64, limit time.Duration) float64 {
	if limit <= 0 {
		return 0
	}
	limitMs := float64(limit) / float64(time.Millisecond)
	likely := (ms/limitMs - missFrom) / (1 - missFrom)
	return min(max(likely, 0), 1) * missWeight * limitMs
}

// plainCost estimates the time in milliseconds of a call at a server of a plain
// service. usual is the time in seconds that counts for a server where none was
// measured.
func plainCost(s *serverState, l Load, usual float64) float64 {
	seconds := s.callSeconds
	if seconds == 0 {
		seconds = usual
	}
	slots := float64(max(s.Slots, 1))
	wait := max(float64(l.Running+1)-slots, 0) / slots
	// Servers slow down as they fill, so part of each running call counts even
	// while slots are free.
	return 1000 * seconds * (1 + wait + 0.3*float64(l.Running)/slots)
}

// usualSeconds returns the mean time to the first content at the servers of a plain
// service of which it was measured.
func usualSeconds(servers []*serverState) float64 {
	sum, n := 0.0, 0
	for _, s := range servers {
		if s.callSeconds > 0 {
			sum, n = sum+s.callSeconds, n+1
		}
	}
	if n == 0 {
		return defaultCallSeconds
	}
	return sum / float64(n)
}

// plainWait returns the time in milliseconds for which a call waits for a slot at a server
// of a plain service.
func plainWait(s *serverState, l Load) float64 {
	slots := float64(max(s.Slots, 1))
	return 1000 * s.callSeconds * max(float64(l.Running+1)-slots, 0) / slots
}
