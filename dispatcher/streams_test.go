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

// draws counts the versions drawn and the endings told.
type draws struct {
	mu           sync.Mutex
	drawn, ended int
	outcomes     []dispatcher.Outcome
}

type countedDraw struct{ d *draws }

func (countedDraw) Version() identifier.Version { return "v1" }

func (c countedDraw) Ended(e dispatcher.Ending) {
	c.d.mu.Lock()
	defer c.d.mu.Unlock()
	c.d.ended++
	c.d.outcomes = append(c.d.outcomes, e.Outcome)
}

func (d *draws) draw(*dispatcher.Request, dispatcher.Load, bool) dispatcher.Draw {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drawn++
	return countedDraw{d}
}

// TestStreamsEndOnce drives streams through drawn faults, deaths and moves and
// checks that each has one end: the whole text with its marker, or a refusal,
// and that every drawn version is told of once.
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
			p := newPath(t)
			defer p.close()
			ds := new(draws)
			p.d = dispatcher.New(dispatcher.Options{Tables: &p.tables, Pool: p.pool, Metrics: p.metrics, FailureDomain: "a", Draw: ds.draw})
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
			p.disturb(down, moves)
			wg.Wait()
			if ds.drawn != ds.ended || p.d.Running() != 0 {
				rt.Fatalf("%d versions drawn, %d endings told, %d requests left", ds.drawn, ds.ended, p.d.Running())
			}
		})
	})
}

// disturb stops engines and moves whatever is at work.
func (p *path) disturb(down string, moves int) {
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
func (p *path) checkStream(rt *rapid.T, r *dispatcher.Request) {
	a, refusal := p.do(r)
	text, done := a.text(p.t)
	whole := faker.Text("scene", 30)
	switch {
	case refusal == nil && a.head.Status != 200 && !done:
		// The answer of a failing server, as it is.
	case refusal == nil && (!done || text != whole):
		rt.Errorf("ended with marker %v and text %q", done, text)
	case refusal != nil && done:
		rt.Errorf("refused after the marker: %v", refusal)
	case refusal != nil && len(text) > 0 && whole[:len(text)] != text:
		rt.Errorf("delivered %q before %v", text, refusal)
	}
	if refusal != nil && refusal.IsNotRun() && len(text) > 0 {
		rt.Errorf("refused as not run after %q", text)
	}
}

// TestCallerLeaves checks that a request ends with its caller, unless the
// caller may come back, and then after its grace.
func TestCallerLeaves(t *testing.T) {
	for _, comesBack := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			p := newPath(t)
			defer p.close()
			r := p.stream("scene", 2000)
			r.Reconnectable = comesBack
			ctx, leave := context.WithCancel(context.Background())
			go func() { _ = p.d.Do(ctx, r, new(answer)) }()
			time.Sleep(time.Second)
			leave()
			synctest.Wait()
			if running := p.d.Running() == 1; running != comesBack {
				t.Errorf("running %v, want %v", running, comesBack)
			}
			time.Sleep(15 * time.Second)
			if p.d.Running() != 0 || p.engines[0].Stats().Running+p.engines[1].Stats().Running != 0 {
				t.Error("the request goes on without a caller")
			}
		})
	}
}
