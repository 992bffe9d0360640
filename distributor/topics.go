package distributor

import (
	"sync"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/wire"
)

// TopicName names one distributed document.
type TopicName string

// FleetTopic carries the fleet document.
const FleetTopic TopicName = "fleet"

// MaxTopics bounds the number of topics that a host holds.
const MaxTopics = 16

// Topic is one distributed document.
type Topic struct {
	Name     TopicName
	Revision identifier.Revision
	Body     []byte
}

// topics holds the newest revision of each topic.
type topics struct {
	mu      sync.Mutex
	byName  map[TopicName]Topic
	changed chan struct{} // closed and replaced at each change
}

// newTopics returns an empty set.
func newTopics() *topics {
	return &topics{byName: make(map[TopicName]Topic), changed: make(chan struct{})}
}

// offer takes t unless the present revision is as new, and reports whether it
// did.
func (s *topics) offer(t Topic) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.byName[t.Name]
	if t.Revision <= old.Revision || (!ok && len(s.byName) >= MaxTopics) {
		return false
	}
	s.byName[t.Name] = t
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

// newer returns the topics that are newer than those in have, and a channel
// that is closed at the next change.
func (s *topics) newer(have []*wire.Topic) ([]*wire.Topic, <-chan struct{}) {
	known := make(map[TopicName]identifier.Revision, len(have))
	for _, h := range have {
		known[TopicName(h.Name)] = identifier.Revision(h.Revision)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var news []*wire.Topic
	for _, t := range s.byName {
		if t.Revision > known[t.Name] {
			news = append(news, &wire.Topic{Name: string(t.Name), Revision: uint64(t.Revision), Body: t.Body})
		}
	}
	return news, s.changed
}

// have returns the revisions held, without bodies.
func (s *topics) have() []*wire.Topic {
	s.mu.Lock()
	defer s.mu.Unlock()
	var h []*wire.Topic
	for _, t := range s.byName {
		h = append(h, &wire.Topic{Name: string(t.Name), Revision: uint64(t.Revision)})
	}
	return h
}

// revision returns the held revision of a topic; 0 means none.
func (s *topics) revision(name TopicName) identifier.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byName[name].Revision
}
