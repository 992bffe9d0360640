package reducer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
	"cyclamenhub.org/roller"
)

// testRollout returns an event that starts a rollout.
func testRollout(id identifier.RolloutID, at time.Time) roller.StartRollout {
	return roller.StartRollout{
		ID: id, Service: "schrijfhulp", From: "v1", To: "v2", At: at, Deadline: testStart.Add(time.Hour), Watch: time.Hour,
		FirstLevel: 1, InFlight: 1, Hosts: 8, Operator: "els", Reason: "better drafts",
	}
}

func TestRolloutsAreRecordedOnce(t *testing.T) {
	var m Machine
	later := testRollout("r-1", testStart.Add(time.Minute))
	later.FirstLevel = 2
	other := testRollout("r-1", testStart)
	other.To = "v3"
	busy := Refused{Kind: refuser.Conflict, Problem: "service schrijfhulp is moved by rollout r-1", Remedy: "wait until it has ended, or revert it"}
	for i, tt := range []struct {
		ev   Rollout
		want Outcome
	}{
		{Rollout{ChangeID: "c-1", Event: testRollout("r-1", testStart)}, Accepted{}},
		{Rollout{ChangeID: "c-1", Event: later}, Accepted{Resent: true}},
		{Rollout{ChangeID: "c-1", Event: other}, refusalOfReusedID("c-1")},
		{Rollout{ChangeID: "c-2", Event: testRollout("r-2", testStart)}, busy},
		{Rollout{Event: roller.StageReached{ID: "r-1", Level: 3, At: testStart.Add(time.Minute)}}, Accepted{}},
		{Rollout{ChangeID: "c-3", Event: roller.RevertRollout{ID: "r-1", Operator: "els", Reason: "odd drafts", At: testStart}}, Accepted{}},
		{Rollout{ChangeID: "c-3", Event: roller.RevertRollout{ID: "r-1", Operator: "els", Reason: "odd drafts", At: testStart.Add(1)}}, Accepted{Resent: true}},
		{Rollout{ChangeID: "c-4", Event: roller.RevertRollout{ID: "r-9", Operator: "els"}},
			Refused{Kind: refuser.NotFound, Problem: "rollout r-9 is unknown", Remedy: "list the rollouts and correct the id"}},
	} {
		if diff := cmp.Diff(tt.want, apply(t, &m, i+1, tt.ev)); diff != "" {
			t.Errorf("event %d (-want +got):\n%s", i+1, diff)
		}
		m = restarted(t, &m)
	}
	v := m.View()
	var actions, problems []string
	for _, r := range v.Accepted {
		actions = append(actions, r.Action+" "+r.Detail)
	}
	for _, r := range v.Refused {
		problems = append(problems, r.Problem)
	}
	if diff := cmp.Diff([]string{"startRollout rollout r-1", "stageReached rollout r-1", "revertRollout rollout r-1"}, actions); diff != "" {
		t.Errorf("accepted (-want +got):\n%s", diff)
	}
	if len(problems) != 3 || len(v.Rollouts) != 1 || v.Rollouts[0].Phase != roller.Reverted {
		t.Errorf("refused %q; rollouts %v, want three refusals and one reverted rollout", problems, v.Rollouts)
	}
}

// TestRestorePublishesCurrentState checks that restoring a snapshot publishes
// its configuration and its rollout directives.
func TestRestorePublishesCurrentState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var last, restored []Effect
		collect := func(to *[]Effect) func([]Effect) {
			return func(effects []Effect) {
				for _, e := range effects {
					switch e := e.(type) {
					case PublishConfiguration:
						*to = append(*to, e)
					case RolloutEffect:
						if d, ok := e.Effect.(roller.PublishDirective); ok {
							*to = append(*to, RolloutEffect{Effect: d})
						}
					}
				}
			}
		}
		m := Machine{Perform: collect(&last)}
		var configuration, directive Effect
		for i := range rapid.IntRange(1, 10).Draw(t, "steps") {
			last = nil
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0:
				apply(t, &m, i+1, changeNumber(i, m.View().Revision))
			case 1:
				apply(t, &m, i+1, Rollout{Event: testRollout("r-1", testStart)})
			case 2:
				apply(t, &m, i+1, Rollout{Event: roller.StageReached{ID: "r-1", Level: roller.Level(i + 1), At: testStart}})
			case 3:
				apply(t, &m, i+1, Rollout{Event: roller.RevertRollout{ID: "r-1", Operator: "els", At: testStart}})
			}
			for _, e := range last {
				if _, ok := e.(PublishConfiguration); ok {
					configuration = e
				} else {
					directive = e
				}
			}
		}
		r := Machine{Perform: collect(&restored)}
		if err := r.Restore(m.Snapshot()); err != nil {
			t.Fatal(err)
		}
		var want []Effect
		for _, e := range []Effect{configuration, directive} {
			if e != nil {
				want = append(want, e)
			}
		}
		if diff := cmp.Diff(want, restored); diff != "" {
			t.Fatalf("published by Restore (-want +got):\n%s", diff)
		}
	})
}
