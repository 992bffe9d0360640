package placer

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// longFrom is the part of the longest pause that the streams of a service allow
	// from which on a prompt counts as long, by the time to process it at an average
	// server.
	longFrom = 0.7
	// longUse is the part of their time for which the servers kept for long prompts
	// process prompts.
	longUse = 0.15
	// maxLongShare bounds the part of the servers that are kept for long prompts, and
	// minSeparated is the number of servers from which on some are.
	maxLongShare = 0.5
	minSeparated = 8
	// maxLongRatio is how long work may take at the servers kept for long prompts at
	// most, compared with the others.
	maxLongRatio = 0.75
	// longSampleSize is the number of servers that are compared for a long prompt. More
	// would let all hosts find the same idle one before they see each other's calls.
	longSampleSize = 4
	// rankNoise spreads the ranks of servers whose speeds differ by less.
	rankNoise = 0.1
)

// isLong reports whether a call has a long prompt: it would delay the streams at a
// server by more than they allow. The caller holds mu.
func (p *Placer) isLong(s *serverState, r *Request) bool {
	if s.EventGap <= 0 {
		return false
	}
	ms := float64(r.uniqueTokens()) / prefillTokensPerMs * p.paces.Service(s.Service).PrefillFactor()
	return ms > longFrom*1000*s.EventGap.Seconds()
}

// separate decides which servers are kept for long prompts: the fastest ones, as many
// as the work in such prompts needs. All hosts use the figures of the leader, so that
// they decide nearly the same without a message. The caller holds mu.
//
// It answers a few long prompts amid many short streams, on servers of uneven speed. A
// host learns with a delay where others have placed a long prompt, and sends streams
// there meanwhile; with servers of their own the long prompts do not meet the streams.
// They meet each other more often there, which only faster servers make up for: where
// all servers are alike none are kept.
func (p *Placer) separate() {
	for _, list := range p.pools {
		for _, s := range list {
			s.forLong = false
		}
		for _, s := range p.serversForLong(list) {
			s.forLong = true
		}
	}
}

// serversForLong returns the servers of a pool that are kept for long prompts. The
// caller holds mu.
func (p *Placer) serversForLong(list []*serverState) []*serverState {
	if len(list) < minSeparated || !list[0].Engine {
		return nil
	}
	needed := int(math.Ceil(p.paces.Service(list[0].Service).LongWork / longUse))
	n := min(needed, int(maxLongShare*float64(len(list))))
	if n == 0 {
		return nil
	}
	ranked := slices.Clone(list)
	slices.SortFunc(ranked, func(a, b *serverState) int { return cmp.Compare(p.rank(a), p.rank(b)) })
	if p.meanRatio(ranked[:n]) > maxLongRatio*p.meanRatio(ranked[n:]) {
		return nil
	}
	return ranked[:n]
}

// meanRatio returns the mean of how long work takes at servers. The caller holds mu.
func (p *Placer) meanRatio(list []*serverState) float64 {
	sum := 0.0
	for _, s := range list {
		sum += p.paces.Ratio(s.run())
	}
	return sum / float64(len(list))
}

// rank returns the rank of a server by its speed. The caller holds mu.
func (p *Placer) rank(s *serverState) float64 {
	spread := float64(xxhash.Sum64String(string(s.ID))) / math.MaxUint64
	return math.Log(p.paces.Ratio(s.run())) + rankNoise*spread
}

// ofSize returns the candidates for a call by the length of its prompt, or all if there
// are none. The caller holds mu.
func (p *Placer) ofSize(candidates []*serverState, r *Request) []*serverState {
	if !slices.ContainsFunc(candidates, func(s *serverState) bool { return s.forLong }) {
		return candidates
	}
	isLong := p.isLong(candidates[0], r)
	out := make([]*serverState, 0, len(candidates))
	for _, s := range candidates {
		if s.forLong == isLong {
			out = append(out, s)
		}
	}
	if len(out) == 0 {
		return candidates
	}
	return out
}
