// Package faker holds small stand-ins for what the system routes to: a model
// engine and a plain service, both as HTTP handlers.
//
// An Engine speaks the OpenAI-compatible calls, generates the same text for the
// same prompt on every instance of a version, continues an answer from text
// that was already delivered, and slows down as its batch grows. A Plain
// service counts how often it executed each call, so that a double execution is
// seen. Both take faults on command, from Go or through POST /control/faults.
//
// # Usage
//
//	e := faker.NewEngine(faker.EngineConfig{Name: "w1", Version: "v1", StepTime: time.Millisecond})
//	e.Inject(faker.Fault{Kind: faker.DieMidStream, AfterTokens: 5, Count: 1})
//	srv := httptest.NewServer(e)
//	defer srv.Close()
package faker
