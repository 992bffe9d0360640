package sharer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/timer"
)

const (
	silence  = 3 * time.Second
	interval = 250 * time.Millisecond
	customer = identifier.Customer("foodbank")
	// hosts is the number of entry hosts of the first deployments, and grownHosts
	// that after two years' growth.
	hosts, grownHosts = 8, 69
)

// fleet is some hosts that report to one divider every interval.
type fleet struct {
	clock    *timer.Manual
	divider  *Divider
	names    []identifier.Host
	limiters []*Limiter
	admitted float64
	refused  int
}

// newFleet returns hosts that have their first grants.
func newFleet(hosts int, r Rate) *fleet {
	rates := map[identifier.Customer]Rate{customer: r}
	f := &fleet{clock: timer.NewManual(time.Unix(1000, 0)), divider: NewDivider(silence)}
	f.divider.Configure(rates)
	for i := range hosts {
		l := NewLimiter(f.clock)
		l.Configure(rates)
		f.names, f.limiters = append(f.names, identifier.Host(fmt.Sprint("h", i))), append(f.limiters, l)
	}
	for range 8 {
		f.sync()
		f.clock.Advance(interval)
	}
	return f
}

// steps is how many times within an interval some of the hosts sync.
const steps = 10

// sync lets every host report and take its grants.
func (f *fleet) sync() {
	for step := range steps {
		f.syncSome(step)
	}
}

// syncSome lets those hosts report whose turn a step is.
func (f *fleet) syncSome(step int) {
	now := f.clock.Now()
	for i, h := range f.names {
		if i%steps == step {
			f.divider.Report(now, h, f.limiters[i].TakeUse())
			f.limiters[i].SetGrants(f.divider.GrantsOf(now, h))
		}
	}
}

// play lets calls of a cost arrive at perSecond units a second for some
// seconds, at the hosts that at names.
func (f *fleet) play(seconds int, perSecond, cost float64, at func() int) {
	due := 0.0
	for range seconds * int(time.Second/interval) {
		for step := range steps {
			for due += perSecond * interval.Seconds() / steps; due >= cost; due -= cost {
				if f.limiters[at()].Take(customer, cost) == nil {
					f.admitted += cost
				} else {
					f.refused++
				}
			}
			f.clock.Advance(interval / steps)
			f.syncSome(step)
		}
	}
}

// TestWithinTheRateNothingIsRefused replays a customer that sends large calls at
// a bit more than half its rate, at hosts drawn at random.
func TestWithinTheRateNothingIsRefused(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	f := newFleet(hosts, Rate{PerSecond: 200000, Burst: 200000})
	f.play(20, 110000, 12000, func() int { return rng.IntN(hosts) })
	if f.refused > 0 {
		t.Errorf("%d calls are refused at 55%% of the rate", f.refused)
	}
}

// TestOneHostGetsTheWholeRate replays a customer whose calls all reach one of
// the hosts: it is held to its rate, not to an eighth of it.
func TestOneHostGetsTheWholeRate(t *testing.T) {
	const seconds, rate = 8, 200000.0
	f := newFleet(hosts, Rate{PerSecond: rate, Burst: rate})
	f.play(seconds, 2*rate, 12000, func() int { return 0 })
	if f.admitted < 0.9*rate*seconds {
		t.Errorf("%v were admitted in %d s of a rate of %v", f.admitted, seconds, rate)
	}
}

// TestSurgeStaysWithinTheOverrun replays a customer that suddenly sends seven
// times its usual at all hosts: over eight seconds the fleet stays within a
// tenth, and a fixed slack, above the rate and the burst.
func TestSurgeStaysWithinTheOverrun(t *testing.T) {
	tolerance := describer.Tolerance{Overrun: 0.1, Slack: 140000, Window: 8 * time.Second}
	for _, n := range []int{hosts, grownHosts} {
		for _, rate := range []float64{30000, 200000, 400000} {
			for seed := range uint64(20) {
				surge(t, n, rate, seed, tolerance)
			}
		}
	}
}

// surge plays a surge at n hosts.
func surge(t *testing.T, n int, rate float64, seed uint64, tolerance describer.Tolerance) {
	rng := rand.New(rand.NewPCG(seed, 7))
	f := newFleet(n, Rate{PerSecond: rate, Burst: rate}.With(tolerance))
	f.play(4, 0.55*rate, 3000, func() int { return rng.IntN(n) })
	f.admitted = 0
	f.play(8, 7*0.55*rate, 3000, func() int { return rng.IntN(n) })
	if most := (rate*8+rate)*(1+tolerance.Overrun) + tolerance.Slack; f.admitted > most {
		t.Errorf("%d hosts, rate %v, seed %d: %v were admitted, at most %v are allowed", n, rate, seed, f.admitted, most)
	}
	if f.admitted < rate*8 {
		t.Errorf("%d hosts, rate %v, seed %d: only %v of %v were admitted", n, rate, seed, f.admitted, rate*8)
	}
}

func TestRefusalTellsWhenToComeBack(t *testing.T) {
	f := newFleet(1, Rate{PerSecond: 100, Burst: 100})
	for range 100 {
		_ = f.limiters[0].Take(customer, 10)
	}
	first := f.limiters[0].Take(customer, 10)
	if first == nil {
		t.Fatal("an empty allowance admits")
	}
	f.clock.Advance(first.Wait + time.Millisecond)
	if again := f.limiters[0].Take(customer, 10); again != nil {
		t.Errorf("after the wait of %v it is refused for another %v", first.Wait, again.Wait)
	}
}
