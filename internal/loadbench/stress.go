package loadbench

import (
	"fmt"
	"io"
	"time"
)

// perHost is the concurrency ceiling of each host: the fleet's slots and a
// quarter more, since arrivals at hosts are uneven, over the hosts.
func perHost(f *Fleet) int { return (f.Servers*f.Engine.Slots*5/4 + f.Hosts - 1) / f.Hosts }

// underStress is a run with admission, attempts that time out, engines that
// refuse when many wait, and callers with half a minute.
func underStress(seed uint64, rate float64) Scenario {
	s := today(seed, Prefix{}, Briefs(), rate)
	s.Deadline, s.Duration = 30*time.Second, 3*time.Minute
	s.FirstTokenTarget = 5 * time.Second
	s.Fleet.Engine.QueueLimit = 2 * s.Fleet.Engine.Slots
	s.Admission = &Admission{Concurrency: perHost(&s.Fleet), Queued: 200}
	s.Retries = Retries{Timeout: 4 * time.Second, Budget: true}
	return s
}

// protection is what stands between callers and engines in a row of the
// overload table.
type protection struct {
	name      string
	admission *Admission
	budget    bool
}

// protections are the rows for each rate.
func protections(f *Fleet) []protection {
	limited := &Admission{Concurrency: perHost(f), Queued: 200}
	unqueued := &Admission{Concurrency: perHost(f), Queued: 1}
	unlimited := &Admission{Concurrency: 1 << 20, Queued: 1, Fixed: true}
	return []protection{
		{"all", limited, true},
		{"no budget", limited, false},
		{"no queue", unqueued, true},
		{"budget only", unlimited, true},
		{"none", nil, false},
	}
}

// overloadTable raises the load past what the fleet can do.
func overloadTable(w io.Writer, seed uint64) {
	fmt.Fprintln(w, "rate\tprotection\tgoodput/s\tin time\tsmall in time\tlarge in time\trefused\tretries/attempt\tp95\t")
	for _, rate := range []float64{8, 16, 20, 24, 32, 40, 48} {
		s := underStress(seed, rate)
		for _, v := range protections(&s.Fleet) {
			s.Admission, s.Retries.Budget = v.admission, v.budget
			r := Run(s)
			refused := 0
			for _, n := range r.Refused {
				refused += n
			}
			fmt.Fprintf(w, "%g\t%s\t%.2f\t%.1f%%\t%.1f%%\t%.1f%%\t%.1f%%\t%.2f\t%s\t\n",
				rate, v.name, r.Goodput(), 100*r.InTimeShare(), 100*r.partOf("small"), 100*r.partOf("large"),
				100*float64(refused)/float64(r.Offered), float64(r.Retries)/float64(max(r.Attempts, 1)), ms(r.Quantile(95)))
		}
	}
}

// partOf is the part of the requests of customers with a prefix that were
// answered in time.
func (r *Result) partOf(prefix string) float64 {
	var sum Counts
	for name, n := range r.Customers {
		if len(name) >= len(prefix) && string(name[:len(prefix)]) == prefix {
			sum.Offered += n.Offered
			sum.InTime += n.InTime
		}
	}
	return sum.InTimeShare()
}

// signalsTable makes load reports lag, stop and lie, and cache events late,
// lossy and absent.
func signalsTable(w io.Writer, seed uint64) {
	fmt.Fprintln(w, "signals\tpolicy\trecomputed\tp50\tp95\tin time\tmost/mean at once\t")
	second := time.Second
	for _, v := range []struct {
		name    string
		reports Reports
		events  CacheEvents
	}{
		{"usual", usualReports(), usualCacheEvents()},
		{"reports 5 s late", Reports{Every: second, Lag: 5 * second}, usualCacheEvents()},
		{"reports stop", Reports{Every: second, Lag: second / 2, StopAfter: 30 * second}, usualCacheEvents()},
		{"3 of 10 report no load", Reports{Every: second, Lag: second / 2, Liars: 3}, usualCacheEvents()},
		{"no reports", Reports{}, usualCacheEvents()},
		{"events 30 s late", usualReports(), CacheEvents{Every: second, Lag: 30 * second, Loss: 0.2}},
		{"4 of 5 events lost", usualReports(), CacheEvents{Every: second, Lag: 2 * second, Loss: 0.8}},
		{"no events", usualReports(), CacheEvents{}},
		{"neither", Reports{}, CacheEvents{}},
	} {
		for _, p := range []Policy{Prefix{}, LeastLoaded{}} {
			s := today(seed, p, Drafts(), 10)
			s.Reports, s.CacheEvents = v.reports, v.events
			r := Run(s)
			fmt.Fprintf(w, "%s\t%s\t%.1f%%\t%s\t%s\t%.1f%%\t%.2f\t\n", v.name, PolicyName(p), 100*r.Recomputed,
				ms(r.Quantile(50)), ms(r.Quantile(95)), 100*r.InTimeShare(), r.PeakImbalance)
		}
	}
}

// costTable finds, for each policy, the highest rate at which 95 in 100
// requests are answered in time, and the price of 1000 answers there.
func costTable(w io.Writer, seed uint64) {
	fmt.Fprintln(w, "workload\tpolicy\trate at target\trecomputed\tp50\tp95\tprice-hours/1000\t")
	for _, load := range []struct {
		name string
		w    Workload
	}{{"briefs", Briefs()}, {"drafts", Drafts()}} {
		for _, p := range allPolicies() {
			var best *Result
			var at float64
			for rate := 1.0; rate <= maxCostRate; rate++ {
				if r := Run(today(seed, p, load.w, rate)); r.InTimeShare() >= inTimeGoal {
					best, at = r, rate
				}
			}
			if best == nil {
				fmt.Fprintf(w, "%s\t%s\tbelow 1\t\t\t\t\t\n", load.name, PolicyName(p))
				continue
			}
			fmt.Fprintf(w, "%s\t%s\t%g\t%.1f%%\t%s\t%s\t%.4f\t\n", load.name, PolicyName(p), at, 100*best.Recomputed,
				ms(best.Quantile(50)), ms(best.Quantile(95)), best.PricePerThousand())
		}
	}
}

// Constants of the cost table.
const (
	// inTimeGoal is the part of the requests that must be in time.
	inTimeGoal = 0.95
	// maxCostRate is the highest rate tried, in requests a second.
	maxCostRate = 22
)

// priceTable gives two domains out of four servers at a third of the price and shows where the work goes.
func priceTable(w io.Writer, seed uint64) {
	fmt.Fprintln(w, "rate\tprices\tp95\tin time\tbusy price-hours/1000\trecomputed\t")
	for _, rate := range []float64{2, 4, 8, 12} {
		for _, prices := range [][]float64{{0.3, 0.3, 1, 1}, {1, 1, 1, 1}} {
			s := today(seed, Prefix{}, Briefs(), rate)
			s.Fleet.Prices = prices
			r := Run(s)
			fmt.Fprintf(w, "%g\t%v\t%s\t%.1f%%\t%.4f\t%.1f%%\t\n", rate, prices, ms(r.Quantile(95)),
				100*r.InTimeShare(), r.BusyPricePerThousand(), 100*r.Recomputed)
		}
	}
}
