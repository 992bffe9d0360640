// Package permitter keeps the requests that all entry hosts together send to a
// backend server within its limit: the one that the server announces in its
// responses, or that of a server that is cold.
//
// A limit may be one request per second while hundreds of hosts choose the
// server, so that a host's share of it is far less than one request. Permits
// are therefore whole requests. The Issuer on the leader keeps a token bucket
// for each server with a limit and issues permits in the syncs of the hosts:
//
//   - A host that has a call which only servers with limits can take needs a
//     permit. It syncs at once, and the call waits for the response.
//   - A host that sends its calls to servers without a limit wants permits. It
//     gets some with its next regular sync, so that the servers with limits are
//     used too and it is noticed when a limit ends.
//
// A permit expires after permitTTL and is returned with the next sync if it was
// not spent.
//
// What a host learns of a limit from a response is a Notice. Hosts report their
// notices to the leader, which passes the newest one of each server on to all
// hosts. So hosts learn of a limit without a response of their own, and a new
// leader learns it from the hosts: also what its predecessor told them, which
// counts until a host reports a response. A host forgets a limit that the
// leader does not confirm for some time.
//
// A new leader does not know the permits of the former one. Its buckets start
// empty, and the former permits expire meanwhile. A host that has lost the
// leader has no permits. After soloAfter it sends requests at half of its equal
// share of the limit, starting at a random time, so that a failure domain that
// is cut off from the keepers goes on serving.
//
// A cold server is one that has started a few seconds ago. Its limit, WarmUpLimit,
// is so low that no second gets more than the server tolerates. The listing says
// which servers are cold, but it lags behind. A server to which no connection can
// be opened may therefore start at any moment: the host that finds this out reports
// it, and all hosts need permits for the server until it has been answering for as
// long as a server is cold. While a warm-up lasts longer than needed, servers get
// less than they could take, and never more.
//
// Nothing here does I/O or reads a clock, and nothing is safe for concurrent
// use.
//
// # Usage
//
//	issuer := permitter.NewIssuer(firstGrant)                  // on the leader
//	grant := issuer.Exchange(now, host, report)
//
//	holder := permitter.NewHolder(random)                      // on an entry host
//	holder.Record(now, server, limit)                          // from a response
//	holder.BeginWarmUp(now, server, coldLimit, until)          // from a listing
//	if holder.Available(now, server) { holder.Spend(now, server) }
//	report := holder.Report(now)                               // with each sync
//	holder.Apply(now, grant)
package permitter
