package isolator

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"cyclamenhub.org/identifier"
)

// maxIsolations bounds the isolations of a Book, with those that have ended.
const maxIsolations = 128

// Isolation is the decision to refuse calls with a part in their prompts.
type Isolation struct {
	Key
	// Versions are the versions of the service that ended under such calls.
	Versions []identifier.Version `json:"versions"`
	Since    time.Time            `json:"since"`
	// Probes counts the calls that were let through to see whether servers still end,
	// and ProbedAt is when the last one was allowed, to ProbeHost.
	Probes    int             `json:"probes,omitempty"`
	ProbedAt  time.Time       `json:"probedAt,omitzero"`
	ProbeHost identifier.Host `json:"probeHost,omitempty"`
	// ReleasedAt is when the isolation ended, or zero.
	ReleasedAt time.Time `json:"releasedAt,omitzero"`
}

// InForce reports whether the isolation has not ended.
func (i *Isolation) InForce() bool { return i.ReleasedAt.IsZero() }

// Event changes a Book. It is Isolate, Release, Probe or RecordEnd.
type Event interface{ isEvent() }

// Isolate isolates a part.
type Isolate struct {
	Key
	Versions []identifier.Version `json:"versions"`
	// Servers are the servers whose ends are the evidence.
	Servers []identifier.BackendServer `json:"servers"`
	At      time.Time                  `json:"at"`
}

// Release ends the isolation of a part.
type Release struct {
	Key
	Reason string `json:"reason"`
	// IsSound is set if a call with the part was answered. Nothing remains of the
	// isolation then; otherwise one more end renews it.
	IsSound bool      `json:"isSound,omitempty"`
	At      time.Time `json:"at"`
}

// Probe allows one host to let one call with an isolated part through.
type Probe struct {
	Key
	Host identifier.Host `json:"host"`
	At   time.Time       `json:"at"`
}

// RecordEnd records the end of a server with the suspects that had not survived
// since, so that a restart of all processes does not lose the evidence.
type RecordEnd struct {
	End
	At time.Time `json:"at"`
}

func (Isolate) isEvent()   {}
func (Release) isEvent()   {}
func (Probe) isEvent()     {}
func (RecordEnd) isEvent() {}

// Book is the replicated list of isolations. Its zero value is empty. One
// goroutine owns it.
type Book struct {
	// Sequence increases with every change of the isolations.
	Sequence   uint64      `json:"sequence"`
	Isolations []Isolation `json:"isolations"`
	// Ends holds the latest recorded ends, oldest first.
	Ends []RecordEnd `json:"ends,omitempty"`
}

// Apply applies an event and reports whether it changed the isolations.
func (b *Book) Apply(ev Event) bool {
	switch ev := ev.(type) {
	case Isolate:
		return b.isolate(ev)
	case Release:
		return b.release(ev)
	case Probe:
		return b.change(ev.Key, func(i *Isolation) { i.Probes, i.ProbedAt, i.ProbeHost = i.Probes+1, ev.At, ev.Host })
	case RecordEnd:
		b.recordEnd(ev)
		return false
	default:
		panic(fmt.Sprintf("event %T has no case in Book.Apply", ev))
	}
}

// isolate puts an isolation in force. The last one that was added or renewed is
// last in the list.
func (b *Book) isolate(ev Isolate) bool {
	added := Isolation{Key: ev.Key, Versions: slices.Clone(ev.Versions), Since: ev.At}
	if old := b.find(ev.Key); old != nil {
		if old.InForce() {
			return false
		}
		if slices.Equal(old.Versions, ev.Versions) {
			added.Probes, added.ProbedAt = old.Probes, old.ProbedAt
		}
	}
	b.remove(ev.Key)
	if len(b.Isolations) >= maxIsolations {
		b.evict()
	}
	b.Isolations = append(b.Isolations, added)
	b.Sequence++
	return true
}

// release ends an isolation, and removes it if the part is sound.
func (b *Book) release(ev Release) bool {
	if !ev.IsSound {
		return b.change(ev.Key, func(i *Isolation) { i.ReleasedAt = ev.At })
	}
	if !b.isInForce(ev.Key) {
		return false
	}
	b.remove(ev.Key)
	b.Sequence++
	return true
}

// change changes an isolation in force. It copies the list, since views of it are
// read elsewhere.
func (b *Book) change(k Key, change func(*Isolation)) bool {
	if !b.isInForce(k) {
		return false
	}
	b.Isolations = slices.Clone(b.Isolations)
	change(b.find(k))
	b.Sequence++
	return true
}

// isInForce reports whether a part is isolated.
func (b *Book) isInForce(k Key) bool {
	i := b.find(k)
	return i != nil && i.InForce()
}

// recordEnd adds an end, unless it is known, and drops old ones.
func (b *Book) recordEnd(ev RecordEnd) {
	kept := slices.DeleteFunc(slices.Clone(b.Ends), func(e RecordEnd) bool {
		return e.Server == ev.Server || ev.At.Sub(e.At) > evidenceTTL
	})
	kept = append(kept, ev)
	b.Ends = kept[max(len(kept)-maxEnds, 0):]
}

// evict removes the first isolation that has ended, or the oldest one if none
// has.
func (b *Book) evict() {
	oldest := max(slices.IndexFunc(b.Isolations, func(i Isolation) bool { return !i.InForce() }), 0)
	b.remove(b.Isolations[oldest].Key)
}

// remove removes the isolation of a part, if there is one. It copies the list, since
// views of it are read elsewhere.
func (b *Book) remove(k Key) {
	b.Isolations = slices.DeleteFunc(slices.Clone(b.Isolations), func(i Isolation) bool { return i.Key == k })
}

// find returns the isolation of a part, or nil.
func (b *Book) find(k Key) *Isolation {
	for i := range b.Isolations {
		if b.Isolations[i].Key == k {
			return &b.Isolations[i]
		}
	}
	return nil
}

// Check returns an error for a book that Apply never produces.
func (b *Book) Check() error {
	if len(b.Ends) > maxEnds {
		return fmt.Errorf("%d ends of backend servers are recorded, at most %d are kept: run one version of cyclamend on all hosts", len(b.Ends), maxEnds)
	}
	if len(b.Isolations) > maxIsolations {
		return fmt.Errorf("%d parts of prompts are isolated, at most %d are kept: run one version of cyclamend on all hosts", len(b.Isolations), maxIsolations)
	}
	for i := range b.Isolations {
		if err := b.Isolations[i].Service.Check(); err != nil {
			return fmt.Errorf("isolated part %q: %w", b.Isolations[i].Part, err)
		}
		if b.Isolations[i].Part == "" {
			return fmt.Errorf("an isolated part of %s has no id: run one version of cyclamend on all hosts", b.Isolations[i].Service)
		}
	}
	return nil
}

// Encode returns the form of b that is distributed to hosts, without the ends.
func (b *Book) Encode() []byte {
	out, err := json.Marshal(Book{Sequence: b.Sequence, Isolations: b.Isolations})
	if err != nil {
		// All fields have types that can be marshaled.
		panic(fmt.Sprintf("isolator: %v", err))
	}
	return out
}

// DecodeBook decodes and checks a book that Encode returned.
func DecodeBook(b []byte) (Book, error) {
	var book Book
	if err := json.Unmarshal(b, &book); err != nil {
		return Book{}, fmt.Errorf("isolated parts of prompts: %w: run one version of cyclamend on all hosts", err)
	}
	return book, book.Check()
}
