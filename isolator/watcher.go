package isolator

import (
	"sync"
	"sync/atomic"
	"time"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/timer"
)

const (
	// handoverTime is how long a host that is in contact again goes on by what it
	// has decided alone.
	handoverTime = 5 * time.Second
)

// Watcher collects the evidence of one host and tells which parts of prompts are
// isolated. It is safe for concurrent use.
type Watcher struct {
	host  identifier.Host
	clock timer.Clock

	mu       sync.Mutex
	book     Book
	isolated map[Key]bool
	// parts is the number of isolated parts and requests, for the gauge.
	parts atomic.Int64
	// alone holds the parts that this host isolates by what it knows itself, and
	// until when.
	alone map[Key]time.Time
	// probes holds the parts with which one call may pass, and until when.
	probes    map[Key]time.Time
	suspects  []Key
	isSuspect map[Key]bool
	// survivals are the last ones of parts and services, requestSurvivals those of
	// whole requests, of which there are many more.
	survivals, requestSurvivals recent

	refusals map[Key]time.Time
	ends     map[identifier.ServerRun]*watchedEnd
	// pending are the calls that are not yet known to survive.
	pending map[*pendingCall]struct{}
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

// Parts returns the number of isolated parts and requests.
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
	var probed []Key
	for _, p := range shared {
		k := Key{s, p.ID}
		if !w.isIsolated(now, k) {
			continue
		}
		if !now.Before(w.probes[k]) {
			return false
		}
		probed = append(probed, k)
	}
	for _, k := range probed {
		delete(w.probes, k)
	}
	return len(probed) > 0
}

// isIsolated reports whether a part is isolated. The caller holds mu.
func (w *Watcher) isIsolated(now time.Time, k Key) bool {
	return w.isolated[k] || now.Before(w.alone[k])
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
		if w.isIsolated(now, Key{s, p.ID}) {
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
	suspects := suspectsFor(now, &book, i.candidates(&book))
	i.Record(now, w.host, Report{Survivals: w.survivalsOf(now, suspects)})
	events := i.isolations(now, &book, i.candidates(&book), 0)
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
