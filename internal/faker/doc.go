// Package faker provides fake backend servers for tests: a model engine and a
// plain service, both as HTTP handlers.
//
// An Engine implements the OpenAI-compatible completion endpoints. It generates
// the same text for the same prompt on every instance of a version, resumes a
// response from text that was already delivered, and slows down as its batch
// grows. A Plain service counts how often it executed each request, so that
// tests detect a request that ran twice. Faults are injected into both from Go
// or through POST /control/faults.
//
// A Network connects clients to these handlers in memory.
//
// # Usage
//
//	e := faker.NewEngine(faker.EngineConfig{Name: "w1", Version: "v1", StepTime: time.Millisecond})
//	e.Inject(faker.Fault{Kind: faker.DieMidStream, AfterTokens: 5, Count: 1})
//	srv := httptest.NewServer(e)
//	defer srv.Close()
package faker
