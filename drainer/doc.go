// Package drainer moves work away from what leaves.
//
// A reclaim notice names a backend server or this host and a deadline. A
// leaving backend server gets no new work at once, and its streams move to
// other servers within the notice, those that would lose most first. A leaving
// host gives up its readiness first, finishes what fits, and hands every other
// accepted request with its progress to a peer, preferably in its failure
// domain. The peer acknowledges before this host lets go; each change of owner
// raises the request's epoch, and the owner of the highest epoch is the owner.
// A non-idempotent request stays, and where the time runs out its outcome is
// told to a peer as unknown. A planned stop is the same without a deadline.
//
// What to do when is decided by Plan, a reducer without clock or input and
// output; a Drainer feeds it and performs its effects.
//
// # Usage
//
//	dr := drainer.New(drainer.Options{
//		Self: cfg.Self(), Hosts: cfg.Hosts, Dispatcher: d, Call: m.Call, SetReady: srv.SetReady,
//	})
//	dr.Register(m) // before m.Serve
//	go dr.Run(ctx)
//	dr.ServerLeaves("w3", 20*time.Second)
//	dr.HostLeaves(20 * time.Second)
package drainer
