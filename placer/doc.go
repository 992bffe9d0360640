// Package placer chooses the backend server for a call from what all entry hosts
// have at work.
//
// A model engine runs many generations side by side. Each prompt that it reads
// holds up the tokens of all others, each further generation slows every step,
// and a part of a prompt that it holds already is not read again. A choice
// therefore estimates, for every candidate, what the call costs there in time:
// the prompts that wait, the call's own tokens that are not held, the steps of
// its output, and the same delays for the generations that run there. The
// smallest sum wins. So a warm server is taken while it is not much busier than
// others, and an idle one before a busy warm one.
//
// A plain service is chosen by the calls at work for each slot and by how long
// its calls took lately.
//
// What other hosts have at work comes from the leader several times a second and
// is stale when it arrives. All hosts see the same figures and would all choose
// the same server; what a host placed since it heard is therefore counted for
// the other hosts too.
//
// A server that fails or is slow gets a worse estimate that fades, so that it is
// tried again. One that took no connection a moment ago is chosen only where
// nothing else is left, and one that is leaving never.
//
// # Usage
//
//	p := placer.New(placer.Options{FailureDomain: "be-1"})
//	p.Publish(servers)
//	p.SetOthers(loads, hosts)          // several times a second
//	c, err := p.Choose(placer.Request{Service: "model", Parts: parts, Prompt: 1200})
//	c.First()                          // the first token has come
//	c.End(placer.Succeeded)
package placer
