package distributor

import (
	"cmp"
	"slices"
	"sync"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/wire"
)

// TopicName identifies a topic.
type TopicName string

// FleetTopic is the topic of the fleet document.
const FleetTopic TopicName = "fleet"

// EvacuationTopic carries the evacuated failure domains.
const EvacuationTopic TopicName = "evacuated"

// MaxTopics bounds the number of topics per host. Further topics are ignored.
const MaxTopics = 16

// Topic is one revision of a distributed document.
type Topic struct {
	Name     TopicName
	Revision identifier.Revision
	Body     []byte
}

// heldTopic is the newest revision of a topic, with the deltas from older ones.
type heldTopic struct {
	Topic
	history history
	packed  packedUpdates
}

// topics holds the newest revision of each topic.
type topics struct {
	mu      sync.Mutex
	byName  map[TopicName]*heldTopic
	changed chan struct{} // closed and replaced on each change
}

// newTopics returns an empty set of topics.
func newTopics() *topics {
	return &topics{byName: make(map[TopicName]*heldTopic), changed: make(chan struct{})}
}

// offer stores t if its revision is higher than the one held. It ignores new
// topics beyond MaxTopics.
func (s *topics) offer(t Topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, ok := s.byName[t.Name]
	if !ok {
		if len(s.byName) >= MaxTopics {
			return
		}
		held = &heldTopic{Topic: Topic{Name: t.Name}, packed: make(packedUpdates)}
		s.byName[t.Name] = held
	}
	if t.Revision <= held.Revision {
		return
	}
	if held.Revision > 0 {
		held.history.add(newDeltas(held.Topic, t)...)
	}
	held.Topic = t
	clear(held.packed)
	close(s.changed)
	s.changed = make(chan struct{})
}

// newer returns the topics with a higher revision than in have, packed if that is
// accepted, and a channel that is closed on the next change. The fleet document is
// last, so that a host which has it in force has the others too.
func (s *topics) newer(have []*wire.Topic, acceptsPacked bool) ([]*wire.Topic, <-chan struct{}) {
	known := make(map[TopicName]identifier.Revision, len(have))
	for _, h := range have {
		known[TopicName(h.Name)] = identifier.Revision(h.Revision)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var updates []*wire.Topic
	for _, t := range s.byName {
		if t.Revision <= known[t.Name] {
			continue
		}
		w := t.encodeFor(known[t.Name])
		if acceptsPacked {
			w = t.packed.pack(w, known[t.Name])
		}
		updates = append(updates, w)
	}
	slices.SortFunc(updates, func(a, b *wire.Topic) int { return cmp.Compare(rank(a), rank(b)) })
	return updates, s.changed
}

// rank returns the place of an update among others.
func rank(w *wire.Topic) int {
	if w.Name == string(FleetTopic) {
		return 1
	}
	return 0
}

// encodeFor returns the update for a host that has revision r: deltas if the
// history reaches back to r, the full document otherwise.
func (t *heldTopic) encodeFor(r identifier.Revision) *wire.Topic {
	w := &wire.Topic{Name: string(t.Name), Revision: uint64(t.Revision)}
	if deltas, ok := t.history.since(r); ok {
		w.Deltas = deltas
		sentAsDeltas.Inc()
		return w
	}
	w.Body = t.Body
	sentAsFullDocuments.Inc()
	return w
}

// decode returns the topic in w. If w carries deltas, it applies them to the held
// document; errDeltaMismatch means that they do not apply, and errUnpackable that
// w is damaged.
func (s *topics) decode(w *wire.Topic) (Topic, error) {
	w, err := unpack(w)
	if err != nil {
		return Topic{}, err
	}
	t := Topic{Name: TopicName(w.Name), Revision: identifier.Revision(w.Revision), Body: w.Body}
	if len(w.Deltas) == 0 {
		return t, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held, ok := s.byName[t.Name]
	if !ok {
		return t, errDeltaMismatch
	}
	if t.Revision <= held.Revision {
		return t, nil // This revision has arrived from another upstream meanwhile.
	}
	body, err := applyDeltas(held.Topic, w.Deltas)
	t.Body = body
	return t, err
}

// have returns the held topics without their bodies.
func (s *topics) have() []*wire.Topic {
	s.mu.Lock()
	defer s.mu.Unlock()
	var h []*wire.Topic
	for _, t := range s.byName {
		h = append(h, &wire.Topic{Name: string(t.Name), Revision: uint64(t.Revision)})
	}
	return h
}

// revision returns the held revision of a topic, or 0 if there is none.
func (s *topics) revision(name TopicName) identifier.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t, ok := s.byName[name]; ok {
		return t.Revision
	}
	return 0
}
