// Package concluder judges how an answer ended that has neither a length nor chunks: it ends
// with its connection, and so does one whose backend server ends amid it. A part that looks
// whole gives its caller wrong data; a whole answer that is broken off loses work.
//
// Evidence is what is known of such an end, and Judge the one judgement of it. Nothing here
// does I/O or reads a clock: the forwarder collects the evidence. The answers of one run of a
// server that end together are judged by the same evidence, gathered by GroupOf, so that the
// order in which their ends are read does not matter.
//
// A connection that broke, or an answer that shows by itself that it is not complete, needs no
// judgement.
//
// # Usage
//
//	e := concluder.Evidence{Process: concluder.Ended, Leaves: true}
//	e.Group = concluder.GroupOf(conn.End(), pool.OtherEnds(conn))
//	if e.Judge() == concluder.Cut {
//		// break the answer off
//	}
package concluder
