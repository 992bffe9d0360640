package relayer

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"cyclamenhub.org/identifier"
)

const (
	// silence is how long an attempt waits, and the service gives no byte, before a
	// cut is suspected. It is longer than a round trip with two lost packets, and than
	// most engines take for a prompt.
	silence = 500 * time.Millisecond
	// suspectServers is the number of servers whose attempts failed that a cut takes;
	// one alone may be dead.
	suspectServers = 2
	// suspectDials is the number of servers to which dials failed while answers arrive
	// on older connections. It is also the number of failures of an only server.
	suspectDials = 3
	// roundProbes is the number of servers that a round probes. That all of them are
	// dead while others are not is unlikely.
	roundProbes = 3
	// firstProbeTime is how long a round that only silence calls for waits for its
	// first probe: several round trips. An engine that is slow with each of a few calls
	// then costs one connection at a time instead of three.
	firstProbeTime = 25 * time.Millisecond
	// roundInterval is the minimum time between the starts of two rounds.
	roundInterval = 250 * time.Millisecond
	// roundMaxAge is when a round is given up whose probes did not come back.
	roundMaxAge = 2 * time.Second
	// explainedFor is how long after a fresh connection the failures of servers that
	// had failed by then are no evidence: they are down, and the host is not cut off.
	explainedFor = 2 * time.Second
	// probeInterval is the time between two probes of a host that is cut off, and
	// probeJitter the largest part of it that is added or taken off, so that hosts
	// that were cut off together do not probe together.
	probeInterval = 500 * time.Millisecond
	probeJitter   = 0.1
)

// contact is what a host knows of its connections to the servers of one service.
type contact struct {
	// waiting are the attempts without a byte.
	waiting map[*Attempt]struct{}
	// answeredAt is the time of the last byte, openedAt that of the last fresh
	// connection.
	answeredAt, openedAt time.Time
	// failed counts the attempts that failed since answeredAt, refused the dials since
	// openedAt.
	failed, refused map[identifier.BackendServer]int
	// failedFrom is when the first of the failed attempts began, or zero.
	failedFrom time.Time
	// down are the servers that failed since they last answered or opened a
	// connection, with the time until which that is explained.
	down map[identifier.BackendServer]time.Time
	// round is the one that is out, or nil. roundAt is when the last one began.
	round   *round
	roundAt time.Time
	// cut is set while the host believes that it reaches no server. It probes one at
	// probeAt then, the first one of rotation.
	cut      bool
	probeAt  time.Time
	rotation []identifier.BackendServer
}

// newContact returns the contact of a service without attempts.
func newContact() *contact {
	return &contact{
		waiting: make(map[*Attempt]struct{}),
		failed:  make(map[identifier.BackendServer]int),
		refused: make(map[identifier.BackendServer]int),
		down:    make(map[identifier.BackendServer]time.Time),
	}
}

// answer records a byte of a response.
func (c *contact) answer(now time.Time, server identifier.BackendServer) {
	c.answeredAt, c.failedFrom = now, time.Time{}
	clear(c.failed)
	delete(c.down, server)
}

// fail records that an attempt failed without a byte.
func (c *contact) fail(now time.Time, a *Attempt) {
	if c.failedFrom.IsZero() || a.since.Before(c.failedFrom) {
		c.failedFrom = a.since
	}
	if !c.isExplained(now, a.server) {
		c.failed[a.server]++
		c.down[a.server] = time.Time{}
	}
}

// refuse records that a dial failed.
func (c *contact) refuse(now time.Time, server identifier.BackendServer) {
	if !c.isExplained(now, server) {
		c.refused[server]++
		c.down[server] = time.Time{}
	}
}

// isExplained reports whether a server is known to be down while others are not.
func (c *contact) isExplained(now time.Time, server identifier.BackendServer) bool {
	return now.Before(c.down[server])
}

// open records a fresh connection to a server, which clears all evidence. It reports
// whether it ended a cut.
func (c *contact) open(now time.Time, server identifier.BackendServer) (healed bool) {
	healed = c.cut
	c.cut, c.rotation, c.openedAt = false, nil, now
	if !healed {
		c.explain(now) // During a cut all servers fail, also those that are up.
	}
	c.clear()
	delete(c.down, server)
	if c.round != nil {
		c.round.connected = true
	}
	return healed
}

// clear clears the evidence of failures.
func (c *contact) clear() {
	c.failedFrom = time.Time{}
	clear(c.failed)
	clear(c.refused)
}

// explain takes the servers that failed for down.
func (c *contact) explain(now time.Time) {
	for _, failures := range []map[identifier.BackendServer]int{c.failed, c.refused} {
		for s := range failures {
			c.down[s] = now.Add(explainedFor)
		}
	}
}

// settle takes a server off the round, and decides once that was the last one. It
// reports whether the host is cut off by that decision.
func (c *contact) settle(now time.Time, server identifier.BackendServer, random *rand.Rand) (cut bool) {
	r := c.round
	if r == nil {
		return false
	}
	delete(r.out, server)
	if !r.isOver() {
		return false
	}
	c.round = nil
	if r.connected {
		c.explain(now)
		c.clear()
		return false
	}
	c.cut, c.probeAt = true, now.Add(jitter(random))
	return true
}

// jitter returns the time to the next probe of a host that is cut off.
func jitter(random *rand.Rand) time.Duration {
	factor := 1 + probeJitter*(2*random.Float64()-1)
	return time.Duration(factor * float64(probeInterval))
}

// retain forgets the failures of servers that are not listed.
func (c *contact) retain(listed []identifier.BackendServer) {
	if len(c.failed)+len(c.refused)+len(c.down) == 0 {
		return
	}
	known := make(map[identifier.BackendServer]struct{}, len(listed))
	for _, s := range listed {
		known[s] = struct{}{}
	}
	retain(c.failed, known)
	retain(c.refused, known)
	retain(c.down, known)
}

// retain keeps the entries of known servers.
func retain[V any](m map[identifier.BackendServer]V, known map[identifier.BackendServer]struct{}) {
	maps.DeleteFunc(m, func(s identifier.BackendServer, _ V) bool { _, ok := known[s]; return !ok })
}

// due returns the servers to probe now.
func (c *contact) due(now time.Time, listed []identifier.BackendServer, random *rand.Rand) []identifier.BackendServer {
	if c.cut {
		return c.dueWhileCut(now, listed, random)
	}
	if c.round != nil && (c.round.isOver() || now.Sub(c.roundAt) >= roundMaxAge) {
		c.round = nil
	}
	if c.round != nil {
		return c.dueOfRound(now)
	}
	if now.Sub(c.roundAt) < roundInterval {
		return nil
	}
	first := roundProbes
	if !c.isFailing(now, listed) {
		if first = 1; !c.isSilent(now) {
			return nil
		}
	}
	chosen := c.order(listed, random)
	chosen = chosen[:min(len(chosen), roundProbes)]
	first = min(first, len(chosen))
	c.round, c.roundAt = &round{out: make(map[identifier.BackendServer]struct{}), rest: chosen[first:]}, now
	return c.round.send(chosen[:first])
}

// dueOfRound returns the rest of the round once its first probe has failed or takes
// longer than a connection should.
func (c *contact) dueOfRound(now time.Time) []identifier.BackendServer {
	r := c.round
	if r.connected || len(r.out) > 0 && now.Sub(c.roundAt) < firstProbeTime {
		return nil
	}
	rest := r.rest
	r.rest = nil
	return r.send(rest)
}

// dueWhileCut returns the next server of the rotation if its time has come.
func (c *contact) dueWhileCut(now time.Time, listed []identifier.BackendServer, random *rand.Rand) []identifier.BackendServer {
	if now.Before(c.probeAt) {
		return nil
	}
	c.probeAt = now.Add(jitter(random))
	isGone := func(s identifier.BackendServer) bool { return !slices.Contains(listed, s) }
	for len(c.rotation) > 0 && isGone(c.rotation[0]) {
		c.rotation = c.rotation[1:]
	}
	if len(c.rotation) == 0 {
		c.rotation = c.order(listed, random)
	}
	next := c.rotation[:1]
	c.rotation = c.rotation[1:]
	return next
}

// order returns servers in random order, those that did not fail first.
func (c *contact) order(listed []identifier.BackendServer, random *rand.Rand) []identifier.BackendServer {
	var sound, failed []identifier.BackendServer
	for _, i := range random.Perm(len(listed)) {
		if _, ok := c.down[listed[i]]; ok {
			failed = append(failed, listed[i])
		} else {
			sound = append(sound, listed[i])
		}
	}
	return append(sound, failed...)
}

// countSound returns the number of servers whose failures are evidence.
func (c *contact) countSound(now time.Time, listed []identifier.BackendServer) int {
	n := len(listed)
	for s := range c.down {
		if c.isExplained(now, s) {
			n--
		}
	}
	return n
}

// isFailing reports whether the failures call for a round.
func (c *contact) isFailing(now time.Time, listed []identifier.BackendServer) bool {
	if len(listed) == 1 {
		only := listed[0]
		return max(c.failed[only], c.refused[only]) >= suspectDials
	}
	sound := max(c.countSound(now, listed), 1)
	return len(c.failed) >= min(suspectServers, sound) || len(c.refused) >= min(suspectDials, sound)
}

// isSilent reports whether an attempt is overdue, or one that failed would be, and the
// service gave no byte meanwhile.
func (c *contact) isSilent(now time.Time) bool {
	if now.Sub(c.answeredAt) < silence || now.Sub(c.openedAt) < silence {
		return false
	}
	if !c.failedFrom.IsZero() && c.isOverdue(now, c.failedFrom) {
		return true
	}
	for a := range c.waiting {
		if c.isOverdue(now, a.since) {
			return true
		}
	}
	return false
}

// isOverdue reports whether an attempt that began at a time has waited for silence or,
// if it was waiting at the last fresh connection, for as long again as it had then.
func (c *contact) isOverdue(now, since time.Time) bool {
	if before := c.openedAt.Sub(since); before > 0 {
		return now.Sub(c.openedAt) >= max(silence, before)
	}
	return now.Sub(since) >= silence
}
