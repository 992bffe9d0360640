package reserver

import (
	"time"

	"cyclamenhub.org/identifier"
)

// account holds the places of a server.
type account struct {
	service identifier.Service
	places  int
	// outstanding is the number of places that hosts take up, used that of the calls
	// reported.
	outstanding, used int
	// lowered is the number of places that are not issued since the server refused
	// calls, raisedAt when it last changed.
	lowered   int
	raisedAt  time.Time
	raiseTime time.Duration
	refusals  tally
	// former is the number of places that were outstanding under former runs of the
	// server, which count until formerUntil.
	former      int
	formerUntil time.Time
	// stoppedUntil is until when no place is issued, touched when a host last named the
	// server.
	stoppedUntil, touched time.Time
}

// room returns the number of places that may be outstanding.
func (a *account) room(now time.Time) int {
	if a.lowered > 0 && now.Sub(a.raisedAt) >= a.raiseTime {
		a.lowered--
		a.raisedAt = now
	}
	if now.Before(a.formerUntil) {
		return a.places - a.lowered - a.former
	}
	return a.places - a.lowered
}

// refuse records that the server refused calls, of which it survives limit in a second. If
// its places are bounded, it has less room than places, but for what hosts took up beyond
// them.
func (a *account) refuse(now time.Time, calls int, limit identifier.RequestRate, isBounded bool) {
	a.refusals.add(now, calls)
	if 2*a.refusals.recent(now) >= int(limit) {
		a.stoppedUntil = now.Add(stopTime)
	}
	if isBounded {
		over := max(a.outstanding-a.places, 0)
		a.lowered = min(a.lowered+max(calls-over, 0), a.places-1)
		a.raisedAt, a.raiseTime = now, raiseTime(limit)
	}
}

// raiseTime returns the time after which one more place is issued of those lowered by
// refusals.
func raiseTime(limit identifier.RequestRate) time.Duration {
	perSecond := raiseShare * float64(limit)
	if perSecond*maxRaiseTime.Seconds() <= 1 {
		return maxRaiseTime
	}
	return time.Duration(float64(time.Second) / perSecond)
}

// tallySlots is the number of parts of the second that a tally covers.
const tallySlots = 10

// tally counts what happened within the last second, in tenths.
type tally struct {
	counts [tallySlots]int
	last   int64 // the tenth of the newest count
}

// tenth returns the tenth of a second in which a time lies.
func tenth(t time.Time) int64 { return t.UnixMilli() / (1000 / tallySlots) }

// advance clears the tenths that have passed since the newest count.
func (t *tally) advance(now time.Time) {
	n := tenth(now)
	for i := max(t.last+1, n-tallySlots+1); i <= n; i++ {
		t.counts[i%tallySlots] = 0
	}
	t.last = max(t.last, n)
}

// add counts n.
func (t *tally) add(now time.Time, n int) {
	t.advance(now)
	t.counts[t.last%tallySlots] += n
}

// recent returns the count of the last second.
func (t *tally) recent(now time.Time) int {
	t.advance(now)
	sum := 0
	for _, c := range t.counts {
		sum += c
	}
	return sum
}
