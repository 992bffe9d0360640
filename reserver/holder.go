package reserver

import (
	"math/rand/v2"
	"time"

	"cyclamenhub.org/announcer"
	"cyclamenhub.org/identifier"
)

const (
	// graceTime is how long after the first answer that says so a service is not bounded.
	graceTime = time.Second
	// plainTime is how long before the first answer that says so another one may have said
	// nothing, if the service is to have become brittle just now.
	plainTime = 1500 * time.Millisecond
	// saidTTL is how long the answer of a server goes before what is known of its service.
	saidTTL = time.Second
	// holdTime is how long after the leader's last answer a host uses its places.
	holdTime = 1500 * time.Millisecond
	// idleTime is how long a place may be idle before it goes back.
	idleTime = time.Second
	// lingerTime is how long a call that ended without a whole answer counts as running.
	lingerTime = 500 * time.Millisecond
	// refusalPause is how long a host sends nothing to a server that refused a call.
	refusalPause = time.Second
	// forgetAfter is how long a service is remembered after it was brittle.
	forgetAfter = time.Minute
	// hostsTTL is how long the highest number of hosts counts.
	hostsTTL = 10 * time.Second
	// minInterval and intervalPerHost give the shortest time between two messages of a
	// host for places that have come free, or for calls after one that got none.
	minInterval     = 20 * time.Millisecond
	intervalPerHost = 500 * time.Microsecond
)

// Holder holds the places of one entry host.
type Holder struct {
	random   *rand.Rand
	run, seq uint64
	hosts    int
	hostsAt  time.Time
	services map[identifier.Service]*heldService
	servers  map[identifier.ServerRun]*heldServer
	needs    map[Pool]*Need
	// plainAt is when an answer of a service last did not say that it is brittle.
	plainAt map[identifier.Service]time.Time
	changes []Change
	// hasNews is whether the leader is to be told something.
	hasNews bool
	// reportedAt is when the last report was made, appliedAt when that of the last grant
	// was, or the first report without any grant.
	reportedAt, appliedAt time.Time
}

// heldService is what the host knows of a service that is or was brittle.
type heldService struct {
	knowledge
	// own is the newest answer to this host.
	own announcer.Observation
	// plainAt is when an answer to this host last did not say that the service is brittle,
	// before it became so, and settled whether the leader has bounded it since then.
	plainAt         time.Time
	settled, scarce bool
	// askAt is when the leader may be asked again after it had no place, returnAt when a
	// call that got none may come back.
	askAt, returnAt time.Time
	// confirmation is that of what is known.
	confirmation announcer.Confirmation
}

// inGrace reports whether the service is not bounded yet. One that was not called lately
// may have been brittle for long.
func (s *heldService) inGrace(now time.Time) bool {
	return !s.settled && now.Sub(s.since) < graceTime && s.since.Sub(s.plainAt) < plainTime
}

// heldServer is what the host has at a server.
type heldServer struct {
	Server
	// said is the last answer of the server to this host.
	said announcer.Observation
	held int
	// busyAt is when all places were last in use, pausedUntil the end of a pause.
	busyAt, pausedUntil time.Time
	refused             int
	// lingering is until when calls that have ended count as running.
	lingering []time.Time
	// soloAt is when a host that is alone may send a call; zero means not drawn yet.
	soloAt time.Time
}

// used returns the number of places in use, given that of running calls.
func (s *heldServer) used(now time.Time, running int) int {
	for len(s.lingering) > 0 && !now.Before(s.lingering[0]) {
		s.lingering = s.lingering[1:]
	}
	return running + len(s.lingering)
}

// NewHolder returns a Holder that knows no brittle services. The run is that of the
// host's process.
func NewHolder(random *rand.Rand, run uint64) *Holder {
	return &Holder{
		random: random, plainAt: make(map[identifier.Service]time.Time), run: run, hosts: 1, services: make(map[identifier.Service]*heldService),
		servers: make(map[identifier.ServerRun]*heldServer), needs: make(map[Pool]*Need),
	}
}

// SetHosts sets the number of entry hosts. A new leader has heard few of them at first,
// so a lower number counts only after hostsTTL.
func (h *Holder) SetHosts(now time.Time, n int) {
	if n >= h.hosts || now.Sub(h.hostsAt) > hostsTTL {
		h.hosts, h.hostsAt = max(n, 1), now
	}
}

// Interval returns the shortest time between two messages without a call that waits.
func (h *Holder) Interval() time.Duration {
	return max(minInterval, time.Duration(h.hosts)*intervalPerHost)
}

// Record records what a response of a server said.
func (h *Holder) Record(now time.Time, s Server, refusals *identifier.RequestRate) {
	if refusals == nil {
		h.plainAt[s.Service] = now
	}
	sv := h.services[s.Service]
	if sv == nil {
		if refusals == nil {
			return
		}
		sv = h.begin(s.Service)
	}
	o := announcer.Observation{Rate: refusals, At: now}
	if k := h.state(s); o.Supersedes(k.said) {
		k.said = o
	}
	if o.Supersedes(sv.own) {
		sv.own = o
	}
	if h.merge(s.Service, sv, o, now) {
		h.hasNews = true
	}
}

// begin adds a service. If there was none, the host has not reported for some time.
func (h *Holder) begin(name identifier.Service) *heldService {
	if len(h.services) == 0 {
		h.appliedAt = time.Time{}
	}
	sv := &heldService{}
	h.services[name] = sv
	return sv
}

// merge merges an observation of a service and reports whether that is news.
func (h *Holder) merge(name identifier.Service, sv *heldService, o announcer.Observation, since time.Time) bool {
	if !sv.merge(o, since) {
		return false
	}
	sv.settled, sv.scarce, sv.askAt, sv.returnAt = false, false, time.Time{}, time.Time{}
	sv.plainAt = h.plainAt[name]
	h.changes = append(h.changes, Change{name, sv.known.Rate})
	return true
}

// state returns the state of a server, adding an empty one if there is none.
func (h *Holder) state(s Server) *heldServer {
	k := h.servers[s.Run]
	if k == nil {
		k = &heldServer{}
		h.servers[s.Run] = k
	}
	k.Server = s
	return k
}

// bound returns the service of a server whose calls are bounded now, or nil.
func (h *Holder) bound(now time.Time, s *Server) *heldService {
	if len(h.services) == 0 {
		return nil
	}
	sv := h.services[s.Service]
	if sv == nil || !h.isBrittle(now, s, sv) || sv.inGrace(now) {
		return nil
	}
	return sv
}

// isBrittle reports whether a server is brittle.
func (h *Holder) isBrittle(now time.Time, s *Server, sv *heldService) bool {
	if k := h.servers[s.Run]; k != nil && now.Sub(k.said.At) <= saidTTL {
		return k.said.Announces()
	}
	return sv.known.Announces()
}

// Available reports whether a call may be sent to a server at which this host has the
// given number of calls.
func (h *Holder) Available(now time.Time, s Server, running int) bool {
	sv := h.bound(now, &s)
	if sv == nil {
		return true
	}
	k := h.state(s)
	if h.isAlone(now) {
		return k.used(now, running) == 0 && !now.Before(h.soloTime(now, sv, k))
	}
	return k.held > k.used(now, running) && !now.Before(k.pausedUntil)
}

// isAlone reports whether the leader has been lost for holdTime. A host that has just
// started waits for its first grant.
func (h *Holder) isAlone(now time.Time) bool {
	return !h.appliedAt.IsZero() && now.Sub(h.appliedAt) > holdTime
}

// soloTime returns when a host that is alone may send its next call. The first is at a
// random time, since all hosts may be alone together.
func (h *Holder) soloTime(now time.Time, sv *heldService, k *heldServer) time.Time {
	if k.soloAt.IsZero() {
		k.soloAt = now.Add(time.Duration(h.random.Float64() * float64(h.soloPause(sv))))
	}
	return k.soloAt
}

// maxSoloPause caps the pause of a host that is alone.
const maxSoloPause = 10 * time.Minute

// soloPause returns the time in which all hosts may have one call refused by a server.
func (h *Holder) soloPause(sv *heldService) time.Duration {
	if !sv.known.Announces() || float64(h.hosts) > maxSoloPause.Seconds()*float64(*sv.known.Rate) {
		return maxSoloPause
	}
	return time.Duration(float64(h.hosts) / float64(*sv.known.Rate) * float64(time.Second))
}

// Began records that a call was sent to a server, at which the host has now the given
// number of calls.
func (h *Holder) Began(now time.Time, s Server, running int) {
	if h.bound(now, &s) == nil {
		return
	}
	if k := h.state(s); k.used(now, running) >= k.held {
		k.busyAt = now
	}
}

// Ended records that a call at a server has ended, with a whole answer or not. It
// reports whether the leader is to be told at once of the place that has come free.
func (h *Holder) Ended(now time.Time, s Server, running int, whole bool) bool {
	sv := h.bound(now, &s)
	if sv == nil {
		return false
	}
	k := h.state(s)
	if !whole {
		k.lingering = append(k.lingering, now.Add(lingerTime))
	}
	used := k.used(now, running)
	if used+1 >= k.held {
		k.busyAt = now
	}
	return sv.scarce && k.held > used && !h.isAlone(now)
}

// Refused records that a server refused a call for want of room. It reports whether the
// leader is to be told at once.
func (h *Holder) Refused(now time.Time, s Server) bool {
	sv := h.bound(now, &s)
	if sv == nil {
		return false
	}
	k := h.state(s)
	k.refused++
	k.held = max(k.held-1, 0)
	k.pausedUntil = now.Add(refusalPause)
	k.soloAt = now.Add(time.Duration((1 + h.random.Float64()) * float64(h.soloPause(sv))))
	h.hasNews = true
	return !h.isAlone(now)
}

// Need counts a call that waits for a place at one of the candidates. If the leader
// recently had none, or is lost, it returns false.
func (h *Holder) Need(now time.Time, p Pool, candidates []Server) bool {
	sv := h.services[p.Service]
	if sv == nil || h.isAlone(now) {
		return false
	}
	n := h.needs[p]
	if n == nil {
		n = &Need{Pool: p}
		h.needs[p] = n
	}
	if now.Before(sv.askAt) {
		n.Turned++
		return false
	}
	n.Calls++
	n.Candidates = candidates
	return true
}

// HasNeeds reports whether calls wait for the next report.
func (h *Holder) HasNeeds() bool {
	for _, n := range h.needs {
		if n.Calls > 0 {
			return true
		}
	}
	return false
}

// HasNews reports whether the leader is to be told something before the next regular
// report.
func (h *Holder) HasNews() bool { return h.hasNews }

// IsConcerned reports whether a service is or was brittle, so that the leader is to get
// reports.
func (h *Holder) IsConcerned() bool { return len(h.services) > 0 }

// Concerns reports whether a service is or was brittle.
func (h *Holder) Concerns(s identifier.Service) bool { return h.services[s] != nil }

// Wait returns the time after which a call of a service that found no place may come
// back.
func (h *Holder) Wait(now time.Time, s identifier.Service) time.Duration {
	sv := h.services[s]
	if sv == nil {
		return 0
	}
	return max(sv.returnAt.Sub(now), h.Interval())
}

// Changes returns the changes of what is known since the last call.
func (h *Holder) Changes() []Change {
	out := h.changes
	h.changes = nil
	return out
}

// Retain forgets all servers but those for which keep returns true.
func (h *Holder) Retain(keep func(identifier.ServerRun) bool) {
	for s := range h.servers {
		if !keep(s) {
			delete(h.servers, s)
		}
	}
}
