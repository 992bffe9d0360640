package reserver

import (
	"slices"
	"time"

	"cyclamenhub.org/announcer"
	"cyclamenhub.org/identifier"
)

const (
	// hostTTL is how long after a host's last report its places are issued again. It is
	// longer than holdTime by more than a report may take.
	hostTTL = 2500 * time.Millisecond
	// scarceTime is how long after a call that got no place places count as scarce.
	scarceTime = 500 * time.Millisecond
	// raiseShare is the part of the refusals that a server survives which the rise of
	// places after refusals may cause, and maxRaiseTime the longest time between two steps.
	raiseShare   = 0.25
	maxRaiseTime = 2 * time.Second
	// stopTime is how long no place is issued at a server after many refusals.
	stopTime = time.Second
	// turnedPerPlace is the number of calls turned away in one interval for which a host
	// gets a place in advance.
	turnedPerPlace = 4
	// maxWait caps the time after which a refused call may come back.
	maxWait = 3 * time.Second
	// formerTime is how long calls that were sent under a former run of a server count.
	formerTime = 3 * time.Second
	// refusedPeriod is how long a service counts as one whose calls are refused.
	refusedPeriod = 2 * time.Second
)

// Ledger issues the places of brittle servers on the leader.
type Ledger struct {
	began    time.Time
	hosts    map[identifier.Host]*hostAccount
	services map[identifier.Service]*serviceAccount
	servers  map[identifier.ServerRun]*account
	// known is the highest number of hosts that a host has reported.
	known     int
	changes   []Change
	cleanedAt time.Time
}

// hostAccount is the last report of a host.
type hostAccount struct {
	run, seq uint64
	at       time.Time
	servers  map[identifier.ServerRun]ServerReport
}

// serviceAccount is what the leader knows of a service.
type serviceAccount struct {
	knowledge
	// refusedAt is when a call last got no place, returns when the last one of those is
	// told to come back.
	refusedAt, returns time.Time
	issued             tally
}

// NewLedger returns a Ledger of a leader whose term begins now.
func NewLedger(now time.Time) *Ledger {
	return &Ledger{
		began: now, hosts: make(map[identifier.Host]*hostAccount),
		services: make(map[identifier.Service]*serviceAccount), servers: make(map[identifier.ServerRun]*account),
	}
}

// Exchange records the report of a host and returns its grant.
func (l *Ledger) Exchange(now time.Time, host identifier.Host, r Report) Grant {
	l.clean(now)
	if !l.record(now, host, &r) {
		return Grant{}
	}
	g := Grant{Sequence: r.Sequence, Services: make(map[identifier.Service]ServiceGrant, len(l.services)), Servers: make(map[identifier.ServerRun]ServerGrant)}
	waits := l.serve(now, host, &r, &g)
	l.takeBack(now, host, &r, &g)
	for name, sv := range l.services {
		g.Services[name] = ServiceGrant{
			Notice: sv.known.Notice(now), BrittleFor: max(now.Sub(sv.since), 0), Settled: l.isSettled(now, sv),
			Scarce: now.Sub(sv.refusedAt) < scarceTime, Wait: waits[name],
		}
	}
	return g
}

// clean drops hosts that were not heard for hostTTL, and what else is old.
func (l *Ledger) clean(now time.Time) {
	if now.Sub(l.cleanedAt) < minInterval {
		return
	}
	l.cleanedAt = now
	for name, h := range l.hosts {
		if now.Sub(h.at) > hostTTL {
			l.replace(h, nil)
			delete(l.hosts, name)
		}
	}
	for run, a := range l.servers {
		if a.outstanding == 0 && now.Sub(a.touched) > forgetAfter {
			delete(l.servers, run)
		}
	}
	for name, sv := range l.services {
		if !sv.known.Announces() && now.Sub(sv.known.At) > forgetAfter {
			delete(l.services, name)
		}
	}
}

// record records a report. It returns false if a later one of the host came before it.
func (l *Ledger) record(now time.Time, host identifier.Host, r *Report) bool {
	h := l.hosts[host]
	switch {
	case h == nil:
		h = &hostAccount{}
		l.hosts[host] = h
	case r.Run < h.run, r.Run == h.run && r.Sequence <= h.seq:
		return false
	}
	h.run, h.seq, h.at = r.Run, r.Sequence, now
	l.known = max(l.known, r.Hosts)
	for name, sr := range r.Services {
		l.learn(now, name, sr)
	}
	for run, sr := range r.Servers {
		a := l.account(now, Server{run, sr.Service, sr.Places})
		if sv := l.services[sr.Service]; sr.Refused > 0 && sv != nil && sv.known.Announces() {
			a.refuse(now, sr.Refused, *sv.known.Rate, l.isSettled(now, sv))
		}
	}
	l.replace(h, r.Servers)
	return true
}

// learn merges what a host knows of a service.
func (l *Ledger) learn(now time.Time, name identifier.Service, r ServiceReport) {
	sv := l.services[name]
	if sv == nil && r.Notice == nil && r.Told == nil {
		return
	}
	if sv == nil {
		sv = &serviceAccount{}
		l.services[name] = sv
	}
	since := now
	if r.BrittleFor > 0 {
		since = now.Add(-r.BrittleFor)
	}
	o := sv.known
	if r.Notice != nil {
		o = r.Notice.AsOf(now)
	}
	l.merge(name, sv, o, since)
	if r.Told != nil {
		if o = r.Told.AsOf(now); o.OutweighsAsTold(sv.known) {
			l.merge(name, sv, o, since)
		}
	}
}

// merge merges an observation of a service.
func (l *Ledger) merge(name identifier.Service, sv *serviceAccount, o announcer.Observation, since time.Time) {
	if sv.merge(o, since) {
		l.changes = append(l.changes, Change{name, sv.known.Rate})
	}
}

// replace replaces what a host has at servers.
func (l *Ledger) replace(h *hostAccount, servers map[identifier.ServerRun]ServerReport) {
	for run, sr := range h.servers {
		if a := l.servers[run]; a != nil {
			a.outstanding -= sr.outstanding()
			a.used -= sr.Used
		}
	}
	h.servers = servers
	for run, sr := range servers {
		a := l.servers[run]
		a.outstanding += sr.outstanding()
		a.used += sr.Used
	}
}

// outstanding returns the number of places that the host takes up.
func (r ServerReport) outstanding() int { return max(r.Held, r.Used) }

// account returns the account of a server.
func (l *Ledger) account(now time.Time, s Server) *account {
	a := l.servers[s.Run]
	if a == nil {
		a = &account{raisedAt: now, former: l.formerPlaces(now, s.Run), formerUntil: now.Add(formerTime)}
		l.servers[s.Run] = a
	}
	a.service, a.places, a.touched = s.Service, max(s.Places, 1), now
	return a
}

// formerPlaces returns the number of places that are outstanding under other runs of a
// server. Calls reach a process that has just started under the run that is listed still.
func (l *Ledger) formerPlaces(now time.Time, run identifier.ServerRun) int {
	n := 0
	for other, a := range l.servers {
		if other.ID == run.ID && other != run && now.Sub(a.touched) < formerTime {
			n += a.outstanding
		}
	}
	return n
}

// isSettled reports whether the servers of a service are bounded now.
func (l *Ledger) isSettled(now time.Time, sv *serviceAccount) bool {
	return now.Sub(l.began) >= holdTime && (now.Sub(sv.since) >= graceTime || l.hasHeardAll())
}

// hasHeardAll reports whether all hosts have reported.
func (l *Ledger) hasHeardAll() bool { return l.known > 0 && len(l.hosts) >= l.known }

// takeBack takes its part of what exceeds the places of servers from a host.
func (l *Ledger) takeBack(now time.Time, host identifier.Host, r *Report, g *Grant) {
	h := l.hosts[host]
	for run, sr := range r.Servers {
		sv, a := l.services[sr.Service], l.servers[run]
		if sv == nil || !sv.known.Announces() || !l.isSettled(now, sv) {
			continue
		}
		over := a.outstanding - a.room(now)
		if over <= 0 || sr.Held == 0 || g.Servers[run].Issued > 0 {
			continue
		}
		part := (sr.Held*over + a.outstanding - 1) / a.outstanding
		g.Servers[run] = ServerGrant{Taken: min(part, sr.Held)}
		before := sr.outstanding()
		sr.Held -= g.Servers[run].Taken
		h.servers[run] = sr
		a.outstanding += sr.outstanding() - before
	}
}

// serve issues places for the calls that wait, and returns the time after which those of
// a service that got none may come back: of a new leader after it begins to issue places.
func (l *Ledger) serve(now time.Time, host identifier.Host, r *Report, g *Grant) map[identifier.Service]time.Duration {
	var waits map[identifier.Service]time.Duration
	for i := range r.Needs {
		n := &r.Needs[i]
		sv := l.services[n.Pool.Service]
		if sv == nil || !sv.known.Announces() {
			continue
		}
		wait := l.began.Add(holdTime).Sub(now)
		if wait <= 0 {
			if !l.isSettled(now, sv) || l.issue(now, host, sv, n, g) {
				continue
			}
			wait = sv.turnAway(now, n.Calls)
		}
		if waits == nil {
			waits = make(map[identifier.Service]time.Duration)
		}
		waits[n.Pool.Service] = wait
	}
	return waits
}

// issue issues places for the calls of a pool, and some more if there are many or the
// host has turned calls away. It reports whether each call got one.
func (l *Ledger) issue(now time.Time, host identifier.Host, sv *serviceAccount, n *Need, g *Grant) bool {
	open := l.openings(now, n.Candidates)
	free := 0
	for _, o := range open {
		free += o.free
	}
	extra := max(free/(2*max(len(l.hosts), 1)), min(n.Turned/turnedPerPlace, free/2))
	wanted := min(max(n.Calls, extra), free)
	for issued := 0; issued < wanted; issued++ {
		o := slices.MaxFunc(open, byFree)
		o.free--
		l.grant(host, o, g)
	}
	sv.issued.add(now, wanted)
	n.Calls -= min(wanted, n.Calls)
	return n.Calls == 0
}

// opening is a server with free places.
type opening struct {
	Server
	free int
}

// byFree orders servers by their free places, as a part of all.
func byFree(a, b *opening) int { return a.free*b.Places - b.free*a.Places }

// openings returns the candidates with free places.
func (l *Ledger) openings(now time.Time, candidates []Server) []*opening {
	out := make([]*opening, 0, len(candidates))
	for _, s := range candidates {
		a := l.account(now, s)
		s.Places = a.places
		if free := a.room(now) - a.outstanding; free > 0 && !now.Before(a.stoppedUntil) {
			out = append(out, &opening{s, free})
		}
	}
	return out
}

// grant issues one place to a host.
func (l *Ledger) grant(host identifier.Host, o *opening, g *Grant) {
	sg := g.Servers[o.Run]
	sg.Issued++
	g.Servers[o.Run] = sg
	h := l.hosts[host]
	if h.servers == nil {
		h.servers = make(map[identifier.ServerRun]ServerReport)
	}
	sr := h.servers[o.Run]
	before := sr.outstanding()
	sr.Service, sr.Places = o.Service, o.Places
	sr.Held++
	h.servers[o.Run] = sr
	l.servers[o.Run].outstanding += sr.outstanding() - before
}

// turnAway records calls that got no place and returns the time after which the last of
// them may come back. Each call has its turn, at the rate of the last second.
func (s *serviceAccount) turnAway(now time.Time, calls int) time.Duration {
	s.refusedAt = now
	if s.returns.Before(now) {
		s.returns = now
	}
	each := time.Second / time.Duration(max(s.issued.recent(now), 1))
	s.returns = s.returns.Add(min(time.Duration(calls)*each, maxWait))
	if latest := now.Add(maxWait); s.returns.After(latest) {
		s.returns = latest
	}
	return s.returns.Sub(now)
}

// HasRefused reports whether a call of a service got no place lately.
func (l *Ledger) HasRefused(now time.Time, s identifier.Service) bool {
	sv := l.services[s]
	return sv != nil && now.Sub(sv.refusedAt) < refusedPeriod
}

// Brittle returns what the leader knows of the services that are or were brittle.
func (l *Ledger) Brittle(now time.Time) map[identifier.Service]ServiceGrant {
	if len(l.services) == 0 {
		return nil
	}
	out := make(map[identifier.Service]ServiceGrant, len(l.services))
	for name, sv := range l.services {
		out[name] = ServiceGrant{Notice: sv.known.Notice(now), BrittleFor: max(now.Sub(sv.since), 0)}
	}
	return out
}

// Usage is what hosts have at a server of a brittle service.
type Usage struct {
	Server
	// Held is the number of places that hosts hold, Used that of those in use, and Refused
	// that of the refusals in the last second, of which the server survives Survived.
	Held, Used, Refused int
	Survived            identifier.RequestRate
}

// Usages returns what hosts have at the servers of brittle services, in the order of their
// ids. Places is what may be issued at the moment.
func (l *Ledger) Usages(now time.Time) []Usage {
	var out []Usage
	for run, a := range l.servers {
		if sv := l.services[a.service]; sv != nil && sv.known.Announces() {
			out = append(out, Usage{Server{run, a.service, a.room(now)}, a.outstanding, a.used, a.refusals.recent(now), *sv.known.Rate})
		}
	}
	slices.SortFunc(out, func(x, y Usage) int { return x.Run.Compare(y.Run) })
	return out
}

// Changes returns the changes of what is known since the last call.
func (l *Ledger) Changes() []Change {
	out := l.changes
	l.changes = nil
	return out
}
