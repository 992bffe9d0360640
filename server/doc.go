// Package server is the interface that callers use.
//
// It speaks the OpenAI-compatible calls for model services, passes calls of
// plain services through under /services/{service}/, tells the outcome of a
// request under /v1/requests/{id}, and shows /healthz, /readyz and /metrics. It
// authenticates, bounds and checks what comes in, and hands each request to a
// dispatcher. Every refusal is a JSON object with a kind, a message, a remedy
// and whether the request surely did not run.
//
// # Usage
//
//	s := server.New(server.Options{Dispatcher: d, Tables: &tables, Clock: timer.System{}})
//	go s.Serve(listener)
//	...
//	err := s.Stop(ctx) // cuts off no accepted request
package server
