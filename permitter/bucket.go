package permitter

import (
	"time"

	"cyclamenhub.org/identifier"
)

// bucket is the state of a server of which a notice is known. It is empty when
// the server begins to announce a limit.
type bucket struct {
	known       observation
	level       float64 // permits that can be issued
	refilledAt  time.Time
	outstanding map[identifier.Host]permits
	// returns is the time at which the last refused call may come back.
	returns    time.Time
	reportedAt time.Time
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
func (b *bucket) rate() float64 { return float64(max(*b.known.limit, minRate)) }

// refill adds what the limit allows since the last refill. The bucket and the
// outstanding permits together have a bound, so that hosts that spend saved
// permits at the same moment stay within the limit. Permits that expired without
// a report may have been spent and are not taken back.
func (b *bucket) refill(now time.Time) {
	room := burstRequests + b.rate()*burstPeriod.Seconds()
	for h, p := range b.outstanding {
		if now.After(p.until) {
			delete(b.outstanding, h)
			continue
		}
		room -= float64(p.count)
	}
	b.level = max(min(b.level+b.rate()*now.Sub(b.refilledAt).Seconds(), room), 0)
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
	interval := time.Duration(float64(time.Second) / b.rate())
	if b.returns.Before(now) {
		return now.Add(time.Duration((1 - min(b.level, 1)) * float64(interval)))
	}
	return b.returns.Add(interval)
}
