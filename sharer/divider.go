package sharer

import (
	"math"
	"time"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
)

const (
	// demandHalfLife is the time in which an old demand loses half its weight.
	demandHalfLife = 1500 * time.Millisecond
	// floorShare is the part of every rate that is divided equally, so that a
	// customer's first call at a host is not refused.
	floorShare identifier.Share = 0.2
	// startLevel is the part of the burst that a new leader, which does not know
	// what was used, begins with.
	startLevel = 0.5
)

// Rate bounds one customer over the whole fleet.
type Rate struct {
	// PerSecond is the rate; 0 means no bound.
	PerSecond float64
	// Burst is what may be saved up.
	Burst float64
}

// tolerancePart is the part of a tolerance that is given away, so that no call
// is refused that is allowed. The rest covers what hosts take before they hear
// of each other.
const tolerancePart = 0.5

// With returns the rate that makes use of a tolerance. A rate of 0 stays.
func (r Rate) With(t describer.Tolerance) Rate {
	if r.PerSecond <= 0 || t.Window <= 0 {
		return r
	}
	factor := 1 + tolerancePart*t.Overrun
	return Rate{PerSecond: r.PerSecond*factor + tolerancePart*t.Slack/t.Window.Seconds(), Burst: r.Burst * factor}
}

// Use is what a customer asked of one host and took there since the host's last
// report, in the unit of the rates.
type Use struct{ Asked, Taken float64 }

// Grant is what a host may take of a customer's rate.
type Grant struct {
	// Level is that of the fleet's bucket; it may be below 0.
	Level float64
	// Share is the host's part of the customer's demand.
	Share identifier.Share
}

// Grants are what one host may take. Others is the share of a customer that is
// not listed, whose bucket is full.
type Grants struct {
	Customers map[identifier.Customer]Grant
	Others    identifier.Share
}

// Divider keeps the fleet's buckets and divides the rates by demand. It is pure:
// reports go in, grants come out. It is not safe for concurrent use.
type Divider struct {
	silence time.Duration
	rates   map[identifier.Customer]Rate
	buckets map[identifier.Customer]*bucket
	hosts   map[identifier.Host]*hostDemand
	// demand is the sum over all hosts, kept with every report: the leader of 300
	// hosts grants 1,200 times a second.
	demand map[identifier.Customer]float64
}

// bucket is a token bucket whose level may fall below 0.
type bucket struct {
	level float64
	at    time.Time
}

// refill adds what has accrued.
func (b *bucket) refill(r Rate, now time.Time) {
	if d := now.Sub(b.at).Seconds(); d > 0 {
		b.level = min(b.level+d*r.PerSecond, r.Burst)
		b.at = now
	}
}

// hostDemand is what one host was asked lately.
type hostDemand struct {
	heard time.Time
	level map[identifier.Customer]float64
}

// NewDivider returns a Divider that forgets a host after a time of silence.
func NewDivider(silence time.Duration) *Divider {
	return &Divider{
		silence: silence, hosts: make(map[identifier.Host]*hostDemand),
		buckets: make(map[identifier.Customer]*bucket), demand: make(map[identifier.Customer]float64),
	}
}

// Configure replaces the rates.
func (d *Divider) Configure(rates map[identifier.Customer]Rate) {
	d.rates = rates
	for c, b := range d.buckets {
		r, ok := rates[c]
		if !ok {
			delete(d.buckets, c)
			continue
		}
		b.level = min(b.level, r.Burst)
	}
}

// Report takes in what customers used at a host since its last report.
func (d *Divider) Report(now time.Time, host identifier.Host, use map[identifier.Customer]Use) {
	h := d.hosts[host]
	if h == nil {
		h = &hostDemand{heard: now, level: make(map[identifier.Customer]float64)}
		d.hosts[host] = h
	}
	d.count(h, -1)
	h.decay(now)
	for c, u := range use {
		if u.Asked > 0 {
			h.level[c] += u.Asked
		}
		if b := d.bucketOf(now, c); b != nil {
			b.level -= u.Taken
		}
	}
	d.count(h, 1)
}

// count adds a host's demand to the sum, times a sign.
func (d *Divider) count(h *hostDemand, sign float64) {
	for c, level := range h.level {
		d.demand[c] += sign * level
		if d.demand[c] < leastDemand {
			delete(d.demand, c)
		}
	}
}

// bucketOf returns the refilled bucket of a customer, or nil where it has no
// bound.
func (d *Divider) bucketOf(now time.Time, c identifier.Customer) *bucket {
	r, ok := d.rates[c]
	if !ok || r.PerSecond <= 0 {
		return nil
	}
	b := d.buckets[c]
	if b == nil {
		b = &bucket{level: startLevel * r.Burst, at: now}
		d.buckets[c] = b
	}
	b.refill(r, now)
	return b
}

// leastDemand is a demand that counts as none.
const leastDemand = 1e-6

// decay lets the demand age until now.
func (h *hostDemand) decay(now time.Time) {
	factor := math.Exp2(-float64(now.Sub(h.heard)) / float64(demandHalfLife))
	for c := range h.level {
		h.level[c] *= factor
		if h.level[c] < leastDemand {
			delete(h.level, c)
		}
	}
	h.heard = now
}

// demandOf returns the demand for a customer, none for a host that is not known.
func (h *hostDemand) demandOf(c identifier.Customer) float64 {
	if h == nil {
		return 0
	}
	return h.level[c]
}

// GrantsOf returns the present grants of a host that has reported.
func (d *Divider) GrantsOf(now time.Time, host identifier.Host) Grants {
	d.forget(now)
	equal := 1 / identifier.Share(max(len(d.hosts), 1))
	out := Grants{Customers: make(map[identifier.Customer]Grant, len(d.rates)), Others: equal}
	for c := range d.rates {
		if b := d.bucketOf(now, c); b != nil {
			out.Customers[c] = Grant{Level: b.level, Share: d.shareOf(host, c, equal)}
		}
	}
	return out
}

// shareOf returns a host's part of a customer's demand.
func (d *Divider) shareOf(host identifier.Host, c identifier.Customer, equal identifier.Share) identifier.Share {
	sum := d.demand[c]
	if sum < leastDemand {
		return equal
	}
	own := min(d.hosts[host].demandOf(c), sum)
	return floorShare*equal + (1-floorShare)*identifier.Share(own/sum)
}

// Hosts returns how many hosts are counted.
func (d *Divider) Hosts(now time.Time) int {
	d.forget(now)
	return len(d.hosts)
}

// forget drops the hosts that have been silent for too long.
func (d *Divider) forget(now time.Time) {
	for name, h := range d.hosts {
		if now.Sub(h.heard) > d.silence {
			d.count(h, -1)
			delete(d.hosts, name)
		}
	}
}
