// Package roller decides how traffic moves from a service's current version to
// a candidate version, and reverts the move if the candidate is bad.
//
// An Evaluator runs on every entry host. It picks the version of each request
// from a hash of the request id and the current share, and counts outcomes per
// route and load band. Once its own tests reach a verdict, it stops sending
// requests to the candidate without waiting for the controller. A Controller
// runs on the leader. It merges the counters of all hosts, raises the share in
// stages so that the move ends by its deadline, and proposes events for the
// State. The State is the replicated state machine: it applies events of a
// closed set of types and returns effects as data.
//
// # Evidence
//
// All counters of a host only increase, so a report supersedes every earlier
// one of the same host and epoch, and merging takes the larger of two counters.
// Lost, repeated and reordered reports do no harm, and a new leader has all
// evidence again after one report from each host.
//
// # The test
//
// Each request is assigned to a version at random with a known share. If the
// candidate is no worse than the control, a failed request was assigned to the
// candidate with exactly that share as its probability, whatever made it fail
// and however the failure rate changes with time. The test monitors that
// proportion among the failures, and likewise among the slow answers; see
// LogEvidence. A cause of failure that affects both versions alike is therefore
// evidence against neither.
//
// # Rollouts of seconds
//
// A rollout that has only seconds keeps one share and then moves all traffic in
// one step, the cutover. The share follows from the request rate and from the
// Exposure that is allowed. Without a verdict when the time is up, the odds decide
// whether the candidate is promoted; see finalVerdict.
//
// # Usage
//
//	e := roller.NewEvaluator(source, service, currentVersion, routes)
//	a := e.Pick(requestID, route, band)      // any goroutine
//	... send the request to a server of a.Version() ...
//	e.Observe(a, roller.Result{...})         // exactly once per assignment
//
//	verdicts := e.Evaluate()                 // control goroutine, often
//	send(e.Report())                         // control goroutine, each second
//
//	c := roller.NewController(state)
//	c.Merge(report)
//	for _, e := range c.Decide(now) {
//		effects, err := state.Apply(e)       // after the log has committed e
//	}
package roller
