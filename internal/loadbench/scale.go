package loadbench

import (
	"fmt"
	"io"
	"time"
)

// ratePerWorker is the requests a second for each server in the scale table.
const ratePerWorker = 1.2

// guidesPerWorker is the style guides for each server in the scale table.
const guidesPerWorker = 4

// size is one row of the scale table.
type size struct{ workers, routers, domains int }

// scaleTable grows the fleet and the number of hosts that do not see each
// other's requests.
func scaleTable(w io.Writer, seed uint64) {
	fmt.Fprintln(w, "workers\trouters\tdomains\tpolicy\trecomputed\tp50\tp95\tin time\tmost/mean at once\tmost/mean work\t")
	for _, n := range []size{
		{10, 1, 1}, {10, 9, 4}, {100, 9, 1}, {100, 34, 1}, {167, 14, 1}, {1000, 9, 1}, {1000, 85, 1}, {1000, 340, 1},
	} {
		for _, p := range []Policy{Prefix{}, LeastLoaded{}, TwoChoices{}} {
			writeScale(w, n, p, Run(atScale(seed, n, p)))
		}
	}
}

// largeTable is one fleet of 4000 workers and 340 routers in 24 domains.
func largeTable(w io.Writer, seed uint64) {
	n := size{4000, 340, 24}
	fmt.Fprintln(w, "workers\trouters\tdomains\tpolicy\trecomputed\tp50\tp95\tin time\tmost/mean at once\tmost/mean work\t")
	s := atScale(seed, n, Prefix{})
	s.Workload.Guides = guidesPerWorker * n.workers / n.domains
	s.Warmup, s.Duration, s.Deadline = 30*time.Second, 20*time.Second, 20*time.Second
	writeScale(w, n, s.Policy, Run(s))
}

// atScale is a run of a fleet of a size.
func atScale(seed uint64, n size, p Policy) Scenario {
	s := today(seed, p, Briefs(), ratePerWorker*float64(n.workers))
	s.Fleet.Servers, s.Fleet.Hosts, s.Fleet.Domains = n.workers, n.routers, n.domains
	s.Workload.Guides = guidesPerWorker * n.workers
	s.Warmup, s.Duration, s.Deadline = 40*time.Second, 40*time.Second, 30*time.Second
	s.Fleet.Engine.StepTokens = 4
	s.CacheEvents = CacheEvents{}
	s.Reports.OwnDomain = n.workers > n.domains*32
	return s
}

// writeScale prints one row.
func writeScale(w io.Writer, n size, p Policy, r *Result) {
	fmt.Fprintf(w, "%d\t%d\t%d\t%s\t%.1f%%\t%s\t%s\t%.1f%%\t%.2f\t%.2f\t\n", n.workers, n.routers, n.domains,
		PolicyName(p), 100*r.Recomputed, ms(r.Quantile(50)), ms(r.Quantile(95)), 100*r.InTimeShare(), r.PeakImbalance, r.Imbalance)
}
