// Package refuser defines the only error type that callers and operators receive.
//
// Every Refusal has a kind, which programs compare, and a remedy, which tells a
// person what to do next. IsNotRun is true only if no backend server can have seen
// the request. Only the constructor NotRun sets it, apart from UnmarshalJSON, and
// only code that runs before the first attempt may call that constructor.
//
// # Usage
//
//	if q.full() {
//		return refuser.NotRun(refuser.Overloaded, "the queue is full", "retry after the time in Retry-After").After(time.Second)
//	}
package refuser
