// Package rationer decides which calls are turned away when the servers of a service
// have too little room for all of them.
//
// What a call would find is known at every host within a fraction of a second, since
// hosts share the load that they have placed: the wait for other calls at the best server
// that the placer has found for it. While that is short against the call's target, all
// calls are admitted. When it is not, calls are turned away in the order of their rank,
// the least urgent first, at once and with a time to come back. What is left of the room
// goes to the more urgent ones, whose wait then stays within their targets.
//
// Three rules bound this. The most urgent rank is turned away only if it cannot get its
// first token before its deadline. A share of each rank is admitted whatever the wait, so
// that no rank starves. And where all calls of a service have one rank, none is more
// urgent than another: they wait for each other, up to their deadlines.
//
// Nothing here does I/O or reads a clock.
//
// # Usage
//
//	d := rationer.Decide(rationer.Call{Rank: 2, Wait: wait, First: first, Target: target, Remaining: left}, ranks, rand.Float64)
//	if d.Refuse {
//		// Turn the call away; it may come back after d.ReturnAfter.
//	}
package rationer
