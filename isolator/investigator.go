package isolator

import (
	"maps"
	"slices"
	"time"

	"cyclamenhub.org/identifier"
)

const (
	// requiredEnds is how many ends in a row isolate a part, without a call that
	// survived in between. A part that survived before needs soundEnds more.
	requiredEnds = 4
	soundEnds    = 2
	// requiredLead is by how many ends a part must exceed all others, and
	// doubtfulEnds the number of ends from which on that is no longer waited for.
	requiredLead = 2
	doubtfulEnds = 10
	// askingPeriods is how many syncs of a host it takes until the leader knows which
	// calls with a new suspect survived: one to ask and one to answer.
	askingPeriods = 2
	// resumeTime is how long a new leader decides nothing: after a restart of all
	// processes only calls that begin then show which suspects survive.
	resumeTime = 2 * time.Second
	// massEnds is how many ends within massTime have a cause in common, which is not
	// a call.
	massEnds = 3
	massTime = 20 * time.Millisecond
	// separation is the time within which several ends count as one.
	separation = 200 * time.Millisecond
	// maxEnds bounds the ends that are kept.
	maxEnds = 64
	// maxSuspects bounds the suspects that hosts are asked about.
	maxSuspects = 512
	// quietTime is how long no call must have asked for an isolated part before its
	// isolation ends.
	quietTime = 10 * time.Minute
)

// probeDelays are the times from the isolation of a part, or its last probe, to the
// next probe. There are few, since each may end a server.
var probeDelays = [...]time.Duration{time.Minute, 10 * time.Minute}

// probeTTL is how long a host may use a probe.
const probeTTL = 5 * time.Second

// Investigator decides which parts of prompts to isolate. It does no I/O, reads
// no clock and is not safe for concurrent use. An Investigator is valid for one
// term, and learns from the hosts what they reported to former leaders.
type Investigator struct {
	// ends holds the known ends in order of time.
	ends []*end
	// survivals holds when a call with a part last survived; an empty part stands
	// for any call of the service.
	survivals map[Key]time.Time
	// refusals holds when a call with an isolated part was last refused, and askedAt
	// the host that refused one last.
	refusals map[Key]time.Time
	askedAt  map[Key]identifier.Host
	// began is when the first report arrived.
	began time.Time
	// suspects is the list for the hosts, which Decide brings up to date; it is not
	// computed for each of their syncs.
	suspects []Key
}

// end is an End with its time by the clock of this process.
type end struct {
	End
	at time.Time
	// recordedAt is when the first report of the end arrived.
	recordedAt time.Time
	// booked are the suspects that the book has, nil if it lacks the end. isNews is set
	// if others were reported since, and isSettled once the end was recorded without
	// those that survived.
	booked            map[identifier.PartID]int
	isNews, isSettled bool
	// group numbers the ends; those that count as one have the same number.
	group int
	// isMass is set if several servers ended at the same moment.
	isMass bool
}

// NewInvestigator returns an Investigator without evidence.
func NewInvestigator() *Investigator {
	return &Investigator{survivals: make(map[Key]time.Time), refusals: make(map[Key]time.Time), askedAt: make(map[Key]identifier.Host)}
}

// Record records the report of a host.
func (i *Investigator) Record(now time.Time, host identifier.Host, r Report) {
	if i.began.IsZero() {
		i.began = now
	}
	for _, e := range r.Ends {
		i.recordEnd(now, e)
	}
	for _, s := range r.Survivals {
		advance(i.survivals, s.Key, now.Add(-s.Age))
	}
	for _, s := range r.Refusals {
		if at := now.Add(-s.Age); at.After(i.refusals[s.Key]) {
			i.refusals[s.Key], i.askedAt[s.Key] = at, host
		}
	}
}

// advance sets the time of a key unless a later one is known.
func advance(times map[Key]time.Time, k Key, at time.Time) {
	if at.After(times[k]) {
		times[k] = at
	}
}

// recordEnd adds an end, or merges it with what other hosts reported of it.
func (i *Investigator) recordEnd(now time.Time, e End) {
	at := now.Add(-e.Age)
	known := i.find(e.Server)
	if known == nil {
		known = &end{End: e, at: at, recordedAt: now, isNews: true}
		known.Suspects = make(map[identifier.PartID]int, len(e.Suspects))
		i.ends = append(i.ends, known)
	}
	if at.Before(known.at) {
		known.at = at
	}
	if known.merge(e.Suspects) {
		known.isNews = true
	}
	i.classifyEnds()
	if len(i.ends) > maxEnds {
		i.ends = i.ends[len(i.ends)-maxEnds:]
	}
}

// merge adds suspects and reports whether one of them was new.
func (e *end) merge(suspects map[identifier.PartID]int) bool {
	changed := false
	for id, position := range suspects {
		changed = addSuspect(e.Suspects, id, position) || changed
	}
	return changed
}

// forget drops evidence that is older than evidenceTTL.
func (i *Investigator) forget(now time.Time) {
	i.ends = slices.DeleteFunc(i.ends, func(e *end) bool { return now.Sub(e.at) > evidenceTTL })
	for _, times := range []map[Key]time.Time{i.survivals, i.refusals} {
		for k, at := range times {
			if now.Sub(at) > 2*evidenceTTL {
				delete(times, k)
				delete(i.askedAt, k)
			}
		}
	}
}

// IsIdle reports whether there is nothing to decide soon.
func (i *Investigator) IsIdle() bool { return len(i.ends) == 0 }

// Suspects returns the parts about which hosts are to report calls that survived, as
// of the last Decide: those that were isolated before or are being probed, and then
// the others, the most suspicious first.
func (i *Investigator) Suspects() []Key { return i.suspects }

// suspectsFor returns the list of suspects for a book and its candidates.
func suspectsFor(now time.Time, b *Book, candidates map[Key]*candidate) []Key {
	sorted := slices.SortedFunc(maps.Values(candidates), func(a, b *candidate) int { return b.compare(a) })
	var out []Key
	for n := range b.Isolations {
		if iso := &b.Isolations[n]; !iso.InForce() || iso.Probes > 0 {
			out = append(out, iso.Key)
		}
	}
	for _, c := range sorted {
		if !c.isFormer && c.isAskedAbout(now) {
			out = append(out, c.Key)
		}
	}
	return out[:min(len(out), maxSuspects)]
}

// explanation returns the suspect of an end that is isolated, or was when the server
// ended, parts before requests, or the zero key if there is none.
func (b *Book) explanation(e *end) (found Key) {
	for n := range b.Isolations {
		iso := &b.Isolations[n]
		if _, ok := e.Suspects[iso.Part]; !ok || iso.Service != e.Service || !iso.InForce() && e.at.After(iso.ReleasedAt) {
			continue
		}
		if !iso.IsRequest() {
			return iso.Key
		}
		if found.Part == "" {
			found = iso.Key
		}
	}
	return found
}

// Decide returns the decisions that are due. hearing is the time between two reports
// of a host; versions returns the versions of a service that have backend servers, or
// nil if they are not known.
func (i *Investigator) Decide(now time.Time, b *Book, hearing time.Duration, versions func(identifier.Service) []identifier.Version) []Event {
	i.forget(now)
	i.recall(now, b)
	candidates := i.candidates(b)
	i.suspects = suspectsFor(now, b, candidates)
	due := i.unrecorded(now, hearing)
	for _, ev := range i.isolations(now, b, candidates, hearing) {
		due = append(due, ev)
	}
	return append(due, i.releases(now, b, versions)...)
}

// recall adds the ends in the book that this Investigator does not know, and suspects
// of others. The clock of the process that recorded them may be ahead of this one.
func (i *Investigator) recall(now time.Time, b *Book) {
	for _, r := range b.Ends {
		known := i.find(r.Server)
		switch {
		case now.Sub(r.At) > evidenceTTL, known != nil && known.booked != nil:
			continue
		case known != nil:
			known.merge(r.Suspects)
		default:
			e := r.End
			e.Age = max(now.Sub(r.At), 0)
			i.recordEnd(now, e)
			if known = i.find(r.Server); known == nil {
				continue // There are too many later ones.
			}
			known.isNews = false
		}
		known.booked = r.Suspects
	}
}

// HasNews reports whether Unrecorded has something to record that hosts reported since
// the last call.
func (i *Investigator) HasNews() bool {
	return slices.ContainsFunc(i.ends, func(e *end) bool { return e.isNews })
}

// Unrecorded returns the events that record what hosts reported of ends, without the
// other decisions. It costs much less than Decide, and is due as soon as HasNews.
func (i *Investigator) Unrecorded(now time.Time, b *Book, hearing time.Duration) []Event {
	i.recall(now, b)
	return i.unrecorded(now, hearing)
}

// unrecorded returns the events that record ends: when a host reports suspects that no
// other has, with those of which no call is known to have survived, and once the hosts
// have reported which of the others survived since. A restart of all processes may
// follow any report, and the calls on a server that ended were those of many hosts.
func (i *Investigator) unrecorded(now time.Time, hearing time.Duration) []Event {
	var due []Event
	for _, e := range i.ends {
		isSettled := now.Sub(e.recordedAt) >= askingPeriods*hearing
		if !e.isNews && (e.isSettled || !isSettled) {
			continue
		}
		e.isNews, e.isSettled = false, isSettled
		ev := RecordEnd{End: End{Server: e.Server, Service: e.Service, Version: e.Version, Suspects: make(map[identifier.PartID]int)}, At: e.at}
		for id, position := range e.Suspects {
			survived := i.survivals[Key{e.Service, id}]
			if survived.IsZero() || isSettled && survived.Before(e.at) {
				ev.Suspects[id] = position
			}
		}
		if isSettled {
			e.Suspects = maps.Clone(ev.Suspects) // What has survived is not looked at again.
		}
		if e.booked == nil || !maps.Equal(e.booked, ev.Suspects) {
			e.booked = ev.Suspects
			due = append(due, ev)
		}
	}
	return due
}

// find returns the end of a run of a server, or nil.
func (i *Investigator) find(run identifier.ServerRun) *end {
	for _, e := range i.ends {
		if e.Server == run {
			return e
		}
	}
	return nil
}

// isolations returns the parts and requests to isolate, from the candidates for a book. Each
// decision is made as if those before it were in force.
func (i *Investigator) isolations(now time.Time, b *Book, candidates map[Key]*candidate, hearing time.Duration) []Isolate {
	var due []Isolate
	decided := *b
	for {
		c := i.proven(now, candidates, hearing)
		if c == nil {
			return due
		}
		ev := c.isolate(now)
		decided.Apply(ev)
		due = append(due, ev)
		candidates = i.candidates(&decided)
	}
}

// classifyEnds sorts the ends by time, groups them, and marks those of which several
// came at the same moment. A group begins with an end and lasts for the time of
// separation.
func (i *Investigator) classifyEnds() {
	slices.SortStableFunc(i.ends, func(a, b *end) int { return a.at.Compare(b.at) })
	group, from := 0, time.Time{}
	for _, e := range i.ends {
		if e.at.Sub(from) >= separation {
			group, from = group+1, e.at
		}
		e.group, e.isMass = group, i.countAt(e) >= massEnds
	}
}

// countAt returns the number of ends of the same service at the moment of an end.
func (i *Investigator) countAt(e *end) int {
	n := 0
	for _, o := range i.ends {
		if o.Service == e.Service && o.at.Sub(e.at).Abs() <= massTime {
			n++
		}
	}
	return n
}

// isProbeDue reports whether a call may be let through.
func (i *Isolation) isProbeDue(now time.Time) bool {
	delays := probeDelays[:]
	if i.IsRequest() {
		delays = requestProbeDelays[:]
	}
	if i.Probes >= len(delays) {
		return false
	}
	last := i.Since
	if i.ProbedAt.After(last) {
		last = i.ProbedAt
	}
	return now.Sub(last) >= delays[i.Probes]
}

// releases returns the ends and the probes of isolations that are due.
func (i *Investigator) releases(now time.Time, b *Book, versions func(identifier.Service) []identifier.Version) []Event {
	var due []Event
	for n := range b.Isolations {
		iso := &b.Isolations[n]
		if !iso.InForce() {
			continue
		}
		advance(i.refusals, iso.Key, iso.Since)
		asked := i.refusals[iso.Key]
		running := versions(iso.Service)
		remains := func(v identifier.Version) bool { return slices.Contains(iso.Versions, v) }
		switch {
		case iso.Probes > 0 && i.survivals[iso.Key].After(iso.ProbedAt):
			due = append(due, Release{Key: iso.Key, Reason: "a call that was let through was answered", IsSound: true, At: now})
		case now.Sub(asked) >= quietTime:
			due = append(due, Release{Key: iso.Key, Reason: "no call has asked for it for " + quietTime.String(), At: now})
		case len(running) > 0 && !slices.ContainsFunc(running, remains):
			due = append(due, Release{Key: iso.Key, Reason: "the service runs another version", At: now})
		case iso.isProbeDue(now) && asked.After(iso.Since) && now.Sub(asked) < probeTTL:
			due = append(due, Probe{Key: iso.Key, Host: i.askedAt[iso.Key], At: now})
		}
	}
	return due
}
