package relayer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/sequencer"
)

const (
	simService identifier.Service = "model"
	// poll is the time between two calls of Due, dialTimeout bounds a dial, trip is
	// the time of a round trip, patience how long a caller waits, and maxAttempts how
	// often the host tries a call whose attempt failed.
	poll        = 50 * time.Millisecond
	dialTimeout = 250 * time.Millisecond
	trip        = 2 * time.Millisecond
	patience    = 4 * time.Second
	maxAttempts = 3
)

// way is what happens to the connections of the host to a server: to dials, and to
// those that are open.
type way string

const (
	up      way = "up"
	hang    way = "hang"    // nothing arrives
	reset   way = "reset"   // all are reset
	refuse  way = "refuse"  // new ones are reset, open ones live on
	silent  way = "silent"  // new ones open, but the server says nothing
	unheard way = "unheard" // dials get no answer, open ones live on
)

// opens and answers report what becomes of a dial and of a call.
func (w way) opens() bool   { return w == up || w == silent }
func (w way) answers() bool { return w == up || w == refuse || w == unheard }

// simulation plays the calls of one host on servers.
type simulation struct {
	*sequencer.Timeline
	start     time.Time
	rng       *rand.Rand
	reach     *Reach
	servers   []identifier.BackendServer
	ways      map[identifier.BackendServer]way
	pooled    map[identifier.BackendServer]bool
	firstByte time.Duration
	// interval is the time between two calls, or zero.
	interval time.Duration
	// begun are the times of attempts, probed those of probes.
	begun, probed             []time.Time
	answered, failed, relayed int
	out                       strings.Builder
	// step, if set, is called after each poll.
	step func()
}

// newSimulation returns a simulation of a host that has a connection to each server.
func newSimulation(seed uint64, servers int) *simulation {
	start := time.Unix(1000, 0)
	s := &simulation{
		Timeline: sequencer.NewTimeline(start), start: start, rng: rand.New(rand.NewPCG(seed, 1)), firstByte: poll,
		ways: make(map[identifier.BackendServer]way), pooled: make(map[identifier.BackendServer]bool),
	}
	s.reach = NewReach(s, rand.New(rand.NewPCG(seed, 2)))
	for i := range servers {
		id := identifier.BackendServer(fmt.Sprint("s", i+1))
		s.servers = append(s.servers, id)
		s.ways[id], s.pooled[id] = up, true
	}
	s.After(0, s.pollRegularly)
	return s
}

// log writes a line with the time.
func (s *simulation) log(format string, args ...any) {
	fmt.Fprintf(&s.out, "%5.2f "+format+"\n", append([]any{s.Now().Sub(s.start).Seconds()}, args...)...)
}

// pollRegularly makes the probes that are due.
func (s *simulation) pollRegularly() {
	due := s.reach.Due(map[identifier.Service][]identifier.BackendServer{simService: s.servers})
	var names []string
	for _, p := range due {
		names = append(names, string(p.Server))
		s.probed = append(s.probed, s.Now())
		s.dial(p.Server, func(opened bool) { s.tell(s.reach.Probed(p, opened)) })
	}
	if len(names) > 0 {
		s.log("probe %s", strings.Join(names, " "))
	}
	if s.step != nil {
		s.step()
	}
	s.After(poll, s.pollRegularly)
}

// tell writes down a change of the belief. A host that is cut off closes its idle
// connections.
func (s *simulation) tell(changed bool) {
	switch {
	case !changed:
	case s.reach.IsCut(simService):
		clear(s.pooled)
		s.log("cut off")
	default:
		s.log("not cut off")
	}
}

// dial dials a server.
func (s *simulation) dial(id identifier.BackendServer, done func(opened bool)) {
	s.After(trip, func() {
		if w := s.ways[id]; w == hang || w == unheard {
			s.After(dialTimeout-trip, func() { done(false) })
			return
		}
		done(s.ways[id].opens())
	})
}

// callRegularly makes calls at the present rate.
func (s *simulation) callRegularly() {
	if s.interval == 0 {
		return
	}
	s.call(s.rng.Perm(len(s.servers)))
	s.After(s.interval, s.callRegularly)
}

// call makes a call on servers in turn, or relays it.
func (s *simulation) call(order []int) {
	if s.reach.IsCut(simService) {
		s.relayed++
		return
	}
	ended := false
	var current *Attempt
	s.After(patience, func() {
		if !ended {
			ended = true
			s.failed++
			current.End()
		}
	})
	var try func(n int)
	try = func(n int) {
		if n == maxAttempts || ended || s.reach.IsCut(simService) {
			s.failed++
			ended = true
			return
		}
		id := s.servers[order[n%len(order)]]
		s.begun = append(s.begun, s.Now())
		a := s.reach.Begin(simService, id)
		current = a
		s.connect(id, a, func(opened bool) {
			if !opened {
				a.DialFailed()
				try(n + 1)
				return
			}
			s.After(s.firstByte, func() {
				switch {
				case ended:
				case s.ways[id].answers():
					ended = true
					s.answered++
					a.Answered()
				case s.ways[id] == reset:
					s.pooled[id] = false
					a.Failed()
					try(n + 1)
				default:
					s.pooled[id] = false
				}
			})
		})
	}
	try(0)
}

// connect takes the open connection to a server, or dials.
func (s *simulation) connect(id identifier.BackendServer, a *Attempt, done func(opened bool)) {
	if s.pooled[id] {
		done(true)
		return
	}
	s.dial(id, func(opened bool) {
		if opened {
			s.pooled[id] = true
			s.tell(a.Dialed())
		}
		done(opened)
	})
}

// set changes the way to servers.
func (s *simulation) set(w way, ids ...identifier.BackendServer) {
	for _, id := range ids {
		s.ways[id] = w
	}
}

// opening returns the number of servers that open connections.
func (s *simulation) opening() int {
	return len(s.servers) - len(slices.DeleteFunc(slices.Clone(s.servers), func(id identifier.BackendServer) bool { return s.ways[id].opens() }))
}
