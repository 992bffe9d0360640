// Package administrator serves the operators' HTTP API.
//
// A bearer token identifies the operator. Every change carries a change id, and
// a change of the configuration also the revision that it was made against. The
// package proposes the change to the control log as an event and responds with
// the event's outcome. It validates a fleet document strictly before it proposes
// it, and also records a document that fails validation in the audit trail.
// Reads are linearizable: they show every change whose response was sent before
// the read began.
//
// The API, all under /v1:
//
//	GET  /config                     return the current document and its revision
//	PUT  /config                     replace the document
//	GET  /config/status              list the revision of each host, and since when
//	GET  /config/history             list the accepted changes, newest first
//	GET  /exceptions                 list the exceptions and whether they are active
//	POST /exceptions                 add an exception
//	POST /exceptions/{name}/remove   remove an exception
//	GET  /audit                      list all changes, refused ones too, newest first
//	GET  /rollouts                   list the rollouts, newest first
//	POST /rollouts                   start to move a service to another version
//	POST /rollouts/{id}/revert       revert a rollout
//	GET  /evacuations                list the evacuated failure domains
//	POST /evacuations/{domain}       evacuate a failure domain
//	POST /evacuations/{domain}/end   end the evacuation of a failure domain
//	GET  /members                    list the replicas of the control log
//	POST /members                    add, promote or remove a replica
//	GET  /status                     summarize hosts, keepers, revision, exceptions, rollouts and backend servers
//
// /config/history and /audit take the query parameters limit, the maximum number
// of records, and before, which selects the records with a lower number.
//
// Every error response is a refuser.Refusal in JSON.
//
// # Usage
//
//	h := administrator.New(backend, cfg.Operators.Tokens, clock, slog.Default())
//	server := &http.Server{Handler: h}
package administrator
