package sharer

import (
	"fmt"
	"sync"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/timer"
)

// mostPart is the most of a bucket's level that a host may take before it hears
// of the level again without a share of the demand, and mostAll what all hosts
// may take so together: more than there is, since seldom all ask at once, and
// what is taken too much is paid for afterwards.
const (
	mostPart = 0.3
	mostAll  = 1.2
)

// longestWait bounds the time to come back that a refusal tells.
const longestWait = 5 * time.Second

// Limiter holds one host's part of the customers' rates. It is safe for
// concurrent use.
type Limiter struct {
	clock timer.Clock

	mu      sync.Mutex
	rates   map[identifier.Customer]Rate
	others  identifier.Share
	allowed map[identifier.Customer]*allowance
	use     map[identifier.Customer]Use
}

// allowance is what the host may still take until the next grant.
type allowance struct {
	left  float64
	share identifier.Share
	// granted is when the leader's grant came, and at when left was refilled.
	granted, at time.Time
}

// NewLimiter returns a Limiter without rates.
func NewLimiter(clock timer.Clock) *Limiter {
	return &Limiter{clock: clock, allowed: make(map[identifier.Customer]*allowance), use: make(map[identifier.Customer]Use)}
}

// Configure replaces the rates.
func (l *Limiter) Configure(rates map[identifier.Customer]Rate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rates = rates
	for c, a := range l.allowed {
		r, ok := rates[c]
		if !ok {
			delete(l.allowed, c)
			continue
		}
		a.left = min(a.left, r.Burst)
	}
}

// SetGrants takes the leader's answer to a report. What was taken since that
// report is not known to the leader and is taken off.
func (l *Limiter) SetGrants(g Grants) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.others = g.Others
	for c, v := range g.Customers {
		part := max(float64(v.Share), min(mostPart, mostAll*float64(g.Others)))
		if v.Level < 0 {
			part = 1 // Nobody takes anything before the debt is paid.
		}
		l.allowed[c] = &allowance{left: part*v.Level - l.use[c].Taken, share: v.Share, granted: now, at: now}
	}
}

// Refusal tells why a call was not admitted.
type Refusal struct {
	// Wait is how long until a call may be admitted.
	Wait time.Duration
	// Left is the allowance, below 0 where it is overdrawn, PerSecond the fleet's
	// rate and Share the host's part of it.
	Left, PerSecond float64
	Share           identifier.Share
	// Age is that of the leader's grant.
	Age time.Duration
}

// Error tells the inputs of the decision.
func (r *Refusal) Error() string {
	return fmt.Sprintf("the customer's rate is used up: %.0f left of %.0f a second, share %.2f, granted %v ago: come back in %v",
		r.Left, r.PerSecond, r.Share, r.Age.Round(time.Millisecond), r.Wait.Round(time.Millisecond))
}

// Take takes cost from a customer's allowance, or refuses with a *Refusal. A call is admitted while anything is left and the rest is paid
// for afterwards, so that a call that costs more than the burst can run. What is
// refused counts as asked.
func (l *Limiter) Take(c identifier.Customer, cost float64) *Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.use[c]
	u.Asked += cost
	r := l.rates[c]
	a := l.allowanceOf(c, r)
	if r.PerSecond > 0 && a.left < min(cost, leastLeft) {
		l.use[c] = u
		return &Refusal{Wait: a.wait(r), Left: a.left, PerSecond: r.PerSecond, Share: a.share, Age: a.at.Sub(a.granted)}
	}
	a.left -= cost
	u.Taken += cost
	l.use[c] = u
	return nil
}

// leastLeft is what must be left for a call to be admitted.
const leastLeft = 1

// wait returns how long until the allowance admits a call.
func (a *allowance) wait(r Rate) time.Duration {
	perSecond := r.PerSecond * float64(a.share)
	if perSecond <= 0 {
		return longestWait
	}
	wait := time.Duration((leastLeft - a.left) / perSecond * float64(time.Second))
	return min(max(wait, time.Millisecond), longestWait)
}

// Return gives back what was taken for a call that surely did not run.
func (l *Limiter) Return(c identifier.Customer, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.allowed[c]; a != nil {
		a.left += cost
	}
	u := l.use[c]
	u.Taken -= cost
	l.use[c] = u
}

// TakeUse returns the use since the last call.
func (l *Limiter) TakeUse() map[identifier.Customer]Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	use := l.use
	l.use = make(map[identifier.Customer]Use)
	return use
}

// allowanceOf returns the refilled allowance of a customer. The caller holds mu.
func (l *Limiter) allowanceOf(c identifier.Customer, r Rate) *allowance {
	now := l.clock.Now()
	a := l.allowed[c]
	if a == nil {
		a = &allowance{left: startLevel * r.Burst * float64(l.others), share: l.others, granted: now, at: now}
		l.allowed[c] = a
	}
	if d := now.Sub(a.at).Seconds(); d > 0 {
		a.left = min(a.left+d*r.PerSecond*float64(a.share), r.Burst)
		a.at = now
	}
	return a
}
