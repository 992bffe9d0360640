// Package rolloutbench measures rollout policies on a small simulated fleet.
//
// A Scenario is sampled from a seed: entry hosts in four failure domains, a
// request rate that rises and falls, a candidate version with a given kind of
// fault, reclaim waves, a failure domain that is partitioned from the
// controller, and the lag of reports. A policy decides which version serves
// each request. Run runs the scenario on a simulated clock and returns the
// outcome; Tabulate totals the results of many seeds. Servers and queues are
// not simulated: a version is a failure probability and a latency distribution.
//
// # Usage
//
//	s := rolloutbench.NewScenario(rolloutbench.FailsAtOnce, seed)
//	r := rolloutbench.Run(s, rolloutbench.Cyclamen)
//	fmt.Println(r.Reverted, r.LastCandidateRequest.Sub(r.FirstEvidence))
package rolloutbench
