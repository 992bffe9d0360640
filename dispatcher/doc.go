// Package dispatcher owns an accepted request until its one final answer.
//
// A request is tried on backend servers, one attempt after the other. Every
// attempt has an id of its own, which the backend server may echo; an answer to
// another attempt is dropped and counted. A broken connection that had served
// before says nothing about the server behind it, so that a fresh one to the
// same server comes next, and only then another server. A stream is whole with
// its terminal marker and a body at its full declared length. A stream that
// breaks is resumed on another server of the same version from the text that
// the caller already has.
//
// What may be sent, and what a refusal may claim, is decided by the ledger of
// the request alone: a non-idempotent request is sent at most once, and a
// refusal says "not run" only where no attempt was sent.
//
// # Usage
//
//	var tables atomic.Pointer[dispatcher.Table]
//	tables.Store(dispatcher.NewTable(fleet))
//	d := dispatcher.New(dispatcher.Options{Tables: &tables, Clock: timer.System{}})
//	refusal := d.Do(ctx, &dispatcher.Request{...}, sink)
package dispatcher
