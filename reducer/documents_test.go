package reducer

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
)

// TestHighestRevisionWins stores documents in random order, with repeated
// revision numbers and different content under one number. The first content of
// the highest revision must remain, nothing may be refused, and the published
// revisions must increase.
func TestHighestRevisionWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m Machine
		var published identifier.Revision
		m.Perform = func(effects []Effect) {
			for _, e := range effects {
				if p, ok := e.(PublishConfiguration); ok {
					if p.Revision <= published {
						t.Errorf("revision %d is published after %d", p.Revision, published)
					}
					published = p.Revision
				}
			}
		}
		first := make(map[identifier.Revision]string)
		var highest identifier.Revision
		for i := range rapid.IntRange(1, 20).Draw(t, "changes") {
			revision := identifier.Revision(rapid.IntRange(1, 9).Draw(t, "revision"))
			document, _ := json.Marshal(map[string]int{"change": i})
			if _, ok := first[revision]; !ok {
				first[revision] = string(document)
			}
			highest = max(highest, revision)
			entry, err := EncodeEvent(StoreDocument{Revision: revision, Document: document, At: time.Unix(int64(i), 0)})
			if err != nil {
				t.Fatal(err)
			}
			outcome, err := DecodeOutcome(m.Apply(entry)[0])
			if err != nil || outcome.Err() != nil {
				t.Fatalf("revision %d is not acknowledged: %v, %v", revision, outcome, err)
			}
		}
		v := m.View()
		if v.Revision != highest || string(v.Document) != first[highest] {
			t.Errorf("current revision is %d with %s, want %d with %s", v.Revision, v.Document, highest, first[highest])
		}
	})
}

// TestWindowsCloseOnce checks that the first record of a window is final and
// that snapshots preserve it.
func TestWindowsCloseOnce(t *testing.T) {
	var s State
	for _, ev := range []CloseWindow{
		{Window: 7, Counts: describer.Counts{"choir": 1}},
		{Window: 7, Counts: describer.Counts{"choir": 2}},
		{Window: 8, Counts: describer.Counts{"choir": 3}},
		{Window: 6, Counts: describer.Counts{"choir": 4}},
	} {
		Reduce(&s, ev)
	}
	var restored State
	if err := restored.Restore(s.Snapshot()); err != nil {
		t.Fatal(err)
	}
	want := []ClosedWindow{{7, describer.Counts{"choir": 1}}, {8, describer.Counts{"choir": 3}}}
	if diff := cmp.Diff(want, restored.View().Windows); diff != "" {
		t.Errorf("windows differ (-want +got):\n%s", diff)
	}
}
