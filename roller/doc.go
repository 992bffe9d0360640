// Package roller decides how traffic moves from a service's present version to
// a candidate version, and takes the candidate back when it is bad.
//
// A Judge runs on every entry host. It draws the version of each request from
// a hash of the request id and the share in force, counts outcomes per route
// and load band, and stops drawing the candidate at its own verdict, without
// asking anybody. A Controller runs on the leader. It merges the counters of
// all hosts, raises the share in stages so that the move ends by its deadline,
// and proposes the events that a Book records. A Book is the replicated state:
// it applies sealed events and returns effects as data.
//
// # Evidence
//
// All counters of a host only grow, so a report supersedes every earlier one
// of the same host and epoch, and merging takes the larger of two counters. A
// lost, repeated or reordered report changes nothing, and a new leader regains
// the whole evidence from one report of each host.
//
// # The test
//
// Each request is drawn at random with a known share. If the candidate is no
// worse than the control, a failed request was drawn for the candidate with
// just that share, whatever made it fail and however the failure rate moves
// with time. The test watches that proportion among the failures, and in the
// same way among the slow answers; see LogEvidence. A failure that both
// versions share therefore speaks against neither.
//
// # Usage
//
//	j := roller.NewJudge(source, service, presentVersion, routes)
//	t := j.Draw(requestID, route, band)      // any goroutine
//	... send the request to a server of t.Version() ...
//	j.Observe(t, roller.Ending{...})         // exactly once per ticket
//
//	verdicts := j.Evaluate()                 // control goroutine, often
//	send(j.Report())                         // control goroutine, each second
//
//	c := roller.NewController(book)
//	c.Merge(report, now)
//	for _, e := range c.Decide(now) {
//		effects, err := book.Apply(e)        // after the log committed e
//	}
package roller
