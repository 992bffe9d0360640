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
