// Package drainer moves requests away from backend servers and hosts that are
// about to be reclaimed.
//
// A reclaim notice names a backend server or this host, and a deadline. A
// leaving backend server immediately gets no new requests. Its streams move to
// other servers before the deadline, starting with the streams that have the
// most progress to lose. A leaving host first reports itself as not ready, then
// lets requests finish for part of the notice, and then hands over every other
// accepted request with its progress to a peer, preferably in its own failure
// domain. This host remains the owner until the peer acknowledges. Each change
// of owner increments the epoch of the request, and the host with the highest
// epoch is the owner. A non-idempotent request is not handed over; if it has
// not ended shortly before the deadline, the host reports its outcome to a peer
// as unknown. A planned stop has no deadline: the host becomes unready and
// waits for its requests to end.
//
// Plan decides what to do and when. It is a reducer without a clock or I/O. A
// Drainer passes events to it and performs the resulting effects.
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
