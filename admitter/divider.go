package admitter

import (
	"errors"
	"fmt"
	"slices"

	"cyclamenhub.org/identifier"
)

// Demand is the load that a customer has offered to one host.
type Demand struct {
	// Requests counts the customer's requests, granted or not.
	Requests int64 `json:"requests"`
	// Tokens is the sum of MaxTokens of these requests.
	Tokens identifier.Tokens `json:"tokens"`
}

// add counts one request.
func (d *Demand) add(r *Request) {
	d.Requests++
	d.Tokens += r.MaxTokens
}

// DemandReport is one host's report to the Divider. It also acknowledges the
// shares that are in effect on the host.
type DemandReport struct {
	// Incarnation is that of the reporting process; see Config.
	Incarnation uint64 `json:"incarnation"`
	// Epoch is that of the shares in effect; 0 means the start share.
	Epoch uint64 `json:"epoch"`
	// Shares holds the shares in effect; a customer that is missing has the
	// start share.
	Shares map[identifier.Customer]identifier.Share `json:"shares,omitempty"`
	// Demands holds the demand of every customer that has any.
	Demands map[identifier.Customer]Demand `json:"demands"`
}

// Check returns an error if a name, a demand or a share of the report is
// invalid.
func (r *DemandReport) Check() error {
	for c, d := range r.Demands {
		if err := c.Check(); err != nil {
			return err
		}
		if d.Requests < 0 || d.Tokens < 0 {
			return errors.New("a demand is negative: report counts since the last report")
		}
	}
	return checkShares(r.Shares)
}

// Shares is one host's share of every customer's rates.
type Shares struct {
	// Incarnation is that of the process the shares are for. A restarted
	// process begins with the start share, and a delayed message to its
	// predecessor must not raise that.
	Incarnation uint64 `json:"incarnation"`
	// Epoch increases with every division.
	Epoch uint64 `json:"epoch"`
	// Shares holds the share of each customer; one that is missing has the
	// start share.
	Shares map[identifier.Customer]identifier.Share `json:"shares"`
}

// Check returns an error if a customer's name is invalid or a share is not
// between 0 and 1.
func (s *Shares) Check() error { return checkShares(s.Shares) }

// checkShares returns an error if a customer's name is invalid or a share is
// not between 0 and 1.
func checkShares(shares map[identifier.Customer]identifier.Share) error {
	for c, v := range shares {
		if err := errors.Join(c.Check(), v.Check()); err != nil {
			return fmt.Errorf("share of %q: %w", c, err)
		}
	}
	return nil
}

// Constants of the division.
const (
	// defaultFloor is the part of a rate that is divided equally between the
	// hosts.
	defaultFloor = identifier.Share(0.25)
	// demandWeight is the weight of a new report in the moving average of
	// demand.
	demandWeight = 0.3
	// maxUnacknowledged bounds the unacknowledged divisions of one host. A host
	// that reaches it is sent the last division again until it acknowledges
	// one.
	maxUnacknowledged = 8
	// termBits is the position of the term within an epoch, in bits.
	termBits = 32
)

// Divider divides the customers' rates between hosts by demand. It does no I/O:
// callers pass reports to Report and send the shares that Divide returns. It is
// not safe for concurrent use.
//
// A host keeps its shares until it acknowledges new ones. The Divider raises a
// host's share only after the hosts whose shares fall have acknowledged this,
// so that the shares in effect never add to more than 1. A host that the
// Divider cannot reach keeps its last shares and never assumes the full rate;
// the Divider continues to count these shares. A host that starts has the floor
// divided by the number of hosts; no share falls below that.
//
// A new leader, or a changed list of hosts, needs a new Divider with a higher
// term. Until a host has acknowledged a division of that term, the Divider
// assumes that its shares are 1 and raises no share.
type Divider struct {
	floor     identifier.Share
	hostNames []identifier.Host
	hosts     map[identifier.Host]*hostState
	epoch     uint64
}

// NewDivider returns a Divider for a fixed list of hosts. floor is the part of
// every rate that is divided equally; 0 means 0.25.
func NewDivider(hosts []identifier.Host, floor identifier.Share, term identifier.Term) *Divider {
	if floor <= 0 {
		floor = defaultFloor
	}
	d := &Divider{
		floor:     floor,
		hostNames: slices.Sorted(slices.Values(hosts)),
		hosts:     make(map[identifier.Host]*hostState, len(hosts)),
		epoch:     uint64(term) << termBits,
	}
	for _, h := range hosts {
		d.hosts[h] = &hostState{
			demand:    make(map[identifier.Customer]float64),
			maxShares: make(map[identifier.Customer]identifier.Share),
		}
	}
	return d
}

// StartShare returns the share that a host has before it receives a division.
func (d *Divider) StartShare() identifier.Share {
	return d.floor / identifier.Share(max(len(d.hosts), 1))
}

// Report records a host's demand and its acknowledgement. It ignores reports of
// hosts that are not listed and those of an older incarnation.
func (d *Divider) Report(h identifier.Host, r DemandReport) {
	s, ok := d.hosts[h]
	if !ok || r.Incarnation < s.incarnation {
		return
	}
	if r.Incarnation > s.incarnation {
		s.restart(r.Incarnation)
	}
	for c := range s.demand {
		if _, ok := r.Demands[c]; !ok {
			s.demand[c] *= 1 - demandWeight
		}
	}
	for c, v := range r.Demands {
		s.demand[c] += demandWeight * (float64(max(v.Requests, int64(v.Tokens))) - s.demand[c])
	}
	s.hasReported = true
	s.reportedShares = r.Shares
	s.acknowledge(r.Epoch)
}

// Divide returns new shares of the given customers for every host that has
// reported.
func (d *Divider) Divide(customers []identifier.Customer) map[identifier.Host]Shares {
	d.epoch++
	next := make(map[identifier.Host]Shares, len(d.hosts))
	for _, h := range d.hostNames {
		next[h] = Shares{Incarnation: d.hosts[h].incarnation, Epoch: d.epoch, Shares: make(map[identifier.Customer]identifier.Share, len(customers))}
	}
	for _, c := range customers {
		d.divideOne(c, next)
	}
	for _, h := range d.hostNames {
		s := d.hosts[h]
		switch {
		case !s.hasReported:
			delete(next, h)
		case len(s.sent) >= maxUnacknowledged:
			next[h] = s.sent[len(s.sent)-1]
		default:
			s.recordSent(next[h])
		}
	}
	return next
}

// divideOne writes every host's share of one customer's rates to next.
func (d *Divider) divideOne(c identifier.Customer, next map[identifier.Host]Shares) {
	var demand float64
	free := identifier.Share(1)
	for _, h := range d.hostNames {
		demand += d.hosts[h].demand[c]
		free -= d.maxShare(d.hosts[h], c)
	}
	for _, h := range d.hostNames {
		s := d.hosts[h]
		if !s.hasAcknowledged {
			next[h].Shares[c] = shareOr(s.reportedShares, c, d.StartShare())
			continue
		}
		held := d.maxShare(s, c)
		want := d.StartShare() + d.demandShare(s.demand[c], demand)
		if gain := want - held; gain > 0 {
			gain = min(gain, max(free, 0))
			free -= gain
			want = held + gain
		}
		next[h].Shares[c] = want
	}
}

// demandShare returns a host's share of the part above the floor, given its own
// demand and that of all hosts.
func (d *Divider) demandShare(own, all float64) identifier.Share {
	if all <= 0 {
		return (1 - d.floor) / identifier.Share(len(d.hostNames))
	}
	return (1 - d.floor) * identifier.Share(own/all)
}

// maxShare returns the largest share of c that may be in effect on the host.
func (d *Divider) maxShare(s *hostState, c identifier.Customer) identifier.Share {
	if !s.hasAcknowledged {
		return 1
	}
	return max(shareOr(s.maxShares, c, d.StartShare()), d.StartShare())
}

// shareOr returns the share of c in m, or fallback if there is none.
func shareOr(m map[identifier.Customer]identifier.Share, c identifier.Customer, fallback identifier.Share) identifier.Share {
	if v, ok := m[c]; ok {
		return v
	}
	return fallback
}

// hostState is the Divider's record of one host.
type hostState struct {
	incarnation uint64
	demand      map[identifier.Customer]float64
	// hasReported is set by the first report, hasAcknowledged by the first
	// acknowledgement of a division of this term.
	hasReported, hasAcknowledged bool
	reportedShares               map[identifier.Customer]identifier.Share
	// maxShares holds the largest share of each customer that may be in effect
	// on the host.
	maxShares map[identifier.Customer]identifier.Share
	// sent lists the divisions sent since the last acknowledged one, with that
	// one first.
	sent []Shares
}

// recordSent records a division sent to the host. Until the host acknowledges
// it, either the old or the new shares may be in effect.
func (s *hostState) recordSent(sh Shares) {
	s.sent = append(s.sent, sh)
	for c, v := range sh.Shares {
		s.maxShares[c] = max(s.maxShares[c], v)
	}
}

// restart records that the host's process has restarted. The host then has
// the start share, or shares that an earlier leader has sent since; no share is
// raised until the host acknowledges a division.
func (s *hostState) restart(incarnation uint64) {
	s.incarnation, s.hasAcknowledged, s.sent = incarnation, false, nil
	clear(s.maxShares)
}

// acknowledge records that the division of that epoch is in effect on the host.
func (s *hostState) acknowledge(epoch uint64) {
	i := slices.IndexFunc(s.sent, func(sh Shares) bool { return sh.Epoch == epoch })
	if i < 0 {
		return
	}
	s.hasAcknowledged = true
	s.sent = s.sent[i:]
	clear(s.maxShares)
	for _, sh := range s.sent {
		for c, v := range sh.Shares {
			s.maxShares[c] = max(s.maxShares[c], v)
		}
	}
}
