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
	// Incarnation differs between two starts under one id.
	Incarnation uint64
	// Slots is how many calls it runs side by side.
	Slots int
	// Engine tells that it is a model engine, with Memory tokens for running
	// generations and held parts.
	Engine bool
	Memory identifier.Tokens
	// Leaving servers take no calls.
	Leaving bool
}

// Load is what is at work at a server.
type Load struct {
	// Running counts calls, Unread the prompt tokens that are not read yet, and
	// Context the tokens in memory.
	Running         int
	Unread, Context identifier.Tokens
}

// Plus returns the sum of two loads.
func (l Load) Plus(o Load) Load {
	return Load{l.Running + o.Running, l.Unread + o.Unread, l.Context + o.Context}
}

// Minus returns l without o.
func (l Load) Minus(o Load) Load {
	return Load{l.Running - o.Running, l.Unread - o.Unread, l.Context - o.Context}
}

// times returns l multiplied.
func (l Load) times(f float64) Load {
	scale := func(n identifier.Tokens) identifier.Tokens { return identifier.Tokens(math.Round(float64(n) * f)) }
	return Load{int(math.Round(float64(l.Running) * f)), scale(l.Unread), scale(l.Context)}
}

const (
	// heldParts bounds the parts that are remembered for each server.
	heldParts = 512
	// heldFor is how long a part is thought to be held after its last use.
	heldFor = 20 * time.Second
	// suspectFirst is how long a server that could not be reached is passed by;
	// the time doubles with each failure in a row, up to suspectMost.
	suspectFirst = time.Second
	suspectMost  = 8 * time.Second
	// fadeHalf is the time in which what was learnt of a server loses half its
	// weight.
	fadeHalf = 4 * time.Second
	// learnWeight is the part of a new reading in an average.
	learnWeight = 0.25
)

// state is what this host knows of one server. Placer.mu guards it.
type state struct {
	Server
	// own is what this host has at work there, and since what it placed since it
	// heard of the others.
	own, since, others Load
	// held tells when a part of a prompt was last used there.
	held map[string]time.Time
	// slowness is how many times longer than estimated first answers took, and
	// failing the part of calls that failed; both fade.
	slowness, failing faded
	// took is the usual time of a plain call in seconds.
	took float64

	strikes int
	until   time.Time
	// waiting are the choices whose first content has not come, oldest first, and
	// heard is when content last came from there.
	waiting []*Choice
	heard   time.Time
}

// faded is an average that returns to its rest as time passes.
type faded struct {
	rest, value float64
	at          time.Time
}

// get returns the average at a time.
func (f *faded) get(now time.Time) float64 {
	if f.at.IsZero() {
		return f.rest
	}
	left := math.Exp2(-now.Sub(f.at).Seconds() / fadeHalf.Seconds())
	return f.rest + (f.value-f.rest)*left
}

// add takes a reading in.
func (f *faded) add(now time.Time, v float64) {
	old := f.get(now)
	f.value, f.at = old+learnWeight*(v-old), now
}

// newState returns what is known of a new server.
func newState(s Server) *state {
	return &state{Server: s, held: make(map[string]time.Time), slowness: faded{rest: 1}, failing: faded{}}
}

// isSuspect reports whether the server could not be reached a moment ago.
func (s *state) isSuspect(now time.Time) bool { return now.Before(s.until) }

// muteAfter is how long a server that has calls to answer says nothing before it
// is passed by. A busy one answers some call within that time.
const muteAfter = time.Second

// isMute reports whether the server has been silent since it got a call that
// should have been answered: it may be dark, which no connection shows. It
// answers crashes without a reset and hanging servers.
func (s *state) isMute(now time.Time) bool {
	if len(s.waiting) == 0 {
		return false
	}
	oldest := s.waiting[0]
	expected := time.Duration(muteFactor * oldest.firstMs * float64(time.Millisecond))
	return s.heard.Before(oldest.at) && now.Sub(oldest.at) > max(muteAfter, expected)
}

// muteFactor is how many times the expected time to the first token a server may
// take.
const muteFactor = 4.0

// stopWaiting forgets a choice whose first content has come, or that ended.
func (s *state) stopWaiting(c *Choice) {
	if i := slices.Index(s.waiting, c); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
}

// strike notes that the server could not be reached.
func (s *state) strike(now time.Time) {
	s.until = now.Add(min(suspectFirst<<min(s.strikes, 5), suspectMost))
	s.strikes++
}

// clear ends the suspicion.
func (s *state) clear() { s.strikes, s.until = 0, time.Time{} }

// holds reports whether a part is thought to be held.
func (s *state) holds(id string, now time.Time) bool {
	at, ok := s.held[id]
	return ok && now.Sub(at) < heldFor
}

// hold remembers the parts of a prompt.
func (s *state) hold(parts []describer.Part, now time.Time) {
	if len(s.held) >= heldParts {
		for id, at := range s.held {
			if now.Sub(at) >= heldFor {
				delete(s.held, id)
			}
		}
	}
	if len(s.held) >= heldParts {
		clear(s.held)
	}
	for _, p := range parts {
		s.held[p.ID] = now
	}
}
