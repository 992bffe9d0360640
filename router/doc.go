// Package router chooses the backend server for an attempt.
//
// A choice depends only on an immutable routing table (Table), which the
// control plane publishes, and on this host's own observations: its in-flight
// requests, refusals, time-outs and leaving notices. Own observations take
// precedence over the table and over load reports, which arrive with a delay. A
// backend server that is known to be leaving is never chosen.
//
// Servers are examined in groups: first the groups of the host's own failure
// domain, then those of the other domains, each from the cheapest to the most
// expensive. If the own domain is small, requests with a prefix use one order
// by price over all domains. The first group with a server whose estimated
// wait is within a fraction of the first-token target is used. If there is
// none, the server with the earliest estimated first token is used.
//
// Within a group, the prompt's prefix determines the server. The router uses
// rendezvous hashing (Thaler and Ravishankar, "Using Name-Based Mappings to
// Increase Hit Rates", 1998) with bounded loads (Mirrokni, Thorup and
// Zadimoghaddam, "Consistent Hashing with Bounded Loads", SODA 2018), so that
// all hosts send equal prefixes to the same servers, where they are cached,
// without communicating. The prefix's share of the traffic determines which
// part of it is hashed and over how many servers (see splitPrefix). Cache
// events arrive late and incompletely, so they only raise the estimate of what
// a server has cached. If the prefix is unknown, the router takes the better of
// two random servers (Mitzenmacher, "The Power of Two Choices in Randomized
// Load Balancing", 2001).
//
// # Usage
//
//	r := router.New(router.Config{FailureDomain: "be-1", FirstTokenTarget: time.Second})
//	r.Publish(&router.Table{Candidates: candidates})
//
//	choice, err := r.Choose(router.Request{
//		Service: "schrijfhulp", Version: "7",
//		PrefixBlocks: router.Blocks(nil, prompt), PromptTokens: 1200,
//	})
//	if err != nil {
//		return err
//	}
//	... // send to choice.BackendServer
//	choice.FirstToken()
//	...
//	choice.Release(router.Succeeded)
//
// Pass load reports, cache events and notices to Observe:
//
//	r.Observe(router.Leaving{BackendServer: "w3"})
//	r.Observe(router.LoadReport{BackendServer: "w1", Running: 4, Waiting: 2})
package router
