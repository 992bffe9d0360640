package expirer

import (
	"iter"
	"slices"
	"time"
)

// queueSize is how many connections a queue holds, so that a choice seldom looks at all.
const queueSize = 64

// queue chooses the connection that has waited longest. It holds some connections in the
// order in which their waits began. One whose wait has ended is passed over; those that
// begin to wait later come after all that it holds. It is not safe for concurrent use.
type queue[C any] struct{ waiters []waiter[C] }

// waiter is a connection and the time since which it waits.
type waiter[C any] struct {
	conn  C
	since time.Time
}

// take removes and returns the connection that has waited longest, and false if none waits.
// since returns when the wait of a connection began, and false if it does not wait.
func (q *queue[C]) take(all iter.Seq[C], since func(C) (time.Time, bool)) (C, bool) {
	if c, ok := q.next(since); ok {
		return c, true
	}
	q.fill(all, since)
	return q.next(since)
}

// next removes and returns the first connection that waits since it was put in.
func (q *queue[C]) next(since func(C) (time.Time, bool)) (C, bool) {
	for len(q.waiters) > 0 {
		w := q.waiters[0]
		q.waiters = q.waiters[1:]
		if t, waits := since(w.conn); waits && t.Equal(w.since) {
			return w.conn, true
		}
	}
	var none C
	return none, false
}

// fill puts in the connections that have waited longest.
func (q *queue[C]) fill(all iter.Seq[C], since func(C) (time.Time, bool)) {
	var found []waiter[C]
	for c := range all {
		if t, waits := since(c); waits {
			found = append(found, waiter[C]{c, t})
		}
	}
	slices.SortFunc(found, func(a, b waiter[C]) int { return a.since.Compare(b.since) })
	q.waiters = slices.Clone(found[:min(len(found), queueSize)])
}

// spareFraction is the fraction of a capacity in which room is made.
const spareFraction = 16

// capacity is the largest amount of something; 0 means that there is none.
type capacity int64

// exceededBy reports whether an amount is too large.
func (c capacity) exceededBy(n int64) bool { return c > 0 && n > int64(c) }

// needsRoom reports whether so much of an amount must go that there is some to spare.
func (c capacity) needsRoom(n int64) bool {
	return c > 0 && n > int64(c)-max(1, int64(c)/spareFraction)
}
