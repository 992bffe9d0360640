package admitter

import (
	"time"

	"cyclamenhub.org/identifier"
)

// customer holds a customer's token buckets and demand on this host.
type customer struct {
	limits           CustomerLimits
	requests, tokens bucket
	// demand is what the customer has asked for since the last report, in
	// requests and tokens, whether granted or not.
	demand Demand
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

// setLimits changes the limits. It keeps the levels of the buckets, cut to the
// new bursts.
func (c *customer) setLimits(l CustomerLimits, burst time.Duration, now time.Time) {
	fresh := newCustomer(l, burst, c.requests.share, now)
	for _, b := range [...]struct{ old, fresh *bucket }{{&c.requests, &fresh.requests}, {&c.tokens, &fresh.tokens}} {
		if b.old.rate > 0 {
			b.old.refill(now)
			b.fresh.level = min(b.old.level, b.fresh.level)
		}
	}
	fresh.demand = c.demand
	*c = *fresh
}

// wait returns the time until both rates allow r; 0 means now.
func (c *customer) wait(r *Request, now time.Time) time.Duration {
	return max(c.requests.wait(1, now), c.tokens.wait(float64(r.MaxTokens), now))
}

// charge takes one request and r.MaxTokens tokens from the buckets.
func (c *customer) charge(r *Request) {
	c.requests.take(1)
	c.tokens.take(float64(r.MaxTokens))
}

// refund returns all that was charged for r, which will not run.
func (c *customer) refund(r *Request, now time.Time) {
	c.requests.refund(1, now)
	c.tokens.refund(float64(r.MaxTokens), now)
}

// setShare changes this host's share of both rates.
func (c *customer) setShare(s identifier.Share, now time.Time) {
	c.requests.setShare(s, now)
	c.tokens.setShare(s, now)
}
