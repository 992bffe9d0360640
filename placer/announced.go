package placer

import (
	"math/rand/v2"
	"time"

	"cyclamenhub.org/announcer"
	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
)

const (
	// pauseJitterDivisor and minPauseJitter give the longest random time that is
	// added to a pause, so that not all hosts come back at its end.
	pauseJitterDivisor = 8
	minPauseJitter     = 100 * time.Millisecond
)

// announced is what the responses of a server said about whether it takes calls.
type announced struct {
	// isLeaving is whether the server leaves, leavingAt when a response last said
	// so.
	isLeaving bool
	leavingAt time.Time
	// pausedUntil is the end of the time for which the server wants no calls. It
	// is zero again once a call after that has got its first content.
	pausedUntil time.Time
	// probe is the one call that is sent after a pause, until it has its first
	// content or ends.
	probe *Choice
	// unreadable are the announcements that could not be decoded.
	unreadable map[describer.Announcement]bool
}

// takesCalls reports whether the server has announced nothing that forbids a new
// call.
func (a *announced) takesCalls(now time.Time) bool {
	return !a.isLeaving && !now.Before(a.pausedUntil) && (a.pausedUntil.IsZero() || a.probe == nil)
}

// begin records that a call was assigned to the server.
func (a *announced) begin(c *Choice) {
	if !a.pausedUntil.IsZero() {
		a.probe = c
	}
}

// end records that a call has its first content or has ended.
func (a *announced) end(c *Choice, now time.Time, succeeded bool) {
	if a.probe != c {
		return
	}
	a.probe = nil
	if succeeded && !now.Before(a.pausedUntil) {
		a.pausedUntil = time.Time{}
	}
}

// RecordLeaving records whether a response of the server announced that it
// leaves. It returns whether that is news.
func (r Responder) RecordLeaving(leaving bool) bool {
	r.p.mu.Lock()
	defer r.p.mu.Unlock()
	a, now := &r.state.announced, r.p.opts.Clock.Now()
	was := a.isLeaving
	switch {
	case leaving:
		a.isLeaving, a.leavingAt = true, now
	case now.Sub(a.leavingAt) > announcer.EndMargin:
		a.isLeaving = false
	}
	return was != a.isLeaving
}

// IsLeaving reports whether the chosen server has announced that it leaves.
func (c *Choice) IsLeaving() bool {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	return c.state.Leaving || c.state.announced.isLeaving
}

// RecordPause records that the chosen server wants no calls of this host for the
// given time. No call is sent there until the time is over. Then one is, and
// others once it has got its first content.
func (c *Choice) RecordPause(d time.Duration) {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	a := &c.state.announced
	until := c.p.opts.Clock.Now().Add(d + pauseJitter(c.p.opts.Random, d))
	if until.After(a.pausedUntil) {
		a.pausedUntil = until
	}
	if a.probe == c {
		a.probe = nil
	}
}

// pauseJitter returns the random time that is added to a pause.
func pauseJitter(r *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(max(d/pauseJitterDivisor, minPauseJitter))))
}

// RecordUnreadable records that a response of the server announced
// something that cannot be decoded. It returns true at the first such response
// of the server.
func (r Responder) RecordUnreadable(what describer.Announcement) bool {
	r.p.mu.Lock()
	defer r.p.mu.Unlock()
	a := &r.state.announced
	if a.unreadable[what] {
		return false
	}
	if a.unreadable == nil {
		a.unreadable = make(map[describer.Announcement]bool)
	}
	a.unreadable[what] = true
	return true
}

// noServerError returns the error of a call that no server takes. The caller
// holds mu.
func (p *Placer) noServerError(all []*serverState, r *Request, now time.Time) *NoServerError {
	p.noServer.Inc()
	staying := p.notEvacuated(all)
	e := &NoServerError{Service: r.Service, Version: r.Version, Listed: len(all), Evacuated: len(all) - len(staying), Excluded: len(r.Exclude)}
	e.Paused, e.Wait = pausesOf(staying, now)
	return e
}

// pausesOf returns the number of servers that want no calls for some time, and
// the time until the first of those that do not leave takes calls, 0 if one does
// now.
func pausesOf(all []*serverState, now time.Time) (paused int, wait time.Duration) {
	staying := 0
	for _, s := range all {
		if s.Leaving || s.announced.isLeaving {
			continue
		}
		staying++
		left := s.announced.pausedUntil.Sub(now)
		if left <= 0 {
			continue
		}
		paused++
		if wait == 0 || left < wait {
			wait = left
		}
	}
	if paused < staying {
		return paused, 0
	}
	return paused, wait
}

// Wait returns the time until a server of a version takes calls, as far as pauses
// are concerned.
func (p *Placer) Wait(s identifier.Service, v identifier.Version) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, wait := pausesOf(p.notEvacuated(p.pools[pool{s, v}]), p.opts.Clock.Now())
	return wait
}
