// Package node composes the two processes that run on the users' platform: an
// entry host that forwards callers' calls, and a keeper that keeps the control
// log, serves operators and, where it leads, holds the duties.
//
// A process knows a few seeds and nothing else of the others. An entry host
// asks them for the leading keeper and syncs with it several times a second: it
// tells what customers asked and what began to run, and gets its shares of the
// rates and the leader's word. That word is a lease: once it has run out, calls
// with keys are refused, since a key may have been withdrawn meanwhile.
//
// # Usage
//
//	cfg, err := platform.ReadSettings(path)
//	err = node.RunEntry(ctx, cfg, node.Options{Log: log})
//	err = node.RunKeeper(ctx, cfg, node.Options{Log: log})
package node
