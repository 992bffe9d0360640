package reducer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/isolator"
)

// TestIsolationOutlivesRestart checks that isolated parts and recorded ends survive a
// snapshot, and are published again after it.
func TestIsolationOutlivesRestart(t *testing.T) {
	key := isolator.Key{Service: "model", Part: "bad"}
	at := time.Unix(1000, 0).UTC()
	end := isolator.End{Server: identifier.ServerRun{ID: "s1", Incarnation: 7}, Service: "model", Version: "v1", Suspects: map[identifier.PartID]int{"bad": 1}}
	var m Machine
	for _, ev := range []isolator.Event{
		isolator.RecordEnd{End: end, At: at},
		isolator.Isolate{Key: key, Versions: []identifier.Version{"v1"}, At: at},
		isolator.Probe{Key: key, Host: "h1", At: at},
	} {
		entry, err := EncodeEvent(Isolation{ev})
		if err != nil {
			t.Fatal(err)
		}
		outcome, err := DecodeOutcome(m.Apply(entry)[0])
		if err != nil || outcome.Err() != nil {
			t.Fatalf("%T: %v, %v", ev, outcome, err)
		}
	}
	var published []isolator.Book
	restarted := Machine{Perform: func(effects []Effect) {
		for _, e := range effects {
			if p, ok := e.(PublishIsolation); ok {
				published = append(published, p.Book)
			}
		}
	}}
	if err := restarted.Restore(m.Snapshot()); err != nil {
		t.Fatal(err)
	}
	want := isolator.Book{
		Sequence:   2,
		Isolations: []isolator.Isolation{{Key: key, Versions: []identifier.Version{"v1"}, Since: at, Probes: 1, ProbedAt: at, ProbeHost: "h1"}},
		Ends:       []isolator.RecordEnd{{End: end, At: at}},
	}
	if diff := cmp.Diff([]isolator.Book{want}, published); diff != "" {
		t.Errorf("published books differ (-want +got):\n%s", diff)
	}
}
