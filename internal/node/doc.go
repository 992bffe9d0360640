// Package node composes the two processes that run on the users' platform: an
// entry host, which forwards the calls of callers, and a keeper, which
// replicates the control log, serves operators and, while it leads, performs
// the duties: reading the list of backend servers, reporting use and ordering
// servers.
//
// A process is configured with a few seeds and learns of the other processes
// from them. An entry host queries the seeds for the leading keeper and syncs
// with it up to four times a second: it reports what customers requested and
// which calls began to run, and receives its shares of the rates and a lease.
// Once the lease has expired, the host refuses calls with keys, since a key may
// have been withdrawn meanwhile.
//
// # Usage
//
//	cfg, err := platform.ReadSettings(path)
//	err = node.RunEntry(ctx, cfg, node.Options{Log: log})
//	err = node.RunKeeper(ctx, cfg, node.Options{Log: log})
package node
