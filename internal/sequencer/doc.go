// Package sequencer runs the events of a simulation in the order of their times.
// Events of the same time run in the order in which they were added, so that a
// simulation with a seed always takes the same course.
//
// # Usage
//
//	var q sequencer.Queue
//	q.Add(start.Add(time.Second), func(now time.Time) { ... }) // may add further events
//	q.Run(start.Add(time.Minute))
//
//	t := sequencer.NewTimeline(start) // a queue with the clock of its events
//	t.After(time.Second, func() { ... t.Now() ... })
//	t.RunUntil(start.Add(time.Minute))
package sequencer
