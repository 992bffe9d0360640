package relayer

import (
	"time"

	"cyclamenhub.org/identifier"
)

// Attempt is an attempt on a server, from before its connection is opened to the first
// byte of the response. It ends with the first call of Answered, Failed, DialFailed or
// End; the later ones do nothing.
type Attempt struct {
	reach   *Reach
	contact *contact
	server  identifier.BackendServer
	since   time.Time
	ended   bool // guarded by reach.mu
}

// Dialed records that a fresh connection for the attempt was opened, and reports
// whether the host's belief about the service changed. It may be called after the end
// of the attempt.
func (a *Attempt) Dialed() (changed bool) {
	a.reach.mu.Lock()
	defer a.reach.mu.Unlock()
	return a.contact.open(a.reach.clock.Now(), a.server)
}

// Answered records that a byte of a response arrived.
func (a *Attempt) Answered() {
	a.end(func(c *contact, now time.Time) { c.answer(now, a.server) })
}

// DialFailed records that no fresh connection could be opened. A dial that began before
// another one succeeded says nothing about the time since.
func (a *Attempt) DialFailed() {
	a.end(func(c *contact, now time.Time) {
		if a.since.Before(c.openedAt) {
			return
		}
		c.fail(now, a)
		c.refuse(now, a.server)
	})
}

// Failed records that the connection broke without a byte.
func (a *Attempt) Failed() {
	a.end(func(c *contact, now time.Time) { c.fail(now, a) })
}

// End records that the attempt ended for another reason: its caller left, or its own
// time-out passed.
func (a *Attempt) End() { a.end(func(*contact, time.Time) {}) }

// end ends the attempt with an outcome, unless it has ended.
func (a *Attempt) end(outcome func(c *contact, now time.Time)) {
	a.reach.mu.Lock()
	defer a.reach.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	delete(a.contact.waiting, a)
	outcome(a.contact, a.reach.clock.Now())
}
