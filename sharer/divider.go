package sharer

import (
	"math"
	"time"

	"cyclamenhub.org/identifier"
)

const (
	// demandHalfLife is the time in which an old demand loses half its weight.
	demandHalfLife = 700 * time.Millisecond
	// floorShare is the part of every rate that is divided equally, so that a
	// customer's first call at a host is not refused.
	floorShare identifier.Share = 0.1
)

// Demand is what customers asked of one host since its last report, in the
// unit of their rates.
type Demand map[identifier.Customer]float64

// Shares is one host's part of every customer's rate. Others is the share of a
// customer that is not listed.
type Shares struct {
	Customers map[identifier.Customer]identifier.Share
	Others    identifier.Share
}

// of returns the share of a customer.
func (s Shares) of(c identifier.Customer) identifier.Share {
	if v, ok := s.Customers[c]; ok {
		return v
	}
	return s.Others
}

// Divider divides rates by demand. It is pure: reports go in, shares come out.
// It is not safe for concurrent use.
type Divider struct {
	lease time.Duration
	hosts map[identifier.Host]*hostDemand
}

// hostDemand is what one host was asked lately.
type hostDemand struct {
	heard time.Time
	level Demand
}

// NewDivider returns a Divider that counts a silent host for the time of a
// lease, after which the host admits nothing any more.
func NewDivider(lease time.Duration) *Divider {
	return &Divider{lease: lease, hosts: make(map[identifier.Host]*hostDemand)}
}

// Report takes in what a host was asked since its last report.
func (d *Divider) Report(now time.Time, host identifier.Host, asked Demand) {
	h := d.hosts[host]
	if h == nil {
		h = &hostDemand{level: make(Demand)}
		d.hosts[host] = h
	}
	h.decay(now)
	for c, n := range asked {
		if n > 0 {
			h.level[c] += n
		}
	}
}

// decay lets the demand age until now.
func (h *hostDemand) decay(now time.Time) {
	factor := math.Exp2(-float64(now.Sub(h.heard)) / float64(demandHalfLife))
	for c := range h.level {
		h.level[c] *= factor
		if h.level[c] < 1e-6 {
			delete(h.level, c)
		}
	}
	h.heard = now
}

// SharesOf returns the present shares of a host that has reported.
func (d *Divider) SharesOf(now time.Time, host identifier.Host) Shares {
	d.forget(now)
	n := max(len(d.hosts), 1)
	equal := 1 / identifier.Share(n)
	out := Shares{Customers: make(map[identifier.Customer]identifier.Share), Others: equal}
	total := make(Demand)
	for _, h := range d.hosts {
		for c, v := range h.level {
			total[c] += v
		}
	}
	for c, sum := range total {
		var own float64
		if h := d.hosts[host]; h != nil {
			own = h.level[c]
		}
		out.Customers[c] = floorShare*equal + (1-floorShare)*identifier.Share(own/sum)
	}
	return out
}

// Hosts returns how many hosts are counted.
func (d *Divider) Hosts(now time.Time) int {
	d.forget(now)
	return len(d.hosts)
}

// forget drops the hosts whose leases have run out.
func (d *Divider) forget(now time.Time) {
	for name, h := range d.hosts {
		if now.Sub(h.heard) > d.lease {
			delete(d.hosts, name)
		}
	}
}
