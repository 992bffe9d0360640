// Package distributor brings every accepted document to every host.
//
// What is distributed is a small set of topics, each a document with a revision
// that only rises. A host never goes back to an older revision of a topic,
// whoever offers it.
//
// The hosts form a tree that needs no election. A host watches the reachable
// host of its own failure domain that comes first by name; that one, the relay
// of the domain, watches a keeper. To watch is to hold a call open until there
// is news or Hold has passed, so that a change travels at once and silence costs
// one small call each Hold. An upstream that does not answer, or whose own
// source has not been confirmed by a majority of keepers for StaleLimit, is left
// for the next candidate, in the end for the keepers themselves.
//
// With each watch a host sends what it has in force and what the hosts watching
// it have, so that the keepers know which host runs which revision.
//
// A host that is cut off goes on with what it has; a host that starts asks all
// candidates and takes the highest revision before it serves.
//
// # Usage
//
//	d := distributor.New(distributor.Options{Self: self, Upstreams: upstreams, Call: m.Call, OnNews: apply})
//	d.Register(m)
//	d.Start(ctx)       // takes the highest revision that can be reached
//	go d.Run(ctx)      // keeps up
//	d.Offer(topic)     // on a keeper: a newly committed document
package distributor
