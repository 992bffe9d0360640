package drainer

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cyclamenhub.org/dispatcher"
	"cyclamenhub.org/identifier"
)

// fleet models the active requests that a plan moves.
type fleet struct {
	active map[identifier.RequestID]dispatcher.Active
	// refused counts the RefuseNew effects.
	refused int
}

func (f *fleet) list() []dispatcher.Active {
	list := make([]dispatcher.Active, 0, len(f.active))
	for _, a := range f.active {
		list = append(list, a)
	}
	return list
}

// drawFleet generates requests on two servers.
func drawFleet(t *rapid.T) *fleet {
	f := &fleet{active: make(map[identifier.RequestID]dispatcher.Active)}
	for i := range rapid.IntRange(0, 60).Draw(t, "requests") {
		id := identifier.RequestID(fmt.Sprint(i))
		f.active[id] = dispatcher.Active{
			ID: id, Server: rapid.SampledFrom([]identifier.BackendServer{"w1", "w2"}).Draw(t, "server"),
			NonIdempotent: rapid.Bool().Draw(t, "nonIdempotent"), Events: rapid.IntRange(0, 100).Draw(t, "events"),
		}
	}
	return f
}

// TestPlanMovesStreamsInTime checks that all movable requests leave a leaving
// server before its notice ends, those with the most events first within each
// tick, and that no other request moves.
func TestPlanMovesStreamsInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		start := time.Unix(1, 0)
		remaining := time.Duration(rapid.IntRange(200, 30_000).Draw(t, "noticeMs")) * time.Millisecond
		var p Plan
		p.Reduce(ServerLeaves{Server: "w1", At: start, Deadline: start.Add(remaining)})
		for now := start; now.Before(start.Add(remaining)); now = now.Add(tickInterval) {
			last := -1
			for _, x := range p.Reduce(Tick{Now: now, Active: f.list()}) {
				a := f.active[x.(Move).Request]
				if a.Server != "w1" || a.NonIdempotent {
					t.Fatalf("moved %+v", a)
				}
				if last >= 0 && a.Events > last {
					t.Fatalf("moved %d events after %d", a.Events, last)
				}
				last = a.Events
				delete(f.active, a.ID)
			}
		}
		for _, a := range f.active {
			if a.Server == "w1" && !a.NonIdempotent {
				t.Fatalf("%+v has not moved", a)
			}
		}
	})
}

// TestPlanHandsOverEveryMovableRequest checks that a leaving host hands over
// each request that may move, at most maxHandovers at a time, and reports each
// of the others once.
func TestPlanHandsOverEveryMovableRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		start := time.Unix(1, 0)
		remaining := time.Duration(rapid.IntRange(1000, 30_000).Draw(t, "noticeMs")) * time.Millisecond
		var p Plan
		p.Reduce(HostLeaves{At: start, Deadline: start.Add(remaining)})
		reported := make(map[identifier.RequestID]int)
		for now := start; now.Before(start.Add(remaining)); now = now.Add(tickInterval) {
			effects := p.Reduce(Tick{Now: now, Active: f.list()})
			if len(p.handingOver) > maxHandovers {
				t.Fatalf("%d handovers at once", len(p.handingOver))
			}
			for _, x := range effects {
				f.perform(t, &p, x, reported)
			}
		}
		if f.refused != 1 {
			t.Fatalf("%d RefuseNew effects, want 1", f.refused)
		}
		for _, a := range f.active {
			if a.NonIdempotent && reported[a.ID] != 1 || !a.NonIdempotent && !a.HandedOver {
				t.Fatalf("%+v was reported %d times", a, reported[a.ID])
			}
		}
	})
}

// perform performs an effect on the model.
func (f *fleet) perform(t *rapid.T, p *Plan, x Effect, reported map[identifier.RequestID]int) {
	switch x := x.(type) {
	case HandOver:
		a := f.active[x.Request]
		if a.NonIdempotent || a.HandedOver {
			t.Fatalf("handed over %+v", a)
		}
		a.HandedOver = !rapid.Bool().Draw(t, "failed") || rapid.Bool().Draw(t, "failedAgain")
		f.active[a.ID] = a
		for _, x := range p.Reduce(HandoverEnded{Request: a.ID, Failed: !a.HandedOver}) {
			f.perform(t, p, x, reported)
		}
	case RefuseNew:
		f.refused++
	case ReportUnknown:
		reported[x.Request]++
	default:
		t.Fatalf("effect %T", x)
	}
}

func TestPlanNotices(t *testing.T) {
	var p Plan
	start := time.Unix(1, 0)
	got := [][]Effect{
		p.Reduce(ServerLeaves{Server: "w1", At: start, Deadline: start.Add(time.Minute)}),
		p.Reduce(ServerLeaves{Server: "w1", At: start, Deadline: start.Add(2 * time.Minute)}),
		p.Reduce(ServerLeaves{Server: "w2", At: start, Deadline: start.Add(time.Minute), Forwarded: true}),
		p.Reduce(HostStops{}),
		p.Reduce(HostLeaves{At: start, Deadline: start.Add(time.Minute)}),
		p.Reduce(ServerStays{Server: "w1"}),
	}
	want := [][]Effect{
		{SetServerLeaving{Server: "w1", Leaving: true}, NotifyHosts{Server: "w1", Remaining: time.Minute}},
		nil,
		{SetServerLeaving{Server: "w2", Leaving: true}},
		{MarkUnready{}},
		{NotifyHosts{Remaining: time.Minute}},
		{SetServerLeaving{Server: "w1"}},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("effects differ (-want +got):\n%s", diff)
	}
}
