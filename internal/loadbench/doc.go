// Package loadbench measures the decisions of the router and the admitter under
// load and faults, on a simulated clock.
//
// It is a discrete-event simulation. Backend servers are modelled as engines
// with continuous batching, chunked prefill and a bounded prefix cache. Entry
// hosts run the real Router and Admitter. Callers send a seeded workload. The
// network is modelled as a delay, and there is no control plane: load reports
// and cache events reach the hosts late, with gaps, or not at all, as the
// scenario specifies.
//
// # Usage
//
//	result := loadbench.Run(loadbench.Scenario{
//		Seed: 1, Policy: loadbench.Prefix{}, Rate: 8, Duration: 5 * time.Minute,
//		Fleet: loadbench.ReferenceFleet(), Workload: loadbench.Briefs(),
//	})
//
// The command in the subfolder tabulator prints the tables of docs/design:
//
//	go run ./internal/loadbench/tabulator -table policies
package loadbench
