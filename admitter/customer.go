package admitter

import (
	"time"

	"cyclamenhub.org/identifier"
)

// customer is a customer's buckets on this host.
type customer struct {
	limits           CustomerLimits
	requests, tokens bucket
	// wanted counts what was asked for since the last report, in requests and
	// tokens, whether it was granted or not.
	wanted Demand
}

// newCustomer returns a customer with full buckets.
func newCustomer(l CustomerLimits, burst time.Duration, share identifier.Share, now time.Time) *customer {
	if l.Weight <= 0 {
		l.Weight = 1
	}
	return &customer{
		limits:   l,
		requests: newBucket(l.RequestsPerSecond, max(l.RequestsPerSecond*burst.Seconds(), 1), share, now),
		tokens:   newBucket(l.TokensPerSecond, l.TokensPerSecond*burst.Seconds(), share, now),
	}
}

// setLimits changes the limits and keeps what the buckets hold.
func (c *customer) setLimits(l CustomerLimits, burst time.Duration, now time.Time) {
	fresh := newCustomer(l, burst, c.requests.share, now)
	for _, b := range [...]struct{ old, fresh *bucket }{{&c.requests, &fresh.requests}, {&c.tokens, &fresh.tokens}} {
		if b.old.rate > 0 {
			b.old.refill(now)
			b.fresh.level = min(b.old.level, b.fresh.level)
		}
	}
	fresh.wanted = c.wanted
	*c = *fresh
}

// wait returns how long until the rates allow r; 0 means now.
func (c *customer) wait(r *Request, now time.Time) time.Duration {
	return max(c.requests.wait(1, now), c.tokens.wait(float64(r.MaxTokens), now))
}

// take charges r.
func (c *customer) take(r *Request) {
	c.requests.take(1)
	c.tokens.take(float64(r.MaxTokens))
}

// untake gives back all that was charged for r, which will not run.
func (c *customer) untake(r *Request, now time.Time) {
	c.requests.giveBack(1, now)
	c.tokens.giveBack(float64(r.MaxTokens), now)
}

// setShare changes this host's part of both rates.
func (c *customer) setShare(s identifier.Share, now time.Time) {
	c.requests.setShare(s, now)
	c.tokens.setShare(s, now)
}
