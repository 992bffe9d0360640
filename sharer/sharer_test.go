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
	hostTimeout = 3 * time.Second
	interval    = 250 * time.Millisecond
	customer    = identifier.Customer("foodbank")
	// hosts and grownHosts are the numbers of entry hosts of small and grown
	// deployments, largeHosts that of a large one, which report less often.
	hosts, grownHosts, largeHosts = 8, 69, 294
	largeInterval                 = 588 * time.Millisecond
)

// fleet is a set of hosts that report to one divider every interval.
type fleet struct {
	clock    *timer.Manual
	interval time.Duration
	divider  *Divider
	names    []identifier.Host
	limiters []*Limiter
	admitted float64
	refused  int
}

// newFleet returns a fleet whose hosts have received their first grants.
func newFleet(hosts int, r Rate) *fleet {
	rates := map[identifier.Customer]Rate{customer: r}
	f := &fleet{clock: timer.NewManual(time.Unix(1000, 0)), interval: interval, divider: NewDivider(hostTimeout)}
	f.divider.Configure(rates)
	if hosts >= largeHosts {
		f.interval = largeInterval
	}
	for i := range hosts {
		l := NewLimiter(f.clock)
		l.Configure(rates)
		f.names, f.limiters = append(f.names, identifier.Host(fmt.Sprint("h", i))), append(f.limiters, l)
	}
	for range 8 {
		f.sync()
		f.clock.Advance(f.interval)
	}
	return f
}

// steps is the number of steps of an interval. In each step a different subset
// of the hosts reports.
const steps = 10

// sync makes every host report and apply its grants.
func (f *fleet) sync() {
	for step := range steps {
		f.syncSome(step)
	}
}

// syncSome makes the hosts report that belong to the step.
func (f *fleet) syncSome(step int) {
	now := f.clock.Now()
	for i, h := range f.names {
		if i%steps == step {
			f.divider.Report(now, h, f.limiters[i].TakeUse())
			f.limiters[i].SetGrants(f.divider.GrantsOf(now, h))
		}
	}
}

// sendCalls sends calls of the given cost, in total perSecond units per second,
// for some seconds to the hosts that pickHost returns.
func (f *fleet) sendCalls(seconds int, perSecond, cost float64, pickHost func() int) {
	due := 0.0
	for range int(time.Duration(seconds) * time.Second / f.interval) {
		for step := range steps {
			for due += perSecond * f.interval.Seconds() / steps; due >= cost; due -= cost {
				if f.limiters[pickHost()].Take(customer, cost) == nil {
					f.admitted += cost
				} else {
					f.refused++
				}
			}
			f.clock.Advance(f.interval / steps)
			f.syncSome(step)
		}
	}
}

// TestNoRefusalsWithinRate checks that no large call is refused to a customer
// that uses 55% of its rate at randomly picked hosts.
func TestNoRefusalsWithinRate(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	f := newFleet(hosts, Rate{PerSecond: 200000, Burst: 200000})
	f.sendCalls(20, 110000, 12000, func() int { return rng.IntN(hosts) })
	if f.refused > 0 {
		t.Errorf("%d calls are refused at 55%% of the rate", f.refused)
	}
}

// TestNoRefusalsOnManyHosts replays the calls of a customer at half of its rate
// on hundreds of hosts that each see a call of it now and then, and some of them
// several in a row, since callers keep their connections. An equal part of the
// bucket is less than the cost of one call then.
func TestNoRefusalsOnManyHosts(t *testing.T) {
	for _, rate := range []float64{130000, 400000, 1200000} {
		rng := rand.New(rand.NewPCG(1, 2))
		f := newFleet(largeHosts, Rate{PerSecond: rate, Burst: rate})
		host := 0
		f.sendCalls(20, 0.5*rate, 4000, func() int {
			if rng.IntN(3) == 0 {
				host = rng.IntN(largeHosts)
			}
			return host
		})
		if f.refused > 0 {
			t.Errorf("%d calls are refused at half of a rate of %v", f.refused, rate)
		}
	}
}

// TestSingleHostGetsFullRate checks that a customer whose calls all reach one
// host gets its full rate there, not an eighth of it.
func TestSingleHostGetsFullRate(t *testing.T) {
	const seconds, rate = 8, 200000.0
	f := newFleet(hosts, Rate{PerSecond: rate, Burst: rate})
	f.sendCalls(seconds, 2*rate, 12000, func() int { return 0 })
	if f.admitted < 0.9*rate*seconds {
		t.Errorf("%v units were admitted in %d s at a rate of %v per second", f.admitted, seconds, rate)
	}
}

// TestSurgeStaysWithinTolerance checks a customer that suddenly sends seven
// times its usual load to all hosts: over eight seconds the hosts admit at most
// the rate and the burst plus a tenth and a fixed slack.
func TestSurgeStaysWithinTolerance(t *testing.T) {
	tolerance := describer.Tolerance{Overrun: 0.1, Slack: 140000, Window: 8 * time.Second}
	for _, n := range []int{hosts, grownHosts, largeHosts} {
		for _, rate := range []float64{30000, 200000, 400000} {
			for seed := range uint64(20) {
				surge(t, n, rate, seed, tolerance)
			}
		}
	}
}

// surge simulates a surge at n hosts.
func surge(t *testing.T, n int, rate float64, seed uint64, tolerance describer.Tolerance) {
	rng := rand.New(rand.NewPCG(seed, 7))
	f := newFleet(n, Rate{PerSecond: rate, Burst: rate}.WithTolerance(tolerance))
	f.sendCalls(4, 0.55*rate, 3000, func() int { return rng.IntN(n) })
	f.admitted = 0
	f.sendCalls(8, 7*0.55*rate, 3000, func() int { return rng.IntN(n) })
	if limit := (rate*8+rate)*(1+tolerance.Overrun) + tolerance.Slack; f.admitted > limit {
		t.Errorf("%d hosts, rate %v, seed %d: %v units were admitted, want at most %v", n, rate, seed, f.admitted, limit)
	}
	if f.admitted < rate*8 {
		t.Errorf("%d hosts, rate %v, seed %d: %v units were admitted, want at least %v", n, rate, seed, f.admitted, rate*8)
	}
}

func TestRefusalReportsWhenToRetry(t *testing.T) {
	f := newFleet(1, Rate{PerSecond: 100, Burst: 100})
	for range 100 {
		_ = f.limiters[0].Take(customer, 10)
	}
	first := f.limiters[0].Take(customer, 10)
	if first == nil {
		t.Fatal("a call was admitted with an empty allowance")
	}
	f.clock.Advance(first.Wait + time.Millisecond)
	if again := f.limiters[0].Take(customer, 10); again != nil {
		t.Errorf("after a wait of %v the call is refused for another %v", first.Wait, again.Wait)
	}
}
