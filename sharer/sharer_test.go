package sharer

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/timer"
)

// fleet is some hosts that report to one divider every interval.
type fleet struct {
	clock    *timer.Manual
	divider  *Divider
	hosts    []identifier.Host
	limiters []*Limiter
}

const (
	lease    = 3 * time.Second
	interval = 250 * time.Millisecond
	customer = identifier.Customer("foodbank")
)

// newFleet returns n hosts that have their first shares.
func newFleet(n int, r Rate) *fleet {
	f := &fleet{clock: timer.NewManual(time.Unix(1000, 0)), divider: NewDivider(lease)}
	for i := range n {
		l := NewLimiter(f.clock)
		l.Configure(map[identifier.Customer]Rate{customer: r})
		f.hosts, f.limiters = append(f.hosts, identifier.Host(fmt.Sprint("h", i))), append(f.limiters, l)
	}
	f.report()
	f.report()
	return f
}

// report lets every host report and take its shares.
func (f *fleet) report() {
	now := f.clock.Now()
	for i, h := range f.hosts {
		f.divider.Report(now, h, f.limiters[i].TakeDemand())
	}
	for i, h := range f.hosts {
		f.limiters[i].SetShares(f.divider.SharesOf(now, h))
	}
}

// TestOneHostGetsTheWholeRate replays a customer whose calls all reach one of
// eight hosts: once the demand is known it is held to its rate, not to an
// eighth of it.
func TestOneHostGetsTheWholeRate(t *testing.T) {
	f := newFleet(8, Rate{PerSecond: 1000, Burst: 1000})
	const seconds = 8
	var admitted float64
	for range seconds * 4 {
		for range 25 {
			if f.limiters[0].Take(customer, 10) == 0 {
				admitted += 10
			}
			f.clock.Advance(interval / 25)
		}
		f.report()
	}
	if admitted < 0.9*1000*seconds || admitted > 1000*seconds+1000 {
		t.Errorf("%v of a rate of 1000/s were admitted in %d s", admitted, seconds)
	}
}

// TestSharesNeverAddToMoreThanOne is the bound that keeps the fleet within a
// customer's rate whatever the hosts report.
func TestSharesNeverAddToMoreThanOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		d := NewDivider(lease)
		n := rapid.IntRange(1, 12).Draw(t, "hosts")
		for range rapid.IntRange(1, 30).Draw(t, "reports") {
			h := identifier.Host(fmt.Sprint("h", rapid.IntRange(0, n-1).Draw(t, "host")))
			d.Report(now, h, Demand{customer: rapid.Float64Range(0, 1e6).Draw(t, "asked")})
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
		}
		d.forget(now)
		var sum, others identifier.Share
		for i := range n {
			h := identifier.Host(fmt.Sprint("h", i))
			if _, ok := d.hosts[h]; !ok {
				continue
			}
			s := d.SharesOf(now, h)
			sum += s.of(customer)
			others += s.Others
		}
		if sum > 1.000001 || others > 1.000001 {
			t.Errorf("shares add to %v and %v", sum, others)
		}
	})
}

func TestRefusalTellsWhenToComeBack(t *testing.T) {
	f := newFleet(1, Rate{PerSecond: 100, Burst: 100})
	if wait := f.limiters[0].Take(customer, 100); wait != 0 {
		t.Fatalf("a full bucket refuses for %v", wait)
	}
	wait := f.limiters[0].Take(customer, 50)
	if wait <= 0 {
		t.Fatal("an empty bucket admits")
	}
	f.clock.Advance(wait + time.Millisecond)
	if again := f.limiters[0].Take(customer, 50); again != 0 {
		t.Errorf("after the wait of %v it is refused for another %v", wait, again)
	}
}
