package admitter

import (
	"math"
	"time"

	"cyclamenhub.org/identifier"
)

// bucket is a token bucket that holds a host's share of a fleet-wide rate. A
// rate of 0 means no bound.
//
// setShare never raises the level when the share grows and cuts it when the
// share shrinks, so that the levels of all hosts together never exceed one
// burst of the fleet.
type bucket struct {
	// rate, in units per second, and burst, in units, are those of the entire
	// fleet.
	rate, burst float64
	share       identifier.Share
	// level is the number of available units at the time at.
	level float64
	at    time.Time
}

// newBucket returns a full bucket.
func newBucket(rate, burst float64, share identifier.Share, now time.Time) bucket {
	return bucket{rate: rate, burst: burst, share: share, level: burst * float64(share), at: now}
}

// refill adds the units accrued since the last call.
func (b *bucket) refill(now time.Time) {
	if d := now.Sub(b.at).Seconds(); d > 0 {
		b.level = min(b.level+d*b.rate*float64(b.share), b.burst*float64(b.share))
		b.at = now
	}
}

// setShare changes the share from now on.
func (b *bucket) setShare(s identifier.Share, now time.Time) {
	b.refill(now)
	b.share = s
	b.level = min(b.level, b.burst*float64(s))
}

// wait returns the time until n units can be taken; 0 means now. An amount
// above the bucket's burst could never be available in full, so wait allows
// it when the bucket is full; taking it lowers the level below 0 until the
// amount has accrued.
func (b *bucket) wait(n float64, now time.Time) time.Duration {
	if b.rate <= 0 {
		return 0
	}
	b.refill(now)
	need := min(n, b.burst*float64(b.share))
	if b.level >= need && b.share > 0 {
		return 0
	}
	perSecond := b.rate * float64(b.share)
	if perSecond <= 0 {
		return maxRetryAfter
	}
	return seconds((need - b.level) / perSecond)
}

// take removes n units; the level may fall below 0.
func (b *bucket) take(n float64) {
	if b.rate > 0 {
		b.level -= n
	}
}

// refund returns n units that were taken and not used.
func (b *bucket) refund(n float64, now time.Time) {
	if b.rate <= 0 || n <= 0 {
		return
	}
	b.refill(now)
	b.level = min(b.level+n, b.burst*float64(b.share))
}

// seconds converts s seconds to a duration between 0 and maxRetryAfter. NaN
// gives maxRetryAfter.
func seconds(s float64) time.Duration {
	if math.IsNaN(s) || s > maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(max(s, 0) * float64(time.Second))
}
