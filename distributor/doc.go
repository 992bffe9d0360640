// Package distributor propagates every accepted document to every host.
//
// The distributed data is a small set of topics. Each topic is a document with
// an increasing revision. A host never returns to an older revision of a topic,
// whichever process offers it.
//
// The hosts form a tree without an election. Each host watches the first
// reachable host of its own failure domain, in order of name. That first host
// is the relay of the domain and watches a keeper. A watch is a long poll: the
// upstream responds when there are updates or after MaxHold. A change is
// therefore sent immediately, and an idle watch costs one small call per
// MaxHold. A host moves on to the next candidate, and finally to the keepers,
// if its upstream does not respond, or if a majority of keepers has not
// confirmed the upstream's own source for StaleLimit.
//
// With each watch a host sends its own report and the reports of the hosts that
// watch it, so that the keepers know which revision each host runs.
//
// A host that is partitioned from the others keeps serving the revisions it
// has. A starting host queries all candidates and applies the highest revision
// before it serves.
//
// # Usage
//
//	d := distributor.New(distributor.Options{Self: self, Upstreams: upstreams, Call: m.Call, OnUpdate: apply})
//	d.Register(m)
//	d.Start(ctx)       // applies the highest reachable revision
//	go d.Run(ctx)      // applies updates until ctx ends
//	d.Offer(topic)     // on a keeper: publishes a newly committed document
package distributor
