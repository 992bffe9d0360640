package loadbench

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// tables maps the names of the tables to the functions that print them.
var tables = map[string]func(w io.Writer, seed uint64){
	"policies": policiesTable,
	"scale":    scaleTable,
	"large":    largeTable,
	"overload": overloadTable,
	"signals":  signalsTable,
	"cost":     costTable,
	"price":    priceTable,
}

// WriteTable runs the simulations of the named table and prints it to w. The
// name "list" prints the names of all tables. An unknown name is an error.
func WriteTable(w io.Writer, name string, seed uint64) error {
	names := strings.Join(slices.Sorted(maps.Keys(tables)), " ")
	if name == "list" {
		_, err := fmt.Fprintln(w, names)
		return err
	}
	t, ok := tables[name]
	if !ok {
		return fmt.Errorf("unknown table %q; the tables are %s", name, names)
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	t(tw, seed)
	return tw.Flush()
}

// typicalReports returns reports every second with a lag of 500 ms.
func typicalReports() Reports { return Reports{Interval: time.Second, Lag: 500 * time.Millisecond} }

// typicalCacheEvents returns events every second with a lag of two seconds and
// a loss of one fifth.
func typicalCacheEvents() CacheEvents {
	return CacheEvents{Interval: time.Second, Lag: 2 * time.Second, Loss: 0.2}
}

// allPolicies returns the router and the baseline policies.
func allPolicies() []Policy {
	return []Policy{Prefix{}, RoundRobin{}, LeastLoaded{}, LeastLoaded{Exact: true}, TwoChoices{}}
}

// referenceScenario returns a scenario with the reference fleet and typical
// reports and cache events.
func referenceScenario(seed uint64, p Policy, w Workload, rate float64) Scenario {
	return Scenario{
		Seed: seed, Policy: p, Fleet: ReferenceFleet(), Workload: w, Rate: rate,
		Warmup: time.Minute, Duration: 5 * time.Minute,
		Reports: typicalReports(), CacheEvents: typicalCacheEvents(),
	}
}

// policiesTable compares the policies on both workloads at several rates.
func policiesTable(w io.Writer, seed uint64) {
	fmt.Fprintln(w, "workload\trate\tpolicy\tnovel\trecomputed\tp50\tp95\tin time\tprice/1000\tbusy price/1000\timbalance\tspilled\t")
	for _, load := range []struct {
		name string
		w    Workload
	}{{"briefs", Briefs()}, {"drafts", Drafts()}} {
		for _, rate := range []float64{4, 8, 12, 14} {
			for _, p := range allPolicies() {
				r := Run(referenceScenario(seed, p, load.w, rate))
				fmt.Fprintf(w, "%s\t%g\t%s\t%.1f%%\t%.1f%%\t%s\t%s\t%.1f%%\t%.4f\t%.4f\t%.2f\t%.0f%%\t\n",
					load.name, rate, PolicyName(p), 100*r.Novel, 100*r.Recomputed, ms(r.Quantile(50)), ms(r.Quantile(95)),
					100*r.InTimeShare(), r.PricePerThousand(), r.BusyPricePerThousand(), r.Imbalance, 100*r.Spilled)
			}
		}
	}
}

// ms formats a duration in milliseconds.
func ms(d time.Duration) string { return fmt.Sprintf("%d ms", d.Milliseconds()) }
