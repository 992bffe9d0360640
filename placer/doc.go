// Package placer chooses the backend server for a call from the load that all
// entry hosts have placed.
//
// A model engine runs many generations concurrently. Processing a prompt delays
// the tokens of all other generations, each further generation slows every
// decoding step, and a part of a prompt that is in the prefix cache is not
// processed again. A choice therefore estimates for every compared server the
// time that the call costs there: the queued prompts, the uncached tokens of the
// call itself, the steps of its output, and the delay that it adds to the
// generations that run there. The server with the lowest sum is chosen. A server
// with a cached prefix is thus preferred while it is not much busier than
// others, and an idle server is preferred to a busy one with a cached prefix.
//
// How long these take is learned by the pacer from all hosts, for each service and each
// server. A stream that a prompt would delay beyond its longest pause costs as much as
// one that is late. Few servers are compared for a long prompt, and where servers are
// uneven the fastest are kept for long prompts.
//
// A cold server, or one that may have started just now, is chosen only with a permit. A
// server in an evacuated failure domain, or outside the homes of a call, is never chosen.
//
// A plain service is one whose servers are not model engines. Its cost depends
// on the running calls per slot and on the recent time to the first content. This time
// counts for less the older it is, so that a server which was slow is tried again; such
// trials add a small share to the cost of all calls at most.
//
// The load placed by other hosts comes from the leader several times a second
// and is stale when it arrives. All hosts see the same figures and would all
// choose the same server. The load that a host places after a report is
// therefore counted for the other hosts too.
//
// Failures and slow responses raise the estimate of a server. The increase
// decays, so that the server is tried again. A server that recently refused a
// connection is chosen only if no other is left. A server that is leaving is
// never chosen.
//
// # Usage
//
//	p := placer.New(placer.Options{FailureDomain: "be-1"})
//	p.Publish(servers)
//	p.SetRemoteLoads(loads, hosts)     // several times a second
//	c, err := p.Choose(placer.Request{Service: "model", Parts: parts, Prompt: 1200})
//	c.FirstContent()                   // the first content has arrived
//	c.End(placer.Succeeded)
package placer
