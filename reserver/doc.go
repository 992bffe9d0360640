// Package reserver bounds the calls that all entry hosts together have at brittle
// backend servers: those that fall over when they have to turn more than a few calls
// away in a second.
//
// Each server has places, as many as it runs calls concurrently. While its service is
// brittle, a host sends a call there only if it holds a free place of the server. The
// Ledger on the leader issues places to hosts on demand. A place is not spent by a call:
// the host uses it again when the call has ended, and gives it back when it was idle for
// some time, or at once while places are scarce.
//
// What is known of a service is the newest answer of any of its servers. Hosts report
// their own answers (a Notice) to the leader, which passes the newest one on to all. For
// graceTime after the first one a service is not bounded where another answer without the
// announcement came shortly before: hosts go on as before and count what they have at a
// server as places that they hold. Then the leader takes back what
// exceeds the places of a server.
//
// A host uses its places for holdTime after the last answer of the leader. After that it
// is alone: it has one call at a time at each server, from a random time on, and pauses
// there after a refusal, so that the refusals of many such hosts stay few. The leader
// issues the places of a host again once it has not heard it for hostTTL. A new leader
// takes what hosts report as their places, and issues none until no place of its
// predecessor can be in use. It knows no service: hosts tell it also what its predecessor
// told them, which counts until a host reports an answer. A host forgets a service that
// the leader does not call brittle for some time.
//
// A refusal by a server shows that it has less room than places. It costs the host the
// place, and the leader lowers the places of the server for some time.
//
// Nothing here does I/O or reads a clock, and nothing is safe for concurrent use. Where
// no service is brittle, Available, Ended and Record do not allocate.
//
// # Usage
//
//	ledger := reserver.NewLedger(now)                          // on the leader
//	grant := ledger.Exchange(now, host, report)
//
//	holder := reserver.NewHolder(random, run)                     // on an entry host
//	holder.Record(now, server, reply.Brittle)                  // from a response
//	if holder.Available(now, server, running) { ... }          // before a call
//	holder.Need(now, pool, candidates)                         // if there is no place
//	report := holder.Report(now, running)                       // then, or regularly
//	holder.Apply(now, grant)
package reserver
