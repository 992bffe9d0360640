package expirer

import (
	"bytes"
	"time"
)

// marginFraction is the part of a limit by which a wait outlasts it at least, and twice
// which it outlasts it at most.
const marginFraction = 0.05

// Limits bound how long callers' connections may wait.
type Limits struct {
	// Header is how long a caller may take to send a header, from its first byte.
	Header time.Duration
	// Idle is how long a connection may stay without a request.
	Idle time.Duration
}

// activity is what a connection is doing.
type activity int

const (
	// idle: it waits for a request, of which no byte has arrived.
	idle activity = iota
	// sending: a part of a header has arrived.
	sending
	// busy: a request has arrived up to its body and is not answered.
	busy
)

// wait is what a connection waits for and how long it may. It is not safe for concurrent
// use.
type wait struct {
	doing activity
	// start is when the wait began, and limit the longest limit in force since. While
	// busy, limit is the longest one for idle connections since the request arrived.
	start time.Time
	limit time.Duration
	// spread, from 0 to 1, places the end within the margin.
	spread float64
	// used is set once a byte of a request has arrived, and ahead if, while busy, the
	// last one that arrived belongs to the next request.
	used, ahead bool
}

// newWait returns the wait of a new connection.
func newWait(now time.Time, l Limits, spread float64) wait {
	return wait{start: now, limit: l.Idle, spread: spread}
}

// beginHeader begins the wait for the rest of a header.
func (w *wait) beginHeader(now time.Time, l Limits) {
	w.doing, w.start, w.limit = sending, now, l.Header
	w.used, w.ahead = true, false
}

// awaitRequest records that the last request was answered. Its caller may have the answer
// since before the latest change.
func (w *wait) awaitRequest(now time.Time, l Limits) {
	if w.ahead {
		w.beginHeader(now, l)
		return
	}
	w.doing, w.start, w.limit = idle, now, max(w.limit, l.Idle)
}

// awaitHeader records that the server waits for a header. It does so too on a new
// connection, on which nothing has arrived.
func (w *wait) awaitHeader(now time.Time, l Limits) {
	if w.doing == idle && w.used {
		w.beginHeader(now, l)
	}
}

// answer records that a request has arrived up to its body.
func (w *wait) answer(l Limits) {
	if w.doing != busy {
		w.doing, w.limit = busy, l.Idle
	}
}

// arrived records that bytes were read into a buffer of the given size. The server reads
// a single byte while it answers to notice the next request or that the caller has left.
// Line breaks between requests belong to none.
func (w *wait) arrived(b []byte, size int, now time.Time, l Limits) {
	begins := len(bytes.Trim(b, "\r\n")) > 0
	switch {
	case w.doing == idle && begins:
		w.beginHeader(now, l)
	case w.doing == busy:
		w.ahead = begins && size == 1
	}
}

// raise applies limits that have come into force. A shorter one holds from the next wait
// on: the caller may rely on the former one.
func (w *wait) raise(l Limits) {
	switch w.doing {
	case idle, busy:
		w.limit = max(w.limit, l.Idle)
	case sending:
		w.limit = max(w.limit, l.Header)
	}
}

// end returns when the wait ends, and false if it has no limit.
func (w *wait) end() (time.Time, bool) {
	margin := time.Duration(marginFraction * (1 + w.spread) * float64(w.limit))
	return w.start.Add(w.limit + margin), w.doing != busy
}
