package isolator

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/timer"
)

const (
	// maxRemembered bounds the parts whose last survival is remembered.
	maxRemembered = 8192
	// handoverTime is how long a host that is in contact again goes on by what it
	// has decided alone.
	handoverTime = 5 * time.Second
	// maxOpenEnds bounds the ends that a host keeps.
	maxOpenEnds = 64
)

// Metrics of this package.
var (
	endsConfirmed = metrics.NewCounter("cyclamen_isolator_server_ends_total")
	callsIsolated = metrics.NewCounter("cyclamen_isolator_calls_refused_total")
)

// Watcher collects the evidence of one host and tells which parts of prompts are
// isolated. It is safe for concurrent use.
type Watcher struct {
	host  identifier.Host
	clock timer.Clock

	mu       sync.Mutex
	book     Book
	isolated map[Key]bool
	// parts is the number of isolated parts, for the gauge.
	parts atomic.Int64
	// alone holds the parts that this host isolates by what it knows itself, and
	// until when.
	alone map[Key]time.Time
	// probes holds the parts with which one call may pass, and until when.
	probes    map[Key]time.Time
	suspects  []Key
	isSuspect map[Key]bool
	survivals recent
	refusals  map[Key]time.Time
	ends      map[identifier.ServerRun]*watchedEnd
	// pending are the calls that are not yet known to survive.
	pending map[*pendingCall]struct{}
}

// watchedEnd is the end of a server that this host suspects or knows.
type watchedEnd struct {
	End
	at        time.Time
	confirmed bool
	// toldTerm is the term of the leader that knows all suspects, or 0.
	toldTerm uint64
}

// pendingCall is a call that a server has not answered for SurvivalTime yet.
type pendingCall struct {
	service identifier.Service
	shared  []describer.PromptPart
	cancel  func()
}

// NewWatcher returns a Watcher of a host that knows no isolated part.
func NewWatcher(host identifier.Host, clock timer.Clock) *Watcher {
	return &Watcher{
		host: host, clock: clock, probes: make(map[Key]time.Time), isolated: make(map[Key]bool), alone: make(map[Key]time.Time), isSuspect: make(map[Key]bool),
		refusals: make(map[Key]time.Time), ends: make(map[identifier.ServerRun]*watchedEnd), pending: make(map[*pendingCall]struct{}),
	}
}

// Apply puts a book in force and returns the number of isolated parts. Pending
// calls with a part that is isolated now are cancelled.
func (w *Watcher) Apply(b Book) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.takeProbes(&b)
	w.book = b
	clear(w.isolated)
	for i := range b.Isolations {
		if b.Isolations[i].InForce() {
			w.isolated[b.Isolations[i].Key] = true
		}
	}
	for k := range w.refusals {
		if !w.isolated[k] {
			delete(w.refusals, k)
		}
	}
	w.parts.Store(int64(len(w.isolated)))
	w.cancelIsolated()
	return len(w.isolated)
}

// Parts returns the number of isolated parts.
func (w *Watcher) Parts() int { return int(w.parts.Load()) }

// takeProbes takes the probes in a book that were allowed to this host since the one
// in force. The caller holds mu.
func (w *Watcher) takeProbes(b *Book) {
	for i := range b.Isolations {
		iso := &b.Isolations[i]
		known := w.book.find(iso.Key)
		if iso.ProbeHost == w.host && known != nil && iso.Probes > known.Probes {
			w.probes[iso.Key] = w.clock.Now().Add(probeTTL)
		}
	}
}

// UseProbe reports whether a call may pass although a part of its prompt is
// isolated, and uses up the probe.
func (w *Watcher) UseProbe(s identifier.Service, shared []describer.PromptPart) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	var isolated []Key
	for _, p := range shared {
		if k := (Key{s, p.ID}); w.isolated[k] || now.Before(w.alone[k]) {
			isolated = append(isolated, k)
		}
	}
	if len(isolated) != 1 || !now.Before(w.probes[isolated[0]]) {
		return false
	}
	delete(w.probes, isolated[0])
	return true
}

// cancelIsolated cancels the pending calls with an isolated part. The caller holds
// mu.
func (w *Watcher) cancelIsolated() {
	for c := range w.pending {
		if _, ok := w.find(c.service, c.shared); ok {
			c.cancel()
		}
	}
}

// find returns the first isolated part of a prompt. The caller holds mu.
func (w *Watcher) find(s identifier.Service, shared []describer.PromptPart) (identifier.PartID, bool) {
	now := w.clock.Now()
	for _, p := range shared {
		if k := (Key{s, p.ID}); w.isolated[k] || now.Before(w.alone[k]) {
			return p.ID, true
		}
	}
	return "", false
}

// Has reports whether a part of a prompt is isolated.
func (w *Watcher) Has(s identifier.Service, shared []describer.PromptPart) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.find(s, shared)
	return ok
}

// Isolated returns the isolated part of a prompt, if there is one. The call is then
// refused and counts as one that asks for the part.
func (w *Watcher) Isolated(s identifier.Service, shared []describer.PromptPart) (identifier.PartID, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id, ok := w.find(s, shared)
	if ok {
		w.refusals[Key{s, id}] = w.clock.Now()
		callsIsolated.Inc()
	}
	return id, ok
}

// IsSuspect reports whether a part of a prompt is a suspect of an earlier end.
func (w *Watcher) IsSuspect(s identifier.Service, shared []describer.PromptPart) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range shared {
		if w.isSuspect[Key{s, p.ID}] {
			return true
		}
	}
	return false
}

// Track registers a call until the returned function is called. The call is
// cancelled if one of its parts is isolated meanwhile.
func (w *Watcher) Track(s identifier.Service, shared []describer.PromptPart, cancel func()) (end func()) {
	if len(shared) == 0 {
		return func() {}
	}
	c := &pendingCall{s, shared, cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending[c] = struct{}{}
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.pending, c)
	}
}

// Survived records that a call was answered completely, or for SurvivalTime.
func (w *Watcher) Survived(s identifier.Service, shared []describer.PromptPart) {
	now := w.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.survivals.set(Key{Service: s}, now)
	for _, p := range shared {
		w.survivals.set(Key{s, p.ID}, now)
	}
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
	at, ok := w.survivals.get(k)
	if !ok || now.Sub(at) > evidenceTTL {
		return out
	}
	return append(out, Sighting{k, now.Sub(at)})
}

// DecideAlone isolates parts by what this host knows itself. It is called while
// the host has no contact with a leader, and returns the decisions.
func (w *Watcher) DecideAlone() []Isolate {
	now := w.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.ends) == 0 {
		return nil
	}
	book := w.book
	for k := range w.alone {
		book.Apply(Isolate{Key: k, At: now})
	}
	i := NewInvestigator()
	i.began = now.Add(-resumeTime)
	for _, e := range w.ends {
		if e.confirmed {
			i.recordEnd(now, e.asOf(now))
		}
	}
	i.Record(now, w.host, Report{Survivals: w.survivalsOf(now, i.listSuspects(&book))})
	events := i.isolations(now, &book, 0)
	for _, ev := range events {
		w.alone[ev.Key] = now.Add(evidenceTTL)
	}
	w.cancelIsolated()
	return events
}

// EndAlone records that the host is in contact with a leader. What DecideAlone has
// isolated ends once the leader has had the time to decide by the same evidence.
func (w *Watcher) EndAlone() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	for k, until := range w.alone {
		switch left := until.Sub(now); {
		case left <= 0:
			delete(w.alone, k)
		case left > handoverTime:
			w.alone[k] = now.Add(handoverTime)
		}
	}
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
