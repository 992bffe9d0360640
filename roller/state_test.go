package roller

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"cyclamenhub.org/internal/golden"
)

// eventHistory returns the events of a rollout that is done and of one that a
// verdict reverts, with refused events in between.
func eventHistory() []Event {
	at := func(minutes int) time.Time { return testTime.Add(time.Duration(minutes) * time.Minute) }
	start := StartRollout{
		ID: "m1", Service: "drafting", From: "v1", To: "v2", At: at(0), Deadline: at(60), Watch: time.Hour,
		FirstLevel: 3, InFlight: 16, Hosts: 8, Operator: "els", Reason: "shorter drafts",
	}
	second := start
	second.ID, second.At, second.Deadline, second.From, second.To = "m2", at(120), at(180), "v2", "v3"
	return []Event{
		start,
		second,
		StageReached{ID: "m1", Level: TopLevel, At: at(50)},
		WatchEnded{ID: "m1", Summary: Summary{Candidate: Tally{Requests: 900, Failed: 3}}, At: at(110)},
		RevertRollout{ID: "m1", Operator: "els", Reason: "too late", At: at(111)},
		second,
		VerdictReached{ID: "m2", Verdict: Verdict{Scope: Scope{Route: "POST /drafts", AllBands: true}, LogEvidence: 9, Candidate: 5}, At: at(125)},
		StageReached{ID: "m2", Level: 4, At: at(126)},
		RevertRollout{ID: "m3", At: at(127)},
	}
}

func TestStateEventHistory(t *testing.T) {
	var state State
	var out strings.Builder
	for _, e := range eventHistory() {
		effects, err := state.Apply(e)
		fmt.Fprintf(&out, "%T: %v\n", e, err)
		for _, f := range effects {
			j, err := json.Marshal(f)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&out, "  %T %s\n", f, j)
		}
	}
	golden.Compare(t, "testdata/story.golden", out.String())
}
