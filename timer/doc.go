// Package timer passes the clock in, so that decisions can be tested without
// waiting.
//
// Decision code never calls time.Now. It is handed a Clock, or the time comes
// with the event. Tests hand over a Manual clock and advance it by hand.
// Repeat is the loop of whatever looks again after a while.
//
// # Usage
//
//	var clock timer.Clock = timer.System{}
//	started := clock.Now()
//	...
//	if clock.Now().Sub(started) > limit {
//		...
//	}
package timer
