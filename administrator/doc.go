// Package administrator serves the operators' HTTP API.
//
// An operator sends a bearer token, which names the operator. Every change
// carries a change id and the revision it was made against, and becomes an
// event for the control log; what the log answers is what the operator gets.
// A fleet document is checked in full before it is proposed, and a document
// that fails the check is put on the audit trail too. Reads are linearizable:
// they show every change that was answered before.
//
// The API, all under /v1:
//
//	GET  /config                     the present document and its revision
//	PUT  /config                     change it
//	GET  /config/status              which hosts run which revision, and since when
//	GET  /config/history             the accepted changes, newest first
//	GET  /exceptions                 the exceptions and whether they hold
//	POST /exceptions                 add one
//	POST /exceptions/{name}/remove   remove one
//	GET  /audit                      every change, refused ones too, newest first
//	GET  /rollouts                   the rollouts, newest first
//	POST /rollouts                   move a service to another version
//	POST /rollouts/{id}/revert       take the new version back
//	GET  /members                    the replicas of the control log
//	POST /members                    add, promote or remove one
//	GET  /status                     hosts, keepers, revision and backend servers at one glance
//
// History and audit take limit and before, a record's number, as parameters.
//
// Every error is a refuser.Refusal in JSON.
//
// # Usage
//
//	h := administrator.New(backend, cfg.Operators.Tokens, clock, slog.Default())
//	server := &http.Server{Handler: h}
package administrator
