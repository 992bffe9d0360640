package placer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
)

// A model engine in figures. They need to hold only roughly, since choices
// compare servers, and slow servers show (see state.slowness).
const (
	// readTokensPerMs is how many prompt tokens are read in a millisecond.
	readTokensPerMs = 110.0
	// stepMs is the time of a step, which makes a token of every generation, and
	// stepMsPerToken what a token in memory adds to it.
	stepMs         = 2.6
	stepMsPerToken = 0.00002
	// typicalOutput is the number of tokens that a running generation is thought
	// to have before it.
	typicalOutput = 150.0
	// firstWeight and stepWeight are how much the time to the first token and the
	// time of the steps count: callers see the first at once, and mind the other
	// only once it is long.
	firstWeight = 2.0
	stepWeight  = 0.25
	// rereadWeight is what reading shared tokens that another server holds counts
	// beside the time that it takes.
	rereadWeight = 12.0
	// fullMemory is the part of the memory above which generations may be put
	// back, and fullPenaltyMs what that costs.
	fullMemory    = 0.9
	fullPenaltyMs = 2000.0
	// queueMs is what each call before it costs where no slot is free.
	queueMs = 40.0
)

// A plain service in figures.
const (
	// plainSeconds is the time of a call until it is learnt.
	plainSeconds = 0.05
	// failPenalty is how many times worse a server counts that fails every call.
	failPenalty = 8.0
	// farMs is what the way to another failure domain and back costs.
	farMs = 3.0
)

// Request is what the placer knows of a call.
type Request struct {
	Service identifier.Service
	Version identifier.Version
	// Parts are those of the prompt, in order. The last one is the call's own.
	Parts []describer.Part
	// Prompt and Output are the tokens of the prompt and those expected to be
	// generated.
	Prompt, Output identifier.Tokens
	// Exclude rules out servers.
	Exclude []identifier.BackendServer
}

// shared returns the parts that other prompts may share.
func (r *Request) shared() []describer.Part {
	if len(r.Parts) < 2 {
		return nil
	}
	return r.Parts[:len(r.Parts)-1]
}

// ownTokens returns the tokens that no other prompt shares.
func (r *Request) ownTokens() identifier.Tokens {
	left := r.Prompt
	for _, p := range r.shared() {
		left -= p.Tokens
	}
	return max(left, 1)
}

// unread returns how many tokens of the prompt a server would have to read. A
// part is held only if all before it are. The home of the prompt is thought to
// hold what is shared, since all hosts send such prompts there first.
func (r *Request) unread(s *state, isHome bool, now time.Time) identifier.Tokens {
	left := r.Prompt
	for _, p := range r.shared() {
		if !isHome && !s.holds(p.ID, now) {
			break
		}
		left -= p.Tokens
	}
	return max(left, 1)
}

// home returns the server that prompts with the same shared parts go to first:
// rendezvous hashing (Thaler and Ravishankar, 1998), so that all hosts agree
// without any talk. It is "" for a prompt that shares nothing.
func (r *Request) home(candidates []*state) identifier.BackendServer {
	shared := r.shared()
	if len(shared) == 0 {
		return ""
	}
	key := shared[len(shared)-1].ID
	var best identifier.BackendServer
	var most uint64
	for _, s := range candidates {
		if h := xxhash.Sum64String(key + "\x00" + string(s.ID)); h >= most {
			best, most = s.ID, h
		}
	}
	return best
}

// engineCost estimates what a call costs at a model engine, in milliseconds of
// waiting, its own and that of others. It answers a wave of long prompts, a hot
// prompt, and servers of unlike load.
func engineCost(s *state, l Load, r *Request, unread identifier.Tokens) (cost, firstMs float64) {
	n := float64(l.Running)
	reading := float64(unread) / readTokensPerMs
	step := stepMs + stepMsPerToken*float64(l.Context+r.Prompt)
	firstMs = float64(l.Unread)/readTokensPerMs + reading + step
	if over := l.Running - s.Slots + 1; over > 0 {
		firstMs += float64(over) * queueMs
	}
	own := firstWeight*firstMs + stepWeight*float64(r.Output)*step
	others := n*reading + stepWeight*n*typicalOutput*stepMsPerToken*float64(r.Prompt)
	if again := unread - r.ownTokens(); again > 0 {
		others += rereadWeight * float64(again) / readTokensPerMs
	}
	cost = own + others
	if s.Memory > 0 && float64(l.Context+r.Prompt+r.Output) > fullMemory*float64(s.Memory) {
		cost += fullPenaltyMs
	}
	return cost, firstMs
}

// plainCost estimates what a call costs at a plain server, in milliseconds.
func plainCost(s *state, l Load, isFar bool) float64 {
	took := s.took
	if took == 0 {
		took = plainSeconds
	}
	slots := float64(max(s.Slots, 1))
	wait := max(float64(l.Running+1)-slots, 0) / slots
	// Servers slow down as they fill, so that a part of each call counts even
	// while slots are free.
	cost := 1000 * took * (1 + wait + 0.3*float64(l.Running)/slots)
	if isFar {
		cost += farMs
	}
	return cost
}
