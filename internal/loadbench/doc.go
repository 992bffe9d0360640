// Package loadbench measures the decisions of the router and the admitter under
// load and faults, on a fake clock.
//
// It is a small discrete-event simulation: backend servers are modelled as
// engines with continuous batching, chunked prefill and a bounded prefix
// cache; entry hosts run the real Router and Admitter; callers follow a seeded
// workload. It knows no network but a delay, and no control plane: load
// reports and cache events reach the hosts late, with gaps, or not at all, as
// the scenario says.
//
// # Usage
//
//	result := loadbench.Run(loadbench.Scenario{
//		Seed: 1, Policy: loadbench.Prefix{}, Rate: 8, Duration: 5 * time.Minute,
//		Fleet: loadbench.TodaysFleet(), Workload: loadbench.Briefs(),
//	})
//
// The tables of docs/design come from the command in its folder:
//
//	go run ./internal/loadbench/tabulator -table policies
package loadbench
