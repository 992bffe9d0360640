package loadbench

import (
	"fmt"
	"io"
	"time"
)

// ratePerServer is the request rate per server in the scale table, in requests
// per second.
const ratePerServer = 1.2

// guidesPerServer is the number of style guides per server in the scale table.
const guidesPerServer = 4

// fleetSize is the size of the fleet in one row of the scale table.
type fleetSize struct{ servers, hosts, domains int }

// scaleTable prints how the policies perform as the fleet grows, and as the
// number of hosts grows, which do not see each other's requests.
func scaleTable(w io.Writer, seed uint64) {
	fmt.Fprintln(w, "workers\trouters\tdomains\tpolicy\trecomputed\tp50\tp95\tin time\tmost/mean at once\tmost/mean work\t")
	for _, n := range []fleetSize{
		{10, 1, 1}, {10, 9, 4}, {100, 9, 1}, {100, 34, 1}, {167, 14, 1}, {1000, 9, 1}, {1000, 85, 1}, {1000, 340, 1},
	} {
		for _, p := range []Policy{Prefix{}, LeastLoaded{}, TwoChoices{}} {
			writeScaleRow(w, n, p, Run(scaleScenario(seed, n, p)))
		}
	}
}

// largeTable prints one fleet of 4000 servers and 340 hosts in 24 failure
// domains.
func largeTable(w io.Writer, seed uint64) {
	n := fleetSize{4000, 340, 24}
	fmt.Fprintln(w, "workers\trouters\tdomains\tpolicy\trecomputed\tp50\tp95\tin time\tmost/mean at once\tmost/mean work\t")
	s := scaleScenario(seed, n, Prefix{})
	s.Workload.Guides = guidesPerServer * n.servers / n.domains
	s.Warmup, s.Duration, s.Deadline = 30*time.Second, 20*time.Second, 20*time.Second
	writeScaleRow(w, n, s.Policy, Run(s))
}

// scaleScenario returns the scenario for a fleet of size n.
func scaleScenario(seed uint64, n fleetSize, p Policy) Scenario {
	s := referenceScenario(seed, p, Briefs(), ratePerServer*float64(n.servers))
	s.Fleet.Servers, s.Fleet.Hosts, s.Fleet.Domains = n.servers, n.hosts, n.domains
	s.Workload.Guides = guidesPerServer * n.servers
	s.Warmup, s.Duration, s.Deadline = 40*time.Second, 40*time.Second, 30*time.Second
	s.Fleet.Engine.StepTokens = 4
	s.CacheEvents = CacheEvents{}
	s.Reports.OwnDomain = n.servers > n.domains*32
	return s
}

// writeScaleRow prints one row.
func writeScaleRow(w io.Writer, n fleetSize, p Policy, r *Result) {
	fmt.Fprintf(w, "%d\t%d\t%d\t%s\t%.1f%%\t%s\t%s\t%.1f%%\t%.2f\t%.2f\t\n", n.servers, n.hosts, n.domains,
		PolicyName(p), 100*r.Recomputed, ms(r.Quantile(50)), ms(r.Quantile(95)), 100*r.InTimeShare(), r.PeakImbalance, r.Imbalance)
}
