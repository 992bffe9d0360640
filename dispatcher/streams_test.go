package dispatcher_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"cyclamenhub.org/dispatcher"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/faker"
)

// versionPicks counts the versions that were picked and the results that were
// reported.
type versionPicks struct {
	mu            sync.Mutex
	picked, ended int
	outcomes      []dispatcher.Outcome
}

type countedPick struct{ picks *versionPicks }

func (countedPick) Version() identifier.Version { return "v1" }

func (c countedPick) Ended(r dispatcher.VersionResult) {
	c.picks.mu.Lock()
	defer c.picks.mu.Unlock()
	c.picks.ended++
	c.picks.outcomes = append(c.picks.outcomes, r.Outcome)
}

func (v *versionPicks) pick(*dispatcher.Request, dispatcher.Load, bool) dispatcher.VersionPick {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.picked++
	return countedPick{v}
}

// TestStreamsEndOnce runs streams under generated faults, server failures and
// moves. It checks that each stream has one end, which is the complete text
// with its marker or a refusal, and that the result of each picked version is
// reported once.
func TestStreamsEndOnce(t *testing.T) {
	kinds := []faker.FaultKind{
		faker.DieMidStream, faker.Truncate, faker.Stall, faker.Crossed, faker.CrossedMidStream, faker.Late, faker.Errors,
	}
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom(kinds), 0, 8).Draw(rt, "faults")
		after := rapid.IntRange(0, 30).Draw(rt, "afterTokens")
		down := rapid.SampledFrom([]string{"", "e0", "both"}).Draw(rt, "down")
		moves := rapid.IntRange(0, 3).Draw(rt, "moves")
		due := time.Duration(rapid.IntRange(20, 20_000).Draw(rt, "dueMs")) * time.Millisecond
		streams := rapid.IntRange(1, 4).Draw(rt, "streams")
		synctest.Test(t, func(t *testing.T) {
			p := newFixture(t)
			defer p.close()
			picks := new(versionPicks)
			p.d = dispatcher.New(dispatcher.Options{Tables: &p.tables, Pool: p.pool, Metrics: p.metrics, FailureDomain: "a", PickVersion: picks.pick})
			for i, k := range faults {
				p.engines[i%2].Inject(faker.Fault{Kind: k, AfterTokens: after, Count: 1, Delay: 30 * time.Second, Share: 1})
			}
			var wg sync.WaitGroup
			for range streams {
				r := p.stream("scene", 30)
				r.Deadline = time.Now().Add(due)
				wg.Go(func() { p.checkStream(rt, r) })
			}
			time.Sleep(100 * time.Millisecond)
			p.moveAndStop(down, moves)
			wg.Wait()
			if picks.picked != picks.ended || p.d.Running() != 0 {
				rt.Fatalf("%d versions picked, %d results reported, %d requests still running", picks.picked, picks.ended, p.d.Running())
			}
		})
	})
}

// moveAndStop moves all running requests several times and then stops engines.
func (p *fixture) moveAndStop(down string, moves int) {
	for range moves {
		for _, a := range p.d.Active() {
			p.d.Move(a.ID)
		}
		time.Sleep(50 * time.Millisecond)
	}
	for _, name := range []string{"e0", "e1"} {
		if down == name || down == "both" {
			p.stops[name]()
		}
	}
}

// checkStream runs one stream and checks its end.
func (p *fixture) checkStream(rt *rapid.T, r *dispatcher.Request) {
	a, refusal := p.do(r)
	text, done := a.text(p.t)
	want := faker.Text("scene", 30)
	switch {
	case refusal == nil && a.head.Status != 200 && !done:
		// The answer of a failing server is passed on unchanged.
	case refusal == nil && (!done || text != want):
		rt.Errorf("ended with marker %v and text %q", done, text)
	case refusal != nil && done:
		rt.Errorf("refused after the marker: %v", refusal)
	case refusal != nil && len(text) > 0 && want[:len(text)] != text:
		rt.Errorf("delivered %q before %v", text, refusal)
	}
	if refusal != nil && refusal.IsNotRun() && len(text) > 0 {
		rt.Errorf("refused as not run after %q", text)
	}
}

// TestCallerDisconnects checks that a request ends when its caller disconnects,
// or after the reconnect grace if the caller may reconnect.
func TestCallerDisconnects(t *testing.T) {
	for _, reconnectable := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			p := newFixture(t)
			defer p.close()
			r := p.stream("scene", 2000)
			r.Reconnectable = reconnectable
			ctx, disconnect := context.WithCancel(context.Background())
			go func() { _ = p.d.Do(ctx, r, new(answer)) }()
			time.Sleep(time.Second)
			disconnect()
			synctest.Wait()
			if running := p.d.Running() == 1; running != reconnectable {
				t.Errorf("running %v, want %v", running, reconnectable)
			}
			time.Sleep(15 * time.Second)
			if p.d.Running() != 0 || p.engines[0].Stats().Running+p.engines[1].Stats().Running != 0 {
				t.Error("the request continues without a caller")
			}
		})
	}
}
