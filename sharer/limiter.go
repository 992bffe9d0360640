package sharer

import (
	"fmt"
	"sync"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/timer"
)

// maxWait caps the wait that a refusal reports.
const maxWait = 5 * time.Second

// Limiter enforces the rates of the customers on one host. It is safe for
// concurrent use.
type Limiter struct {
	clock timer.Clock

	mu         sync.Mutex
	rates      map[identifier.Customer]Rate
	others     identifier.Share
	allowances map[identifier.Customer]*allowance
	use        map[identifier.Customer]Use
	// grantedAt is when the last grants arrived, grantInterval the time between
	// the last two.
	grantedAt     time.Time
	grantInterval time.Duration
}

// allowance is what the host may still admit for a customer until the next
// grant.
type allowance struct {
	left  float64
	share identifier.Share
	// granted is when the grant of the leader arrived, refilledAt when left was
	// last refilled.
	granted, refilledAt time.Time
	// renewable is whether the customer's bucket was not empty, so that the next
	// grant allows more calls.
	renewable bool
}

// NewLimiter returns a Limiter without rates.
func NewLimiter(clock timer.Clock) *Limiter {
	return &Limiter{clock: clock, allowances: make(map[identifier.Customer]*allowance), use: make(map[identifier.Customer]Use)}
}

// Configure replaces the rates.
func (l *Limiter) Configure(rates map[identifier.Customer]Rate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rates = rates
	for c, a := range l.allowances {
		r, ok := rates[c]
		if !ok {
			delete(l.allowances, c)
			continue
		}
		a.left = min(a.left, r.Burst)
	}
}

// SetGrants applies the leader's reply to a report. The leader does not know
// what was taken since that report, so it is subtracted.
func (l *Limiter) SetGrants(g Grants) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.others = g.Others
	if !l.grantedAt.IsZero() {
		l.grantInterval = now.Sub(l.grantedAt)
	}
	l.grantedAt = now
	for c, v := range g.Customers {
		part := v.Part
		if part == 0 {
			part = max(v.Share, g.Others) // The leader is of an older release.
		}
		l.allowances[c] = &allowance{
			left: float64(part)*v.Level - l.use[c].Taken, share: v.Share, granted: now, refilledAt: now, renewable: v.Level > 0,
		}
	}
}

// Refusal reports why a call was not admitted.
type Refusal struct {
	// Wait is the time until a call may be admitted.
	Wait time.Duration
	// Left is the allowance, negative while it is overdrawn. PerSecond is the
	// customer's rate over all hosts, and Share the host's share of it.
	Left, PerSecond float64
	Share           identifier.Share
	// Age is the age of the leader's grant.
	Age time.Duration
}

// Error returns a message with the inputs of the decision.
func (r *Refusal) Error() string {
	return fmt.Sprintf("the customer's rate is used up: %.0f left of %.0f a second, share %.2f, granted %v ago: come back in %v",
		r.Left, r.PerSecond, r.Share, r.Age.Round(time.Millisecond), r.Wait.Round(time.Millisecond))
}

// Take takes cost from a customer's allowance, or refuses the call with a
// *Refusal. A call needs only minLeft, or its cost if that is less, and may
// overdraw the allowance, so that a call that costs more than the burst can
// run. The cost of a refused call counts as demand.
func (l *Limiter) Take(c identifier.Customer, cost float64) *Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.use[c]
	u.Asked += cost
	r := l.rates[c]
	a := l.allowanceOf(c, r)
	if r.PerSecond > 0 && a.left < min(cost, minLeft) {
		l.use[c] = u
		return &Refusal{Wait: l.wait(a, r), Left: a.left, PerSecond: r.PerSecond, Share: a.share, Age: a.refilledAt.Sub(a.granted)}
	}
	a.left -= cost
	u.Taken += cost
	l.use[c] = u
	return nil
}

// minLeft is the allowance that suffices to admit a call of any cost.
const minLeft = 1

// wait returns the time until the allowance admits a call: when the host's share
// of the rate has refilled it or, if the customer's bucket is not empty, when the
// next grant is due. The caller holds mu.
func (l *Limiter) wait(a *allowance, r Rate) time.Duration {
	wait := maxWait
	if perSecond := r.PerSecond * float64(a.share); perSecond > 0 {
		wait = min(wait, time.Duration((minLeft-a.left)/perSecond*float64(time.Second)))
	}
	if untilGrant := l.grantInterval - l.clock.Now().Sub(a.granted); a.renewable && untilGrant > 0 {
		wait = min(wait, untilGrant)
	}
	return max(wait, time.Millisecond)
}

// Return gives back what was taken for a call that certainly did not run.
func (l *Limiter) Return(c identifier.Customer, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.allowances[c]; a != nil {
		a.left += cost
	}
	u := l.use[c]
	u.Taken -= cost
	l.use[c] = u
}

// TakeUse returns and resets the use since the previous call of TakeUse.
func (l *Limiter) TakeUse() map[identifier.Customer]Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	use := l.use
	l.use = make(map[identifier.Customer]Use)
	return use
}

// allowanceOf returns the refilled allowance of a customer. The caller holds
// mu.
func (l *Limiter) allowanceOf(c identifier.Customer, r Rate) *allowance {
	now := l.clock.Now()
	a := l.allowances[c]
	if a == nil {
		a = &allowance{left: initialLevel * r.Burst * float64(l.others), share: l.others, granted: now, refilledAt: now}
		l.allowances[c] = a
	}
	if d := now.Sub(a.refilledAt).Seconds(); d > 0 {
		a.left = min(a.left+d*r.PerSecond*float64(a.share), r.Burst)
		a.refilledAt = now
	}
	return a
}
