package sharer

import (
	"math"
	"time"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
)

const (
	// demandHalfLife is the half-life of past demand.
	demandHalfLife = 1500 * time.Millisecond
	// equalPart is the part of every rate that is divided equally among the
	// hosts, so that the first call of a customer at a host is not refused.
	equalPart identifier.Share = 0.2
	// initialLevel is the level of a bucket, as a fraction of the burst, at a
	// new leader, which does not know the past use.
	initialLevel = 0.5
)

// Rate limits one customer across all hosts.
type Rate struct {
	// PerSecond is the rate in units per second; 0 means no limit.
	PerSecond float64
	// Burst is the capacity of the token bucket in units.
	Burst float64
}

// toleranceUsed is the fraction of a tolerance that is added to the rate, so
// that no permitted call is refused. The rest covers what hosts admit before
// they receive the reports of each other.
const toleranceUsed = 0.5

// WithTolerance returns the rate raised by a part of the tolerance. A rate of 0
// or less, which means no limit, is returned unchanged.
func (r Rate) WithTolerance(t describer.Tolerance) Rate {
	if r.PerSecond <= 0 || t.Window <= 0 {
		return r
	}
	factor := 1 + toleranceUsed*t.Overrun
	return Rate{PerSecond: r.PerSecond*factor + toleranceUsed*t.Slack/t.Window.Seconds(), Burst: r.Burst * factor}
}

// Use is what a customer requested at one host, and what was admitted there,
// since the last report of the host, in the unit of the rates.
type Use struct{ Asked, Taken float64 }

// Grant limits what a host may admit for a customer.
type Grant struct {
	// Level is the level of the shared token bucket. It is negative while the
	// bucket is overdrawn.
	Level float64
	// Share is the host's share of the rate, by its share of the customer's
	// demand.
	Share identifier.Share
	// Part is the part of Level that the host may take until its next grant.
	Part identifier.Share
}

// Grants are the grants of one host. Others is its share for a customer that is
// not listed. The host assumes that the bucket of such a customer is filled to
// initialLevel.
type Grants struct {
	Customers map[identifier.Customer]Grant
	Others    identifier.Share
}

// Divider keeps the token buckets of all customers and divides the rates among
// the hosts by demand. It does no I/O and reads no clock. It is not safe for
// concurrent use.
type Divider struct {
	hostTimeout time.Duration
	rates       map[identifier.Customer]Rate
	buckets     map[identifier.Customer]*bucket
	hosts       map[identifier.Host]*hostDemand
	// demand is the sum over all hosts. Each report updates it, since the
	// leader of 300 hosts computes 1,200 grants per second.
	demand map[identifier.Customer]float64
	// reportInterval is the moving average of the time between two reports of a
	// host.
	reportInterval time.Duration
}

// bucket is a token bucket whose level may become negative.
type bucket struct {
	level      float64
	refilledAt time.Time
}

// refill adds the tokens accrued until now.
func (b *bucket) refill(r Rate, now time.Time) {
	if d := now.Sub(b.refilledAt).Seconds(); d > 0 {
		b.level = min(b.level+d*r.PerSecond, r.Burst)
		b.refilledAt = now
	}
}

// hostDemand is the recent demand at one host.
type hostDemand struct {
	lastReport time.Time
	level      map[identifier.Customer]float64
}

// NewDivider returns a Divider that removes a host without a report for longer
// than hostTimeout.
func NewDivider(hostTimeout time.Duration) *Divider {
	return &Divider{
		hostTimeout: hostTimeout, hosts: make(map[identifier.Host]*hostDemand),
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

// Report records what customers used at a host since its last report.
func (d *Divider) Report(now time.Time, host identifier.Host, use map[identifier.Customer]Use) {
	h := d.hosts[host]
	if h != nil {
		d.reportInterval += (now.Sub(h.lastReport) - d.reportInterval) / reportIntervalSamples
	}
	if h == nil {
		h = &hostDemand{lastReport: now, level: make(map[identifier.Customer]float64)}
		d.hosts[host] = h
	}
	d.addDemand(h, -1)
	h.decay(now)
	for c, u := range use {
		if u.Asked > 0 {
			h.level[c] += u.Asked
		}
		if b := d.bucketOf(now, c); b != nil {
			b.level -= u.Taken
		}
	}
	d.addDemand(h, 1)
}

// addDemand adds a host's demand, multiplied by sign, to the sum.
func (d *Divider) addDemand(h *hostDemand, sign float64) {
	for c, level := range h.level {
		d.demand[c] += sign * level
		if d.demand[c] < minDemand {
			delete(d.demand, c)
		}
	}
}

// bucketOf returns the refilled bucket of a customer, or nil if the customer
// has no limit.
func (d *Divider) bucketOf(now time.Time, c identifier.Customer) *bucket {
	r, ok := d.rates[c]
	if !ok || r.PerSecond <= 0 {
		return nil
	}
	b := d.buckets[c]
	if b == nil {
		b = &bucket{level: initialLevel * r.Burst, refilledAt: now}
		d.buckets[c] = b
	}
	b.refill(r, now)
	return b
}

// minDemand is the demand below which a customer counts as having none.
const minDemand = 1e-6

// decay reduces the demand by the time passed since the last report.
func (h *hostDemand) decay(now time.Time) {
	factor := math.Exp2(-float64(now.Sub(h.lastReport)) / float64(demandHalfLife))
	for c := range h.level {
		h.level[c] *= factor
		if h.level[c] < minDemand {
			delete(h.level, c)
		}
	}
	h.lastReport = now
}

// demandOf returns the demand of a customer, or 0 for an unknown host.
func (h *hostDemand) demandOf(c identifier.Customer) float64 {
	if h == nil {
		return 0
	}
	return h.level[c]
}

// GrantsOf returns the current grants of a host that has reported.
func (d *Divider) GrantsOf(now time.Time, host identifier.Host) Grants {
	d.removeSilent(now)
	equal := 1 / identifier.Share(max(len(d.hosts), 1))
	out := Grants{Customers: make(map[identifier.Customer]Grant, len(d.rates)), Others: equal}
	for c := range d.rates {
		if b := d.bucketOf(now, c); b != nil {
			share := d.shareOf(host, c, equal)
			out.Customers[c] = Grant{Level: b.level, Share: share, Part: d.partOf(c, b.level, share, equal)}
		}
	}
	return out
}

// shareOf returns a host's share of a customer's rate: equalPart is divided
// equally, the rest by demand.
func (d *Divider) shareOf(host identifier.Host, c identifier.Customer, equal identifier.Share) identifier.Share {
	sum := d.demand[c]
	if sum < minDemand {
		return equal
	}
	own := min(d.hosts[host].demandOf(c), sum)
	return equalPart*equal + (1-equalPart)*identifier.Share(own/sum)
}

// The limits of the part of a bucket's level that a host may take between two
// grants. maxHostPart applies while the level is ample, and in small fleets.
// maxTotalPart limits the sum over all hosts otherwise. It exceeds 1 because all
// hosts seldom take their parts simultaneously, and what they take in excess is
// repaid afterwards.
const (
	maxHostPart  identifier.Share = 0.3
	maxTotalPart identifier.Share = 1.2
)

// ampleFactor is the multiple of a customer's expected use between two reports
// from which on the level of its bucket is ample.
const ampleFactor = 2

// reportIntervalSamples is the number of reports over which the time between two
// reports is averaged.
const reportIntervalSamples = 64

// partOf returns the part of a bucket's level that a host may take until its next
// grant.
//
// It answers a customer well within its rate whose calls reach hundreds of hosts.
// Each host sees a few of them, at times several in a row, and an equal part of
// the level does not cover one call. As long as the level covers a multiple of
// what all hosts together are expected to take until they have reported it, a
// host may take what it needs. Where the level is scarce, each is held to its
// share of the demand.
func (d *Divider) partOf(c identifier.Customer, level float64, share, equal identifier.Share) identifier.Share {
	if level < 0 {
		return 1 // No host admits calls until the overdraft is repaid.
	}
	expected := d.demand[c] / demandSeconds * d.reportInterval.Seconds()
	if level >= ampleFactor*expected {
		return max(share, maxHostPart)
	}
	return max(share, min(maxHostPart, maxTotalPart*equal))
}

// demandSeconds is how many seconds of a steady use the demand contains.
const demandSeconds = float64(demandHalfLife) / float64(time.Second) / math.Ln2

// Hosts returns the number of hosts that reported within hostTimeout.
func (d *Divider) Hosts(now time.Time) int {
	d.removeSilent(now)
	return len(d.hosts)
}

// removeSilent removes the hosts whose last report is older than hostTimeout.
func (d *Divider) removeSilent(now time.Time) {
	for name, h := range d.hosts {
		if now.Sub(h.lastReport) > d.hostTimeout {
			d.addDemand(h, -1)
			delete(d.hosts, name)
		}
	}
}
