package permitter

import (
	"time"

	"cyclamenhub.org/announcer"
	"cyclamenhub.org/identifier"
)

// bucket is the state of a server of which a notice is known, or that is cold. It
// is empty when the server begins to have a limit.
type bucket struct {
	known       announcer.Observation
	warmUp      warmUp
	level       float64 // permits that can be issued
	refilledAt  time.Time
	outstanding map[identifier.Host]permits
	// returns is the time at which the last refused call may come back.
	returns    time.Time
	reportedAt time.Time
}

// newBucket returns the bucket of a server without a limit.
func newBucket(now time.Time) *bucket {
	return &bucket{refilledAt: now, reportedAt: now, outstanding: make(map[identifier.Host]permits)}
}

// limit returns the limit of the server, or nil if it has none.
func (b *bucket) limit(now time.Time) *identifier.RequestRate {
	return b.warmUp.lower(now, b.known.Rate)
}

// begin empties the bucket if the server has no limit yet.
func (b *bucket) begin(now time.Time) {
	if b.limit(now) == nil {
		b.level, b.refilledAt = 0, now
	}
}

// learn merges an observation.
func (b *bucket) learn(now time.Time, o announcer.Observation) {
	if o.Supersedes(b.known) {
		b.begin(now)
		b.known = o
	}
}

// isOver reports whether nothing is left to say about the server: it announced
// nothing and is warm.
func (b *bucket) isOver(now time.Time) bool {
	return b.known.At.IsZero() && !b.warmUp.isCold(now)
}

// permits are those that a host may still spend.
type permits struct {
	grant GrantID
	count int
	until time.Time
}

// settle takes back what a host reports as dropped. If the host has not applied
// its last grant, that grant may still arrive and is left to expire.
func (b *bucket) settle(host identifier.Host, applied GrantID, spent int) {
	p, ok := b.outstanding[host]
	if !ok || p.grant != applied {
		return
	}
	b.level += float64(max(p.count-spent, 0))
	delete(b.outstanding, host)
}

// rate returns the rate at which permits are issued, per second.
func (b *bucket) rate(now time.Time) float64 {
	limit := b.limit(now)
	if limit == nil {
		return float64(minRate) // A former limit may still be asked for.
	}
	return float64(max(*limit, minRate))
}

// refill adds what the limit allows since the last refill. The bucket and the
// outstanding permits together have a bound, so that hosts that spend saved
// permits at the same moment stay within the limit. Permits that expired without
// a report may have been spent and are not taken back.
func (b *bucket) refill(now time.Time) {
	rate := b.rate(now)
	room := burstRequests + rate*burstPeriod.Seconds()
	for h, p := range b.outstanding {
		if now.After(p.until) {
			delete(b.outstanding, h)
			continue
		}
		room -= float64(p.count)
	}
	b.level = max(min(b.level+rate*now.Sub(b.refilledAt).Seconds(), room), 0)
	b.refilledAt = now
}

// spare returns the number of permits that may be issued to a host that has
// other servers for its calls: half of them, but one if there is one.
func (b *bucket) spare() int { return (int(b.level) + 1) / 2 }

// issue issues n permits to a host and returns n.
func (b *bucket) issue(now time.Time, host identifier.Host, g GrantID, n int) int {
	if n == 0 {
		return 0
	}
	b.level -= float64(n)
	// The host may still have permits of a grant whose response was lost.
	earlier := b.outstanding[host].count
	b.outstanding[host] = permits{grant: g, count: earlier + n, until: now.Add(permitTTL)}
	return n
}

// nextReturn returns the time at which the next refused call may come back: when
// a permit becomes available after those for which other calls come back.
func (b *bucket) nextReturn(now time.Time) time.Time {
	interval := time.Duration(float64(time.Second) / b.rate(now))
	if b.returns.Before(now) {
		return now.Add(time.Duration((1 - min(b.level, 1)) * float64(interval)))
	}
	return b.returns.Add(interval)
}
