package loadbench

import (
	"fmt"
	"io"
	"time"
)

// concurrencyPerHost returns the maximum concurrency of each host: 5/4 of the
// fleet's slots divided by the number of hosts. The extra quarter allows for
// uneven arrivals at the hosts.
func concurrencyPerHost(f *Fleet) int { return (f.Servers*f.Engine.Slots*5/4 + f.Hosts - 1) / f.Hosts }

// overloadScenario returns a scenario with admission, time-outs of attempts,
// engines that refuse requests when their queue is full, and a deadline of half
// a minute.
func overloadScenario(seed uint64, rate float64) Scenario {
	s := referenceScenario(seed, Prefix{}, Briefs(), rate)
	s.Deadline, s.Duration = 30*time.Second, 3*time.Minute
	s.FirstTokenTarget = 5 * time.Second
	s.Fleet.Engine.QueueLimit = 2 * s.Fleet.Engine.Slots
	s.Admission = &Admission{Concurrency: concurrencyPerHost(&s.Fleet), QueueLimit: 200}
	s.Retries = Retries{Timeout: 4 * time.Second, Budget: true}
	return s
}

// protection is a set of protections against overload, one row per rate in the
// overload table.
type protection struct {
	name      string
	admission *Admission
	budget    bool
}

// protections returns the rows for each rate.
func protections(f *Fleet) []protection {
	limited := &Admission{Concurrency: concurrencyPerHost(f), QueueLimit: 200}
	unqueued := &Admission{Concurrency: concurrencyPerHost(f), QueueLimit: 1}
	unlimited := &Admission{Concurrency: 1 << 20, QueueLimit: 1, FixedLimit: true}
	return []protection{
		{"all", limited, true},
		{"no budget", limited, false},
		{"no queue", unqueued, true},
		{"budget only", unlimited, true},
		{"none", nil, false},
	}
}

// overloadTable prints the effect of each protection at rates up to and above
// the capacity of the fleet.
func overloadTable(w io.Writer, seed uint64) {
	fmt.Fprintln(w, "rate\tprotection\tgoodput/s\tin time\tsmall in time\tlarge in time\trefused\tretries/attempt\tp95\t")
	for _, rate := range []float64{8, 16, 20, 24, 32, 40, 48} {
		s := overloadScenario(seed, rate)
		for _, v := range protections(&s.Fleet) {
			s.Admission, s.Retries.Budget = v.admission, v.budget
			r := Run(s)
			refused := 0
			for _, n := range r.Refused {
				refused += n
			}
			fmt.Fprintf(w, "%g\t%s\t%.2f\t%.1f%%\t%.1f%%\t%.1f%%\t%.1f%%\t%.2f\t%s\t\n",
				rate, v.name, r.Goodput(), 100*r.InTimeShare(), 100*r.inTimeShareOf("small"), 100*r.inTimeShareOf("large"),
				100*float64(refused)/float64(r.Offered), float64(r.Retries)/float64(max(r.Attempts, 1)), ms(r.Quantile(95)))
		}
	}
}

// inTimeShareOf returns the share of requests answered in time over the
// customers whose names start with prefix.
func (r *Result) inTimeShareOf(prefix string) float64 {
	var sum Counts
	for name, n := range r.Customers {
		if len(name) >= len(prefix) && string(name[:len(prefix)]) == prefix {
			sum.Offered += n.Offered
			sum.InTime += n.InTime
		}
	}
	return sum.InTimeShare()
}

// signalsTable prints the effect of load reports that are late, stop, or
// wrongly report no load, and of cache events that are late, lost or absent.
func signalsTable(w io.Writer, seed uint64) {
	fmt.Fprintln(w, "signals\tpolicy\trecomputed\tp50\tp95\tin time\tmost/mean at once\t")
	second := time.Second
	for _, v := range []struct {
		name    string
		reports Reports
		events  CacheEvents
	}{
		{"usual", typicalReports(), typicalCacheEvents()},
		{"reports 5 s late", Reports{Interval: second, Lag: 5 * second}, typicalCacheEvents()},
		{"reports stop", Reports{Interval: second, Lag: second / 2, StopAfter: 30 * second}, typicalCacheEvents()},
		{"3 of 10 report no load", Reports{Interval: second, Lag: second / 2, ZeroLoadServers: 3}, typicalCacheEvents()},
		{"no reports", Reports{}, typicalCacheEvents()},
		{"events 30 s late", typicalReports(), CacheEvents{Interval: second, Lag: 30 * second, Loss: 0.2}},
		{"4 of 5 events lost", typicalReports(), CacheEvents{Interval: second, Lag: 2 * second, Loss: 0.8}},
		{"no events", typicalReports(), CacheEvents{}},
		{"neither", Reports{}, CacheEvents{}},
	} {
		for _, p := range []Policy{Prefix{}, LeastLoaded{}} {
			s := referenceScenario(seed, p, Drafts(), 10)
			s.Reports, s.CacheEvents = v.reports, v.events
			r := Run(s)
			fmt.Fprintf(w, "%s\t%s\t%.1f%%\t%s\t%s\t%.1f%%\t%.2f\t\n", v.name, PolicyName(p), 100*r.Recomputed,
				ms(r.Quantile(50)), ms(r.Quantile(95)), 100*r.InTimeShare(), r.PeakImbalance)
		}
	}
}

// costTable prints, for each policy, the highest rate at which 95 % of the
// requests are answered in time, and the price of 1000 answers at that rate.
func costTable(w io.Writer, seed uint64) {
	fmt.Fprintln(w, "workload\tpolicy\trate at target\trecomputed\tp50\tp95\tprice-hours/1000\t")
	for _, load := range []struct {
		name string
		w    Workload
	}{{"briefs", Briefs()}, {"drafts", Drafts()}} {
		for _, p := range allPolicies() {
			var best *Result
			var bestRate float64
			for rate := 1.0; rate <= maxCostRate; rate++ {
				if r := Run(referenceScenario(seed, p, load.w, rate)); r.InTimeShare() >= inTimeGoal {
					best, bestRate = r, rate
				}
			}
			if best == nil {
				fmt.Fprintf(w, "%s\t%s\tbelow 1\t\t\t\t\t\n", load.name, PolicyName(p))
				continue
			}
			fmt.Fprintf(w, "%s\t%s\t%g\t%.1f%%\t%s\t%s\t%.4f\t\n", load.name, PolicyName(p), bestRate, 100*best.Recomputed,
				ms(best.Quantile(50)), ms(best.Quantile(95)), best.PricePerThousand())
		}
	}
}

// Constants of the cost table.
const (
	// inTimeGoal is the share of the requests that must be answered in time.
	inTimeGoal = 0.95
	// maxCostRate is the highest rate tried, in requests per second.
	maxCostRate = 22
)

// priceTable sets the price of the servers in two of four failure domains to
// less than a third of the others' (0.3) and prints the price of the busy time,
// which shows how much of the load moves to them.
func priceTable(w io.Writer, seed uint64) {
	fmt.Fprintln(w, "rate\tprices\tp95\tin time\tbusy price-hours/1000\trecomputed\t")
	for _, rate := range []float64{2, 4, 8, 12} {
		for _, prices := range [][]float64{{0.3, 0.3, 1, 1}, {1, 1, 1, 1}} {
			s := referenceScenario(seed, Prefix{}, Briefs(), rate)
			s.Fleet.Prices = prices
			r := Run(s)
			fmt.Fprintf(w, "%g\t%v\t%s\t%.1f%%\t%.4f\t%.1f%%\t\n", rate, prices, ms(r.Quantile(95)),
				100*r.InTimeShare(), r.BusyPricePerThousand(), 100*r.Recomputed)
		}
	}
}
