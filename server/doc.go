// Package server implements the HTTP interface for callers.
//
// It serves the OpenAI-compatible endpoints for model services, forwards calls
// to plain services under /services/{service}/, reports the status of a request
// under /v1/requests/{id}, and serves /healthz, /readyz and /metrics. It
// authenticates each request, checks it against limits of size and time, and
// passes it to a dispatcher. Every refusal is a JSON object with a kind, a
// message, a remedy, and whether the request certainly did not run.
//
// # Usage
//
//	s := server.New(server.Options{Dispatcher: d, Tables: &tables, Clock: timer.System{}})
//	go s.Serve(listener)
//	...
//	err := s.Stop(ctx) // completes every accepted request
package server
