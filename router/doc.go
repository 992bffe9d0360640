// Package router chooses the backend server for an attempt.
//
// A choice is a pure decision over an immutable Table, which the control side
// publishes, and over what this host saw itself: its own requests in flight,
// refusals, silence and notices. What it saw itself goes before the table and
// before load reports, which lag. A backend server known to be leaving is
// never chosen.
//
// Servers are looked at in groups: those of the own failure domain first, the
// cheapest first, then those of the other domains, the cheapest first. The
// first group that holds a server whose estimated first token comes within the
// target wins; where none does, the shortest estimate wins.
//
// Within a group a prompt's prefix decides: rendezvous hashing (Thaler and
// Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998) with
// bounded loads (Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with
// Bounded Loads", SODA 2018), so that equal prefixes meet a warm cache on
// every host without any talk between hosts. Which part of the prefix is
// hashed, and over how many servers, follows from its share of the traffic
// (see affinity). Cache events, which are late and have gaps, only raise the
// guess of what a server holds. Where no prefix is known, the better of two
// random servers is taken (Mitzenmacher, "The Power of Two Choices in
// Randomized Load Balancing", 2001).
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
// What comes from outside is handed to Observe:
//
//	r.Observe(router.Leaving{BackendServer: "w3"})
//	r.Observe(router.LoadReport{BackendServer: "w1", Running: 4, Waiting: 2})
package router
