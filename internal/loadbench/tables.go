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

// tables are the tables by name.
var tables = map[string]func(w io.Writer, seed uint64){
	"policies": policiesTable,
	"scale":    scaleTable,
	"large":    largeTable,
	"overload": overloadTable,
	"signals":  signalsTable,
	"cost":     costTable,
	"price":    priceTable,
}

// WriteTable runs what a table needs and prints it. The name "list" prints the
// names.
func WriteTable(w io.Writer, name string, seed uint64) error {
	names := strings.Join(slices.Sorted(maps.Keys(tables)), " ")
	if name == "list" {
		_, err := fmt.Fprintln(w, names)
		return err
	}
	t, ok := tables[name]
	if !ok {
		return fmt.Errorf("there is no table %q: name one of %s", name, names)
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	t(tw, seed)
	return tw.Flush()
}

// usualReports are reports every second that are half a second old.
func usualReports() Reports { return Reports{Every: time.Second, Lag: 500 * time.Millisecond} }

// usualCacheEvents are events every second, two seconds late, a fifth lost.
func usualCacheEvents() CacheEvents {
	return CacheEvents{Every: time.Second, Lag: 2 * time.Second, Loss: 0.2}
}

// allPolicies are the router and the baselines.
func allPolicies() []Policy {
	return []Policy{Prefix{}, RoundRobin{}, LeastLoaded{}, LeastLoaded{Exact: true}, TwoChoices{}}
}

// today is a run at today's size.
func today(seed uint64, p Policy, w Workload, rate float64) Scenario {
	return Scenario{
		Seed: seed, Policy: p, Fleet: TodaysFleet(), Workload: w, Rate: rate,
		Warmup: time.Minute, Duration: 5 * time.Minute,
		Reports: usualReports(), CacheEvents: usualCacheEvents(),
	}
}

// policiesTable compares the policies on both workloads over a sweep of rates.
func policiesTable(w io.Writer, seed uint64) {
	fmt.Fprintln(w, "workload\trate\tpolicy\tnovel\trecomputed\tp50\tp95\tin time\tprice/1000\tbusy price/1000\timbalance\tspilled\t")
	for _, load := range []struct {
		name string
		w    Workload
	}{{"briefs", Briefs()}, {"drafts", Drafts()}} {
		for _, rate := range []float64{4, 8, 12, 14} {
			for _, p := range allPolicies() {
				r := Run(today(seed, p, load.w, rate))
				fmt.Fprintf(w, "%s\t%g\t%s\t%.1f%%\t%.1f%%\t%s\t%s\t%.1f%%\t%.4f\t%.4f\t%.2f\t%.0f%%\t\n",
					load.name, rate, PolicyName(p), 100*r.Novel, 100*r.Recomputed, ms(r.Quantile(50)), ms(r.Quantile(95)),
					100*r.InTimeShare(), r.PricePerThousand(), r.BusyPricePerThousand(), r.Imbalance, 100*r.Spilled)
			}
		}
	}
}

// ms prints a duration in milliseconds.
func ms(d time.Duration) string { return fmt.Sprintf("%d ms", d.Milliseconds()) }
