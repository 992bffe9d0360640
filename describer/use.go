package describer

import (
	"time"

	"cyclamenhub.org/identifier"
)

// Window numbers the windows of the time of day from 1970 on.
type Window int64

// WindowAt returns the window of a length that t lies in.
func WindowAt(t time.Time, length time.Duration) Window {
	return Window(t.UnixNano() / int64(length))
}

// End returns when w ends.
func (w Window) End(length time.Duration) time.Time {
	return time.Unix(0, (int64(w)+1)*int64(length))
}

// Counts are calls by customer.
type Counts map[identifier.Customer]int64

// Total returns the calls of all customers.
func (c Counts) Total() int64 {
	var sum int64
	for _, n := range c {
		sum += n
	}
	return sum
}
