// Package rolloutbench measures policies of rollout on a small simulated fleet.
//
// A Scenario is drawn from a seed: entry hosts in four failure domains, a rate
// of requests that rises and falls, a candidate version that behaves in a given
// way, reclaim waves, a failure domain that is cut off, lag of the reports. A
// policy decides which version each request is drawn for. Run plays the
// scenario on a fake clock and returns what the policy did; Tabulate counts the
// results of many seeds. Nothing here simulates servers or queues: a version is
// a probability of failing and a distribution of latency.
//
// # Usage
//
//	s := rolloutbench.NewScenario(rolloutbench.FailsAtOnce, seed)
//	r := rolloutbench.Run(s, rolloutbench.Cyclamen)
//	fmt.Println(r.Reverted, r.LastDraw.Sub(r.FirstEvidence))
package rolloutbench
