// Package relayer decides when a host is cut off from the backend servers of a
// service, and which other hosts then serve its calls.
//
// Some hosts may reach no server of a service while callers, keepers and other hosts
// reach them. Connections to servers hang, are reset, or live on while new ones are
// refused. See docs/design/relay.md for the whole of it; this package holds the
// decisions alone.
//
// # Reach
//
// The Reach of a host watches its attempts on servers. It suspects a cut of a service
//
//   - if attempts on two servers failed without a byte since the last answer of any
//     server,
//   - if dials to three servers failed since the last one that succeeded, even while
//     answers arrive on older connections,
//   - if an attempt waits, or has failed, and the service has given no byte for a while
//     since it began.
//
// Dead servers, a silent one and a slow engine look the same to a single attempt. So a
// suspicion only asks for a round of probes: fresh connections to up to three servers
// at random, first to those that did not fail. They are made at once after failures; if
// silence is all there is, the first one is given a moment, since a slow engine is the
// usual cause. If none of them opens, the host believes to be cut off. One that opens, or a fresh connection of an attempt meanwhile, clears
// all evidence. Servers that had failed by then are down, and their failures are no
// evidence for a while, so that a service with many dead servers does not bring one
// round after another. An attempt that goes on waiting is evidence again after as long
// a time as it had waited by then, so that a slow engine costs a few rounds only.
//
// While a host is cut off, it probes one server after the other at a fixed interval.
// The first fresh connection ends the belief. An answer on an older connection does
// not: open connections may live on while new ones are refused.
//
// # Book
//
// The Book of the leading keeper knows which services each host does not reach, from
// the syncs of the hosts. It names up to four hosts that reach a service to one that
// does not. They are chosen by rendezvous hashing, so that the hosts that ask spread
// over those that serve, and a peer that leaves is replaced at its own askers only.
//
// # Refusals
//
// Refusals decides whether the process of a server that refuses a new connection has
// ended, or refuses it only since the host is cut off.
//
// Nothing here does I/O or starts a goroutine. A Reach and Refusals are safe for
// concurrent use, a Book is not.
//
// # Usage
//
//	reach := relayer.NewReach(clock, nil)            // on an entry host
//	attempt := reach.Begin(service, server)
//	attempt.Dialed()                                 // a fresh connection was opened
//	attempt.DialFailed()                             // or could not be opened
//	attempt.Answered()                               // or Failed, or End
//
//	for _, p := range reach.Due(servers) {           // every few ten milliseconds
//		go func() { reach.Probed(p, dial(p)) }()
//	}
//	if reach.IsCut(service) { ... }                  // relay the call to a peer
//
//	refusals := relayer.NewRefusals(clock)           // a server has refused a connection
//	refusals.Judge(server, others, refusedAt)        // again while Undecided
//
//	book := relayer.NewBook()                        // on the leading keeper
//	book.Report(now, host, domain, unreachable)      // with each sync
//	peers := book.Peers(now, host, service)          // the answer
package relayer
