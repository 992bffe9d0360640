package expirer

import (
	"bytes"
	"time"
)

// marginFraction is the part of a limit by which a wait outlasts it at least, and twice
// which it outlasts it at most.
const marginFraction = 0.05

// headSlack is how many bytes more than those of a head may be read with it: the server
// reads this many at a time, and so the beginning of a body.
const headSlack = 4 << 10

// What a head holds in memory: byteCost for each of its bytes and lineCost for each line, as
// a table of headers. headIncluded of it belongs to what each connection takes.
const (
	byteCost     = 2
	lineCost     = 160
	headIncluded = 8 << 10
)

// Limits bound how long callers' connections may wait, and what they may send.
type Limits struct {
	// Header is how long a caller may take to send a header, from its first byte.
	Header time.Duration
	// Idle is how long a connection may stay without a request.
	Idle time.Duration
	// HeadBytes is how many bytes a header may have, with the request line and the line
	// breaks before it. 0 means no limit.
	HeadBytes int
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

// lineBreak ends a line of a header.
var lineBreak = []byte("\n")

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
	// bytes and lines are those of the header, or of the line breaks, that have arrived, and
	// headBytes is the longest limit of them in force since the last request was answered.
	bytes, lines, headBytes int
}

// newWait returns the wait of a new connection.
func newWait(now time.Time, l Limits, spread float64) wait {
	return wait{start: now, limit: l.Idle, spread: spread, headBytes: l.HeadBytes}
}

// beginHeader begins the wait for the rest of a header.
func (w *wait) beginHeader(now time.Time, l Limits) {
	w.doing, w.start, w.limit = sending, now, l.Header
	w.used, w.ahead = true, false
}

// awaitRequest records that the last request was answered. Its caller may have the answer
// since before the latest change.
func (w *wait) awaitRequest(now time.Time, l Limits) {
	w.bytes, w.lines, w.headBytes = 0, 0, max(w.headBytes, l.HeadBytes)
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
		w.doing, w.limit, w.headBytes = busy, l.Idle, l.HeadBytes
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
	if w.doing != busy {
		w.bytes += len(b)
		w.lines += bytes.Count(b, lineBreak)
	}
}

// tooLarge reports whether more has arrived than the limit of headers allows.
func (w *wait) tooLarge() bool {
	return w.doing != busy && w.headBytes > 0 && w.bytes > w.headBytes+headSlack
}

// held returns the bytes of memory that the header holds beyond headIncluded, until its
// request is answered.
func (w *wait) held() int64 {
	return max(0, byteCost*int64(w.bytes)+lineCost*int64(w.lines)-headIncluded)
}

// raise applies limits that have come into force. A shorter one holds from the next wait
// on: the caller may rely on the former one.
func (w *wait) raise(l Limits) {
	w.headBytes = max(w.headBytes, l.HeadBytes)
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
