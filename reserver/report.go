package reserver

import (
	"time"

	"cyclamenhub.org/announcer"
	"cyclamenhub.org/identifier"
)

// Running is the number of calls that the host has at a server.
type Running struct {
	Server
	Calls int
}

// Report returns the next report, given the calls at the servers of the services
// that concern it. Idle places are given back with it.
func (h *Holder) Report(now time.Time, calls []Running) Report {
	h.seq++
	isAnswered := h.appliedAt.Equal(h.reportedAt)
	h.reportedAt, h.hasNews = now, false
	if h.appliedAt.IsZero() {
		h.appliedAt = now
	}
	r := Report{
		Run: h.run, Sequence: h.seq, Hosts: h.hosts,
		Services: make(map[identifier.Service]ServiceReport, len(h.services)), Servers: make(map[identifier.ServerRun]ServerReport),
	}
	for name, sv := range h.services {
		if !sv.known.Announces() && now.Sub(sv.known.At) > forgetAfter {
			delete(h.services, name)
			continue
		}
		r.Services[name] = sv.report(now)
	}
	for _, u := range calls {
		h.reportServer(now, &u, isAnswered, &r)
	}
	h.reportNeeds(&r)
	return r
}

// report returns what the host knows of the service.
func (s *heldService) report(now time.Time) ServiceReport {
	var r ServiceReport
	if !s.own.At.IsZero() {
		n := s.own.Notice(now)
		r.Notice = &n
	}
	if s.known.Announces() {
		r.BrittleFor = max(now.Sub(s.since), 1)
	}
	if s.known.IsTold(s.own) {
		n := s.known.Notice(now)
		r.Told = &n
	}
	return r
}

// reportServer adds a server to a report. It gives idle places back if the last report was
// answered: without a leader nobody else could use them.
func (h *Holder) reportServer(now time.Time, u *Running, isAnswered bool, r *Report) {
	sv, k := h.services[u.Service], h.servers[u.Run]
	if sv == nil || k == nil && u.Calls == 0 {
		return
	}
	k = h.state(u.Server)
	used := k.used(now, u.Calls)
	switch {
	case !sv.known.Announces():
		k.held = 0
	case !sv.settled, h.isAlone(now):
		k.held = used
	case isAnswered && k.held > used && (sv.scarce || now.Sub(k.busyAt) > idleTime):
		k.held = used
	}
	if k.held > 0 || used > 0 || k.refused > 0 {
		r.Servers[u.Run] = ServerReport{Service: u.Service, Places: u.Places, Held: k.held, Used: used, Refused: k.refused}
	}
	k.refused = 0
}

// reportNeeds moves the needs to a report.
func (h *Holder) reportNeeds(r *Report) {
	for p, n := range h.needs {
		if n.Calls > 0 {
			r.Needs = append(r.Needs, *n)
		}
		if n.Calls > 0 || n.Turned > 0 {
			h.needs[p] = &Need{Pool: p}
			continue
		}
		delete(h.needs, p)
	}
}

// Apply applies the grant that responds to the last report. An answer to an earlier one
// is dropped.
func (h *Holder) Apply(now time.Time, g Grant) {
	if g.Sequence != h.seq {
		return
	}
	h.appliedAt = h.reportedAt
	h.forgetUnconfirmed(now, g)
	for name, sg := range g.Services {
		h.Learn(h.reportedAt, name, sg.Notice, sg.BrittleFor)
		sv := h.services[name]
		if sv == nil {
			continue
		}
		sv.settled, sv.scarce = sv.settled || sg.Settled, sg.Scarce
		if sg.Wait > 0 {
			sv.askAt, sv.returnAt = now.Add(h.Interval()), now.Add(sg.Wait)
		}
	}
	for run, sg := range g.Servers {
		if k := h.servers[run]; k != nil {
			k.held = max(k.held+sg.Issued-sg.Taken, 0)
			k.soloAt = time.Time{}
			if sg.Issued > 0 {
				k.busyAt = now
			}
		}
	}
}

// forgetUnconfirmed forgets the brittle services that the leader does not confirm, though it
// has this host's reports: without its places no call would be sent there, so that no answer
// could say that they are sound again.
func (h *Holder) forgetUnconfirmed(now time.Time, g Grant) {
	for name, sv := range h.services {
		isConfirmed := g.Services[name].Notice.Rate != nil || !sv.known.Announces()
		if sv.confirmation.IsOverdue(now, isConfirmed) {
			delete(h.services, name)
			h.changes = append(h.changes, Change{Service: name})
		}
	}
}

// Learn records what the leader knows of a service, in the answer to a message sent at
// the given time.
func (h *Holder) Learn(sent time.Time, name identifier.Service, n announcer.Notice, brittleFor time.Duration) {
	sv := h.services[name]
	if sv == nil {
		if n.Rate == nil {
			return
		}
		sv = h.begin(name)
	}
	if h.merge(name, sv, n.AsOf(sent), sent.Add(-brittleFor)) {
		h.hasNews = true
	}
}
