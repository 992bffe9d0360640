package reducer

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cyclamenhub.org/identifier"
)

var testStart = time.Date(2026, 12, 1, 20, 0, 0, 0, time.UTC)

// changeNumber returns a change whose id and content are unique for n.
func changeNumber(n int, base identifier.Revision) ChangeConfiguration {
	return ChangeConfiguration{
		ChangeID: identifier.ChangeID(fmt.Sprintf("c-%d", n)), Base: base, Operator: "els",
		Document: json.RawMessage(fmt.Sprintf(`{"n":%d}`, n)), At: testStart.Add(time.Duration(n) * time.Second),
	}
}

// anyChange returns a change of a random kind whose id is unique for n.
func anyChange(t *rapid.T, n int, base identifier.Revision, at time.Time) Event {
	ev := changeNumber(n, base)
	name := fmt.Sprintf("e-%d", n%3)
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		ev.At = at
		return ev
	case 1:
		return AddException{ChangeID: ev.ChangeID, Base: base, Operator: "els", At: at, Exception: fmt.Appendf(nil, `{"name":%q}`, name)}
	default:
		return RemoveException{ChangeID: ev.ChangeID, Base: base, Operator: "els", At: at, Name: name}
	}
}

// laterResend returns ev as a proposer sends it again at a later time.
func laterResend(ev Event, at time.Time) Event {
	switch ev := ev.(type) {
	case ChangeConfiguration:
		ev.At = at
		return ev
	case AddException:
		ev.At = at
		return ev
	case RemoveException:
		ev.At = at
		return ev
	default:
		return ev
	}
}

// apply encodes ev, applies it to m and decodes the outcome, as the replicated
// log does.
func apply(t interface{ Fatal(...any) }, m *Machine, index int, ev Event) Outcome {
	entry, err := EncodeEvent(ev)
	if err != nil {
		t.Fatal(err)
	}
	outcome, err := DecodeOutcome(m.Apply(entry)[0])
	if err != nil {
		t.Fatal(err)
	}
	return outcome
}

func TestConcurrentAndResentChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m Machine
		sent := map[int]Event{}
		first := map[int]Outcome{}
		accepted := map[identifier.Revision]int{}
		var revision identifier.Revision
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			n := rapid.IntRange(0, 15).Draw(t, "change")
			at := testStart.Add(time.Duration(i) * time.Minute)
			base := identifier.Revision(0)
			ev, resent := sent[n]
			if !resent {
				base = identifier.Revision(rapid.IntRange(0, int(revision)).Draw(t, "base"))
				ev = anyChange(t, n, base, at)
				sent[n] = ev
			}
			got := apply(t, &m, i+1, laterResend(ev, at))
			if resent {
				if diff := cmp.Diff(markResent(first[n]), got); diff != "" {
					t.Fatalf("resent change %d has a different outcome (-first +now):\n%s", n, diff)
				}
			} else if first[n] = got; got == (Accepted{Revision: base + 1}) {
				accepted[base]++
			}
			if now := m.View().Revision; now < revision {
				t.Fatalf("revision went back from %d to %d", revision, now)
			} else {
				revision = now
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				m = restarted(t, &m)
			}
		}
		for base := identifier.Revision(0); base < revision; base++ {
			if accepted[base] != 1 {
				t.Fatalf("%d changes were accepted against revision %d, want 1", accepted[base], base)
			}
		}
	})
}

// restarted returns a machine that is restored from a snapshot of m.
func restarted(t interface{ Fatal(...any) }, m *Machine) Machine {
	var r Machine
	if err := r.Restore(m.Snapshot()); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(m.Snapshot()), string(r.Snapshot())); diff != "" {
		t.Fatal("the restored state differs (-before +after):\n" + diff)
	}
	return r
}

func TestRefusedChanges(t *testing.T) {
	var m Machine
	apply(t, &m, 1, changeNumber(1, 0))
	reused := changeNumber(1, 0)
	reused.Document = json.RawMessage(`{"n":2}`)
	noObject := changeNumber(3, 1)
	noObject.Document = json.RawMessage(`[]`)
	withoutID := changeNumber(4, 1)
	withoutID.ChangeID = ""
	withoutIDAgain := changeNumber(5, 1)
	withoutIDAgain.ChangeID = ""
	for _, tt := range []struct {
		name string
		ev   Event
		want string
	}{
		{"stale base", changeNumber(2, 0), "the change was made against revision 0 and the present one is 1: look at revision 1 and make the change again with --base 1"},
		{"change id reused", reused, `change id "c-1" was used for another change: send this change under a new change id`},
		{"no object", noObject, "the fleet document is no JSON object: send the document that 'cyclamenctl config get' prints, with the change made"},
		{"no change id again", withoutIDAgain, "the change id is empty or too long: send one of at most 128 bytes"},
		{"no change id", withoutID, "the change id is empty or too long: send one of at most 128 bytes"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			before := m.View()
			err := apply(t, &m, 2, tt.ev).Err()
			if err == nil {
				t.Fatal("accepted")
			}
			if diff := cmp.Diff(tt.want, err.Error()); diff != "" {
				t.Error(diff)
			}
			after := m.View()
			if after.Revision != before.Revision || len(after.Refused) != len(before.Refused)+1 {
				t.Errorf("revision %d, %d refused records; want revision %d and one record more than %d",
					after.Revision, len(after.Refused), before.Revision, len(before.Refused))
			}
		})
	}
}
