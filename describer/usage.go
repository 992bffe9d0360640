package describer

import (
	"time"

	"cyclamenhub.org/identifier"
)

// Window is the number of a time window of fixed length, counted from 1970.
type Window int64

// WindowAt returns the window of the given length that contains t.
func WindowAt(t time.Time, length time.Duration) Window {
	return Window(t.UnixNano() / int64(length))
}

// End returns the time at which w ends.
func (w Window) End(length time.Duration) time.Time {
	return time.Unix(0, (int64(w)+1)*int64(length))
}

// Counts is the number of calls of each customer.
type Counts map[identifier.Customer]int64

// Total returns the number of calls of all customers together.
func (c Counts) Total() int64 {
	var sum int64
	for _, n := range c {
		sum += n
	}
	return sum
}
