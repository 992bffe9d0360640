package roller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cyclamenhub.org/identifier"
)

// drawCells generates the counters of one source.
func drawCells(t *rapid.T, label string) Cells {
	cs := make(Cells)
	for range rapid.IntRange(0, 4).Draw(t, label+" cells") {
		k := CellKey{
			Route: rapid.SampledFrom([]identifier.Route{OtherRoute, testRoute, otherRoute}).Draw(t, "route"),
			Band:  Band(rapid.IntRange(0, numBands-1).Draw(t, "band")),
		}
		c := cs.cell(k)
		for range rapid.IntRange(0, 3).Draw(t, "tallies") {
			a, l := rapid.IntRange(0, numArms-1).Draw(t, "arm"), rapid.IntRange(0, numLevels-1).Draw(t, "level")
			n := rapid.Uint64Range(0, 100).Draw(t, "n")
			c.Tallies[a][l] = Tally{Requests: n, Failed: n / 2, Slow: n / 3}
			if n > 0 {
				c.histogram(Arm(a))[int(n)%numBuckets] = n
			}
		}
	}
	return cs
}

// delivery is the delivery of one report.
type delivery struct {
	source Source
	cells  Cells
}

// Reports of increasing counters must give the same evidence in any order, also
// if they are repeated or merged in parts.
func TestEvidenceMergesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent []delivery
		for i := range rapid.IntRange(1, 6).Draw(t, "reports") {
			s := Source{Host: identifier.Host(fmt.Sprint("h", rapid.IntRange(0, 2).Draw(t, "host"))), Epoch: Epoch(rapid.IntRange(1, 2).Draw(t, "epoch"))}
			sent = append(sent, delivery{source: s, cells: drawCells(t, fmt.Sprint(i))})
		}
		want := NewEvidence()
		for _, d := range sent {
			want.Merge(d.source, d.cells)
		}
		left, right := NewEvidence(), NewEvidence()
		for _, d := range rapid.Permutation(append(slices.Clone(sent), sent...)).Draw(t, "deliveries") {
			if rapid.Bool().Draw(t, "left") {
				left.Merge(d.source, d.cells)
			} else {
				right.Merge(d.source, d.cells)
			}
		}
		left.MergeAll(right)
		if diff := cmp.Diff(want, left, cmp.AllowUnexported(Evidence{})); diff != "" {
			t.Fatalf("evidence differs (-want +got):\n%s", diff)
		}
	})
}

// For any order of requests, directives and lost contact, a host must not pick
// the candidate after its own verdict on all requests, must not exceed the last
// level of a directive while it has no contact with the controller, and must
// not exceed the limit on in-flight requests.
func TestEvaluatorBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newEvaluatorHarness(t)
		t.Repeat(map[string]func(*rapid.T){
			"draw": h.pick, "observe": h.observe, "evaluate": h.evaluate, "directive": h.apply, "silence": h.passTime, "": h.check,
		})
	})
}

// evaluatorHarness runs one evaluator and checks its bounds.
type evaluatorHarness struct {
	evaluator *Evaluator
	now       time.Time
	sequence  uint64
	sent      int
	open      []Assignment
	// stopped is set by a verdict on all requests, stoppedRoutes by a verdict
	// on one route.
	stopped       bool
	stoppedRoutes map[identifier.Route]bool
	// limit is the highest level at which the host may assign requests.
	limit    Level
	inFlight int
}

func newEvaluatorHarness(t *rapid.T) *evaluatorHarness {
	h := &evaluatorHarness{now: testTime, sequence: 1, inFlight: rapid.IntRange(1, 8).Draw(t, "in flight")}
	h.stoppedRoutes = make(map[identifier.Route]bool)
	h.limit = Level(rapid.IntRange(0, int(TopLevel)-1).Draw(t, "level"))
	h.evaluator = newTestEvaluator(h.limit, h.inFlight)
	return h
}

// pick sends a burst of requests. Those on the candidate fail, so that there
// are verdicts.
func (h *evaluatorHarness) pick(t *rapid.T) {
	r := rapid.SampledFrom([]identifier.Route{testRoute, otherRoute, "GET /unlisted"}).Draw(t, "route")
	for range rapid.IntRange(1, 200).Draw(t, "burst") {
		h.sent++
		a := h.evaluator.Pick(identifier.RequestID(fmt.Sprint(h.sent)), r, LightLoad)
		if a.level > h.limit {
			t.Fatalf("assigned at level %d, limit %d", a.level, h.limit)
		}
		if a.Arm() == Candidate {
			if h.stopped || h.stoppedRoutes[h.evaluator.split.Load().trial.routeKey(r)] {
				t.Fatalf("assigned to the candidate on %q after the host's own verdict", r)
			}
			h.open = append(h.open, a)
			continue
		}
		h.evaluator.Observe(a, Result{Outcome: Succeeded, Latency: time.Second})
	}
}

func (h *evaluatorHarness) observe(*rapid.T) {
	for _, a := range h.open {
		h.evaluator.Observe(a, Result{Outcome: Failed, Latency: time.Millisecond})
	}
	h.open = nil
}

func (h *evaluatorHarness) evaluate(*rapid.T) {
	for _, v := range h.evaluator.Evaluate() {
		if v.Scope.AllRoutes {
			h.stopped = true
		} else {
			h.stoppedRoutes[v.Scope.Route] = true
		}
	}
}

// apply delivers a directive, new or old.
func (h *evaluatorHarness) apply(t *rapid.T) {
	d := h.evaluator.directive
	d.Sequence = rapid.Uint64Range(0, h.sequence+1).Draw(t, "sequence")
	d.Level = Level(rapid.IntRange(0, int(TopLevel)-1).Draw(t, "level"))
	if d.Sequence == h.sequence {
		d.Level = h.evaluator.directive.Level
	}
	h.evaluator.Apply(d, h.now)
	if d.Sequence >= h.sequence {
		h.sequence, h.limit = d.Sequence, d.Level
	}
}

// passTime advances the clock without contact with the controller. The limit
// may fall but must not rise.
func (h *evaluatorHarness) passTime(t *rapid.T) {
	before := h.evaluator.split.Load().level
	h.now = h.now.Add(time.Duration(rapid.Int64Range(0, int64(2*time.Minute)).Draw(t, "silence")))
	h.evaluator.Tick(h.now)
	after := h.evaluator.split.Load().level
	if after > before {
		t.Fatalf("level rose from %d to %d without contact with the controller", before, after)
	}
	h.limit = after
}

func (h *evaluatorHarness) check(t *rapid.T) {
	if len(h.open) > h.inFlight {
		t.Fatalf("%d requests in flight on the candidate, bound %d", len(h.open), h.inFlight)
	}
}

// An ended rollout must not change, and must not be both done and reverted.
func TestEndedRolloutsAreFinal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var state State
		ended := map[identifier.RolloutID]Record{}
		notices := map[identifier.RolloutID][]Phase{}
		for i := range rapid.IntRange(1, 60).Draw(t, "events") {
			effects, err := state.Apply(drawEvent(t, testTime.Add(time.Duration(i)*time.Minute)))
			for _, e := range effects {
				if n, ok := e.(Notify); ok {
					notices[n.Notice.Rollout] = append(notices[n.Notice.Rollout], n.Notice.Phase)
				}
			}
			if err != nil && len(effects) != 1 {
				t.Fatalf("a refused event had the effects %v, want only an audit record", effects)
			}
			checkEnded(t, &state, ended)
		}
		for id, ps := range notices {
			if slices.Contains(ps, Done) && slices.Contains(ps, Reverted) {
				t.Fatalf("rollout %s: notices %v", id, ps)
			}
		}
	})
}

// A rollout must keep its first level until its first step is due, must not
// move all traffic earlier than scheduled, and must have moved all traffic by
// its deadline.
func TestControllerKeepsToSchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var state State
		c := NewController(&state)
		length := time.Duration(rapid.Int64Range(int64(10*time.Minute), int64(24*time.Hour)).Draw(t, "length"))
		first := FirstLevel(rapid.Float64Range(0, 30000).Draw(t, "rate"))
		mustApply(t, &state, StartRollout{
			ID: "m", Service: "s", From: "v1", To: "v2", At: testTime, Deadline: testTime.Add(length),
			Watch: 48 * time.Hour, FirstLevel: first, Hosts: 4,
		})
		for state.Records["m"].Phase == Staged {
			now := testTime.Add(time.Duration(rapid.Float64Range(0, 1).Draw(t, "when") * float64(length)))
			c.alarmStates.get("m").raised = rapid.Bool().Draw(t, "alarm")
			for _, e := range c.Decide(now) {
				mustApply(t, &state, e)
			}
			passed := float64(now.Sub(testTime)) / float64(length)
			if l := state.Records["m"].Level; passed < 0.85/float64(TopLevel) && l > first {
				t.Fatalf("level %d after %v of the time, want the first level %d", l, passed, first)
			}
			if passed < 0.85 && state.Records["m"].Phase != Staged {
				t.Fatalf("all traffic moved after %v of the time", passed)
			}
			if rapid.IntRange(0, 9).Draw(t, "stop") == 0 {
				break
			}
		}
		for _, e := range c.Decide(testTime.Add(length)) {
			mustApply(t, &state, e)
		}
		if p := state.Records["m"].Phase; p != Watched {
			t.Fatalf("the rollout is %s at its deadline", p)
		}
	})
}

func mustApply(t *rapid.T, state *State, e Event) {
	if _, err := state.Apply(e); err != nil {
		t.Fatalf("%T: %v", e, err)
	}
}

// checkEnded fails if an ended record has changed, and adds newly ended records
// to ended.
func checkEnded(t *rapid.T, state *State, ended map[identifier.RolloutID]Record) {
	running := map[identifier.Service]identifier.RolloutID{}
	for id, r := range state.Records {
		if was, ok := ended[id]; ok {
			if diff := cmp.Diff(was, *r); diff != "" {
				t.Fatalf("ended rollout %s changed:\n%s", id, diff)
			}
			continue
		}
		if r.Phase.Ended() {
			ended[id] = *r
			continue
		}
		if other, ok := running[r.Start.Service]; ok {
			t.Fatalf("rollouts %s and %s move the same service at the same time", id, other)
		}
		running[r.Start.Service] = id
	}
}

// drawEvent generates any event of one of a few rollouts.
func drawEvent(t *rapid.T, at time.Time) Event {
	id := identifier.RolloutID(fmt.Sprint("m", rapid.IntRange(0, 3).Draw(t, "id")))
	switch rapid.IntRange(0, 4).Draw(t, "event") {
	case 0:
		return StartRollout{
			ID: id, Service: identifier.Service(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")),
			From: "v1", To: "v2", At: at, Deadline: at.Add(time.Hour), Watch: time.Hour, FirstLevel: 3,
		}
	case 1:
		return StageReached{ID: id, Level: Level(rapid.IntRange(0, int(TopLevel)).Draw(t, "level")), At: at}
	case 2:
		return VerdictReached{ID: id, At: at}
	case 3:
		return RevertRollout{ID: id, Operator: "els", Reason: "no", At: at}
	default:
		return WatchEnded{ID: id, At: at}
	}
}
