// Package timer provides clocks that are passed in as dependencies, so that
// time-dependent decisions can be tested without waiting.
//
// Decision code never calls time.Now. It receives a Clock, or the time is part of
// the event. Tests pass a Manual clock and advance it explicitly. Repeat runs a
// function periodically.
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
