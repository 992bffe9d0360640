package isolator

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cyclamenhub.org/identifier"
)

// TestBookStaysBounded applies random events and checks that a book stays within its
// bounds, that its sequence rises exactly with changes of the isolations, and that
// hosts decode what is sent.
func TestBookStaysBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Book
		for n := range rapid.IntRange(1, 200).Draw(t, "events") {
			at := time.Unix(int64(n), 0).UTC()
			k := Key{"model", identifier.PartID(rapid.StringMatching("p[0-9]{1,3}").Draw(t, "part"))}
			var ev Event
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				ev = Isolate{Key: k, Versions: []identifier.Version{"v1"}, At: at}
			case 1:
				ev = Release{Key: k, IsSound: rapid.Bool().Draw(t, "sound"), At: at}
			case 2:
				ev = Probe{Key: k, Host: "h1", At: at}
			default:
				ev = RecordEnd{End: End{Server: identifier.ServerRun{ID: "s", Incarnation: uint64(n)}, Service: "model"}, At: at}
			}
			before := b
			changed := b.Apply(ev)
			if changed != (b.Sequence == before.Sequence+1) || changed == cmp.Equal(before.Isolations, b.Isolations) {
				t.Fatalf("%T: changed %v, sequence %d after %d", ev, changed, b.Sequence, before.Sequence)
			}
		}
		decoded, err := DecodeBook(b.Encode())
		if err != nil || b.Check() != nil {
			t.Fatalf("book is refused: %v, %v", err, b.Check())
		}
		if diff := cmp.Diff(Book{Sequence: b.Sequence, Isolations: b.Isolations}, decoded); diff != "" {
			t.Fatalf("hosts get another book (-want +got):\n%s", diff)
		}
	})
}

// recordAll has a leader decide and applies what it decides to a book.
func recordAll(i *Investigator, b *Book, now time.Time) {
	for _, ev := range i.Decide(now, b, time.Second, func(identifier.Service) []identifier.Version { return nil }) {
		b.Apply(ev)
	}
}

// reportOf returns the report of a host that had one call on a server that ended.
func reportOf(suspect identifier.PartID) Report {
	return Report{Ends: []End{{Server: identifier.ServerRun{ID: "s", Incarnation: 1}, Service: "model", Suspects: map[identifier.PartID]int{suspect: 0}}}}
}

// TestSuspectsOfLaterReportsAreRecorded guards against a restart of all processes that
// loses the suspects which other hosts than the first one reported of an end, and
// against a new leader that replaces the recorded ones by those it was told so far.
func TestSuspectsOfLaterReportsAreRecorded(t *testing.T) {
	var b Book
	now := time.Unix(1000, 0)
	want := make(map[identifier.PartID]int)
	for _, suspects := range [][]identifier.PartID{{"a", "b"}, {"c", "d"}} {
		leader := NewInvestigator()
		for _, id := range suspects {
			want[id] = 0
			leader.Record(now, "h", reportOf(id))
			recordAll(leader, &b, now)
			now = now.Add(50 * time.Millisecond)
			if diff := cmp.Diff(want, b.Ends[0].Suspects); diff != "" {
				t.Errorf("the book has other suspects after %s was reported (-want +got):\n%s", id, diff)
			}
		}
	}
}
