package isolator

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
)

const (
	// maxRemembered bounds the parts whose last survival is remembered.
	maxRemembered = 8192
	// maxOpenEnds bounds the ends that a host keeps.
	maxOpenEnds = 64
)

// Metrics of this package.
var (
	endsConfirmed = metrics.NewCounter("cyclamen_isolator_server_ends_total")
	callsIsolated = metrics.NewCounter("cyclamen_isolator_calls_refused_total")
)

// watchedEnd is the end of a server that this host suspects or knows.
type watchedEnd struct {
	End
	at        time.Time
	confirmed bool
	// toldTerm is the term of the leader that knows all suspects, or 0.
	toldTerm uint64
}

// Survived records that a call was answered completely, or for SurvivalTime.
func (w *Watcher) Survived(s identifier.Service, shared []describer.PromptPart) {
	now := w.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.survivals.set(Key{Service: s}, now)
	for _, p := range shared {
		k := Key{s, p.ID}
		w.survivalsLike(k).set(k, now)
	}
}

// survivalsLike returns the survivals among which that of a key is. The caller holds
// mu.
func (w *Watcher) survivalsLike(k Key) *recent {
	if k.IsRequest() {
		return &w.requestSurvivals
	}
	return &w.survivals
}

// Lost records that the connection of a call broke which the server had only begun
// to answer. It reports whether the caller has to find out whether the server's
// process has ended, and to call Confirm.
func (w *Watcher) Lost(e End, shared []describer.PromptPart) (unknown bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	known, ok := w.ends[e.Server]
	if !ok {
		w.forgetEnds()
		known = &watchedEnd{End: e, at: w.clock.Now()}
		known.Suspects = make(map[identifier.PartID]int)
		w.ends[e.Server] = known
	}
	if addSuspects(known.Suspects, shared) {
		known.toldTerm = 0
	}
	return !ok
}

// forgetEnds drops old ends, and the oldest one if there are too many. The caller
// holds mu.
func (w *Watcher) forgetEnds() {
	now := w.clock.Now()
	var oldest *watchedEnd
	for run, e := range w.ends {
		if now.Sub(e.at) > evidenceTTL {
			delete(w.ends, run)
			continue
		}
		if oldest == nil || e.at.Before(oldest.at) {
			oldest = e
		}
	}
	if len(w.ends) >= maxOpenEnds {
		delete(w.ends, oldest.Server)
	}
}

// Confirm records whether the process of a server has ended. If not, the loss of
// its connections is forgotten.
func (w *Watcher) Confirm(run identifier.ServerRun, ended bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e, ok := w.ends[run]
	switch {
	case !ok:
	case ended:
		e.confirmed = true
		endsConfirmed.Inc()
	default:
		delete(w.ends, run)
	}
}

// SetSuspects sets the parts about which the leader wants to know whether calls
// survived.
func (w *Watcher) SetSuspects(keys []Key) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.suspects = keys
	clear(w.isSuspect)
	for _, k := range keys {
		w.isSuspect[k] = true
	}
}

// Report returns the report for a sync. Told is called with the term of the leader
// that has received it.
func (w *Watcher) Report() (r Report, told func(term uint64)) {
	now := w.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	var sent []*watchedEnd
	for _, e := range w.ends {
		if e.confirmed && e.toldTerm == 0 {
			r.Ends = append(r.Ends, e.asOf(now))
			sent = append(sent, e)
		}
	}
	r.Survivals = w.survivalsOf(now, append(suspectsOf(r.Ends), w.suspects...))
	for k, at := range w.refusals {
		r.Refusals = append(r.Refusals, Sighting{k, now.Sub(at)})
	}
	return r, func(term uint64) { w.markTold(sent, r.Ends, term) }
}

// suspectsOf returns the suspects of ends.
func suspectsOf(ends []End) []Key {
	var keys []Key
	for _, e := range ends {
		for id := range e.Suspects {
			keys = append(keys, Key{e.Service, id})
		}
	}
	return keys
}

// asOf returns a copy of the end for a message.
func (e *watchedEnd) asOf(now time.Time) End {
	out := e.End
	out.Age = now.Sub(e.at)
	out.Suspects = make(map[identifier.PartID]int, len(e.Suspects))
	for id, position := range e.Suspects {
		out.Suspects[id] = position
	}
	return out
}

// markTold records that the leader of a term knows the ends as they were sent. If
// the term is another one than before, that leader is told all ends again.
func (w *Watcher) markTold(ends []*watchedEnd, sent []End, term uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, e := range ends {
		if len(e.Suspects) == len(sent[i].Suspects) {
			e.toldTerm = term
		}
	}
	for _, e := range w.ends {
		if e.toldTerm != term {
			e.toldTerm = 0
		}
	}
}

// survivalsOf returns the last survivals of parts and of their services. The
// caller holds mu.
func (w *Watcher) survivalsOf(now time.Time, keys []Key) []Sighting {
	var out []Sighting
	services := make(map[identifier.Service]bool)
	for _, k := range keys {
		if !services[k.Service] {
			services[k.Service] = true
			out = w.appendSurvival(out, now, Key{Service: k.Service})
		}
		out = w.appendSurvival(out, now, k)
	}
	return out
}

// appendSurvival appends the last survival of a key, if it is remembered. The
// caller holds mu.
func (w *Watcher) appendSurvival(out []Sighting, now time.Time, k Key) []Sighting {
	at, ok := w.survivalsLike(k).get(k)
	if !ok || now.Sub(at) > evidenceTTL {
		return out
	}
	return append(out, Sighting{k, now.Sub(at)})
}

// recent remembers the last times of a bounded number of keys. When it is full, it
// drops those that were not set since it was last half full. The zero value is
// empty.
type recent struct{ current, former map[Key]time.Time }

// set sets the time of a key.
func (r *recent) set(k Key, at time.Time) {
	if r.current == nil || len(r.current) >= maxRemembered/2 {
		r.current, r.former = make(map[Key]time.Time), r.current
	}
	r.current[k] = at
}

// get returns the time of a key, if it is remembered.
func (r *recent) get(k Key) (time.Time, bool) {
	if at, ok := r.current[k]; ok {
		return at, true
	}
	at, ok := r.former[k]
	return at, ok
}
