// Package dispatcher owns an accepted request until its one final answer.
//
// The dispatcher tries a request on backend servers, one attempt after the
// other. Every attempt has its own id, which the backend server may echo. An
// answer that belongs to another attempt is dropped and counted, and so is an
// answer without an id on a connection on which the server echoed one before. If a reused
// connection breaks, this says nothing about the server behind it. The next
// attempt therefore goes to the same server on a fresh connection, and only
// then to another server. A stream is complete if it has its terminal marker or
// its finish reason, and a body is complete at its full declared length. If a
// stream breaks, the dispatcher resumes it on another server of the same
// version, from the text that the caller already has.
//
// The ledger of the request alone decides what may be sent and what a refusal
// may claim: a non-idempotent request is sent at most once, and a refusal says
// "not run" only if no attempt was sent.
//
// # Usage
//
//	var tables atomic.Pointer[dispatcher.Table]
//	tables.Store(dispatcher.NewTable(fleet))
//	d := dispatcher.New(dispatcher.Options{Tables: &tables, Clock: timer.System{}})
//	refusal := d.Do(ctx, &dispatcher.Request{...}, sink)
package dispatcher
