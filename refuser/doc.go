// Package refuser holds the one error type that callers and operators see.
//
// Every Refusal has a Kind, which programs compare, and a Remedy, which tells a
// person what to do next. NotRun is true only where no backend server can have
// seen the request; it is set by the constructor that proves it and can be set
// in no other way.
//
// # Usage
//
//	if q.full() {
//		return refuser.NotRun(refuser.Overloaded, "the queue is full", "come back after the time in Retry-After").After(time.Second)
//	}
package refuser
