package sharer

import (
	"sync"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/timer"
)

// Rate bounds one customer over the whole fleet.
type Rate struct {
	// PerSecond is the rate; 0 means no bound.
	PerSecond float64
	// Burst is what may be saved up.
	Burst float64
}

// Limiter holds one host's part of the customers' rates. It is safe for
// concurrent use.
type Limiter struct {
	clock timer.Clock

	mu      sync.Mutex
	rates   map[identifier.Customer]Rate
	shares  Shares
	buckets map[identifier.Customer]*bucket
	asked   Demand
}

// bucket is a token bucket for a share of a rate. The level is not topped up
// when the share grows and is cut when it shrinks, so that the levels of all
// hosts together stay within one burst.
type bucket struct {
	level float64
	at    time.Time
}

// NewLimiter returns a Limiter without rates.
func NewLimiter(clock timer.Clock) *Limiter {
	return &Limiter{clock: clock, buckets: make(map[identifier.Customer]*bucket), asked: make(Demand)}
}

// Configure replaces the rates.
func (l *Limiter) Configure(rates map[identifier.Customer]Rate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rates = rates
	for c := range l.buckets {
		if _, ok := rates[c]; !ok {
			delete(l.buckets, c)
		}
	}
}

// SetShares replaces this host's shares.
func (l *Limiter) SetShares(s Shares) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for c, b := range l.buckets {
		l.refill(c, b, now)
	}
	l.shares = s
	for c, b := range l.buckets {
		b.level = min(b.level, l.rates[c].Burst*float64(s.of(c)))
	}
}

// Take takes cost from a customer's bucket, or returns how long until that is
// possible. What is refused counts as demand too.
func (l *Limiter) Take(c identifier.Customer, cost float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked[c] += cost
	r := l.rates[c]
	if r.PerSecond <= 0 {
		return 0
	}
	b := l.bucketOf(c)
	share := float64(l.shares.of(c))
	// A cost above the bucket's size is let through by a full bucket and paid
	// for afterwards, since it could never be met otherwise.
	need := min(cost, r.Burst*share)
	if b.level >= need && share > 0 {
		b.level -= cost
		return 0
	}
	perSecond := r.PerSecond * share
	if perSecond <= 0 {
		return time.Second
	}
	return max(time.Duration((need-b.level)/perSecond*float64(time.Second)), time.Millisecond)
}

// Return gives back what was taken for a call that surely did not run.
func (l *Limiter) Return(c identifier.Customer, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[c]; b != nil {
		b.level = min(b.level+cost, l.rates[c].Burst*float64(l.shares.of(c)))
	}
}

// TakeDemand returns what was asked since the last call.
func (l *Limiter) TakeDemand() Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	asked := l.asked
	l.asked = make(Demand)
	return asked
}

// bucketOf returns the bucket of a customer, refilled. The caller holds mu.
func (l *Limiter) bucketOf(c identifier.Customer) *bucket {
	now := l.clock.Now()
	b := l.buckets[c]
	if b == nil {
		b = &bucket{level: l.rates[c].Burst * float64(l.shares.of(c)), at: now}
		l.buckets[c] = b
	}
	l.refill(c, b, now)
	return b
}

// refill adds what has accrued. The caller holds mu.
func (l *Limiter) refill(c identifier.Customer, b *bucket, now time.Time) {
	share := float64(l.shares.of(c))
	if d := now.Sub(b.at).Seconds(); d > 0 {
		b.level = min(b.level+d*l.rates[c].PerSecond*share, l.rates[c].Burst*share)
		b.at = now
	}
}
