package relayer

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/timer"
)

// Reach is what one host knows of its connections to backend servers, by service. It
// is safe for concurrent use.
type Reach struct {
	clock timer.Clock

	mu       sync.Mutex
	random   *rand.Rand
	services map[identifier.Service]*contact
}

// NewReach returns the Reach of a host that has made no attempts. A nil random is
// seeded from the clock.
func NewReach(clock timer.Clock, random *rand.Rand) *Reach {
	if random == nil {
		now := clock.Now()
		random = rand.New(rand.NewPCG(uint64(now.Unix()), uint64(now.Nanosecond())))
	}
	return &Reach{clock: clock, random: random, services: make(map[identifier.Service]*contact)}
}

// Begin records the start of an attempt on a server, before its connection is opened.
func (r *Reach) Begin(s identifier.Service, server identifier.BackendServer) *Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.services[s]
	if c == nil {
		c = newContact()
		r.services[s] = c
	}
	a := &Attempt{reach: r, contact: c, server: server, since: r.clock.Now()}
	c.waiting[a] = struct{}{}
	return a
}

// Heard records a byte from any server of a service, after the first one of its response.
func (r *Reach) Heard(s identifier.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.services[s]; c != nil {
		c.answeredAt = r.clock.Now()
	}
}

// Probe asks for a fresh connection to a server.
type Probe struct {
	Service identifier.Service
	Server  identifier.BackendServer
}

// Due returns the probes to make now. servers are the listed servers of each service
// that take new calls; what is known of other services and servers is forgotten.
func (r *Reach) Due(servers map[identifier.Service][]identifier.BackendServer) []Probe {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	var due []Probe
	for _, s := range slices.Sorted(maps.Keys(r.services)) {
		if len(servers[s]) == 0 {
			delete(r.services, s)
			continue
		}
		c := r.services[s]
		c.retain(servers[s])
		for _, server := range c.due(now, servers[s], r.random) {
			due = append(due, Probe{s, server})
		}
	}
	return due
}

// Probed records the result of a probe, and reports whether the host's belief about
// the service changed.
func (r *Reach) Probed(p Probe, connected bool) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.services[p.Service]
	if c == nil {
		return false
	}
	now := r.clock.Now()
	if connected {
		changed = c.open(now, p.Server)
	} else {
		c.refuse(now, p.Server)
	}
	return c.settle(now, p.Server, r.random) || changed
}

// IsCut reports whether the host believes that it reaches no server of a service.
func (r *Reach) IsCut(s identifier.Service) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.services[s]
	return c != nil && c.cut
}

// Cut returns the services of which the host believes that it reaches no server,
// sorted.
func (r *Reach) Cut() []identifier.Service {
	r.mu.Lock()
	defer r.mu.Unlock()
	var cut []identifier.Service
	for s, c := range r.services {
		if c.cut {
			cut = append(cut, s)
		}
	}
	slices.Sort(cut)
	return cut
}
