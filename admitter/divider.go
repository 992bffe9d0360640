package admitter

import (
	"errors"
	"fmt"
	"slices"

	"cyclamenhub.org/identifier"
)

// Demand is what a customer asked of one host.
type Demand struct {
	// Requests counts its requests, granted or not.
	Requests int64 `json:"requests"`
	// Tokens counts the tokens they allowed to be generated.
	Tokens identifier.Tokens `json:"tokens"`
}

// add counts one request.
func (d *Demand) add(r *Request) {
	d.Requests++
	d.Tokens += r.MaxTokens
}

// DemandReport is one host's report to the Divider. It also acknowledges the
// shares that the host has in force.
type DemandReport struct {
	// Incarnation is the Config's.
	Incarnation uint64 `json:"incarnation"`
	// Epoch is that of the shares in force; 0 means the start share.
	Epoch uint64 `json:"epoch"`
	// Shares are those in force; a customer that is missing has the start
	// share.
	Shares map[identifier.Customer]identifier.Share `json:"shares,omitempty"`
	// Demands lists the customers that asked for something.
	Demands map[identifier.Customer]Demand `json:"demands"`
}

// Check reports whether the report is well formed.
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

// Shares is one host's part of every customer's rates.
type Shares struct {
	// Incarnation is that of the process the shares are meant for. A process
	// started anew begins with the start share, and a late message to the one
	// before it must not raise that.
	Incarnation uint64 `json:"incarnation"`
	// Epoch rises with every division.
	Epoch uint64 `json:"epoch"`
	// Shares lists the customers; one that is missing keeps the start share.
	Shares map[identifier.Customer]identifier.Share `json:"shares"`
}

// Check reports whether every share lies between 0 and 1.
func (s *Shares) Check() error { return checkShares(s.Shares) }

// checkShares reports whether every share lies between 0 and 1.
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
	// defaultFloor is the part of a rate that is divided equally.
	defaultFloor = identifier.Share(0.25)
	// demandWeight is the part of a new report in the moving average.
	demandWeight = 0.3
	// maxUnacknowledged bounds the divisions on their way to one host. A host
	// with that many gets the last one again until it answers.
	maxUnacknowledged = 8
	// termBits is how far the term is shifted in an epoch.
	termBits = 32
)

// Divider divides the customers' rates between hosts by demand. It is pure:
// reports go in, shares come out.
//
// A host holds its shares until it acknowledges others. What one host is to
// gain is handed out only after the hosts that lose it have acknowledged, so
// that the shares in force never add to more than 1. A host that is cut off
// keeps its last shares and is counted with them; it never takes the whole. A
// host that starts holds the floor over the number of hosts, below which no
// share falls.
//
// A new leader, or a change of the list of hosts, makes a new Divider with a
// higher term. Until a host has acknowledged a division of that term, its
// shares are taken to be the whole, and nobody gains.
type Divider struct {
	floor identifier.Share
	names []identifier.Host
	hosts map[identifier.Host]*heldShares
	epoch uint64
}

// NewDivider returns a Divider for a fixed list of hosts. floor is the part of
// every rate that is divided equally; 0 means a quarter.
func NewDivider(hosts []identifier.Host, floor identifier.Share, term identifier.Term) *Divider {
	if floor <= 0 {
		floor = defaultFloor
	}
	d := &Divider{
		floor: floor,
		names: slices.Sorted(slices.Values(hosts)),
		hosts: make(map[identifier.Host]*heldShares, len(hosts)),
		epoch: uint64(term) << termBits,
	}
	for _, h := range hosts {
		d.hosts[h] = &heldShares{
			demand: make(map[identifier.Customer]float64),
			held:   make(map[identifier.Customer]identifier.Share),
		}
	}
	return d
}

// StartShare is the share that a host holds before it hears of a division.
func (d *Divider) StartShare() identifier.Share {
	return d.floor / identifier.Share(max(len(d.hosts), 1))
}

// Report takes in a host's demand and its acknowledgement. Reports of hosts
// that are not listed are ignored.
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
	s.heard = true
	s.reported = r.Shares
	s.acknowledge(r.Epoch)
}

// Divide returns new shares of the given customers for every host that has
// reported.
func (d *Divider) Divide(customers []identifier.Customer) map[identifier.Host]Shares {
	d.epoch++
	next := make(map[identifier.Host]Shares, len(d.hosts))
	for _, h := range d.names {
		next[h] = Shares{Incarnation: d.hosts[h].incarnation, Epoch: d.epoch, Shares: make(map[identifier.Customer]identifier.Share, len(customers))}
	}
	for _, c := range customers {
		d.divideOne(c, next)
	}
	for _, h := range d.names {
		s := d.hosts[h]
		switch {
		case !s.heard:
			delete(next, h)
		case len(s.sent) >= maxUnacknowledged:
			next[h] = s.sent[len(s.sent)-1]
		default:
			s.send(next[h])
		}
	}
	return next
}

// divideOne divides one customer's rates.
func (d *Divider) divideOne(c identifier.Customer, next map[identifier.Host]Shares) {
	var demand float64
	free := identifier.Share(1)
	for _, h := range d.names {
		demand += d.hosts[h].demand[c]
		free -= d.heldOf(d.hosts[h], c)
	}
	for _, h := range d.names {
		s := d.hosts[h]
		if !s.known {
			next[h].Shares[c] = shareIn(s.reported, c, d.StartShare())
			continue
		}
		held := d.heldOf(s, c)
		want := d.StartShare() + d.byDemand(s.demand[c], demand)
		if gain := want - held; gain > 0 {
			gain = min(gain, max(free, 0))
			free -= gain
			want = held + gain
		}
		next[h].Shares[c] = want
	}
}

// byDemand is a host's part of what is above the floor.
func (d *Divider) byDemand(own, all float64) identifier.Share {
	if all <= 0 {
		return (1 - d.floor) / identifier.Share(len(d.names))
	}
	return (1 - d.floor) * identifier.Share(own/all)
}

// heldOf returns the most of c that the host may have in force.
func (d *Divider) heldOf(s *heldShares, c identifier.Customer) identifier.Share {
	if !s.known {
		return 1
	}
	return max(shareIn(s.held, c, d.StartShare()), d.StartShare())
}

// shareIn returns the share of c, or otherwise where it is missing.
func shareIn(m map[identifier.Customer]identifier.Share, c identifier.Customer, otherwise identifier.Share) identifier.Share {
	if v, ok := m[c]; ok {
		return v
	}
	return otherwise
}

// heldShares is what the divider knows of one host.
type heldShares struct {
	incarnation uint64
	demand      map[identifier.Customer]float64
	// heard tells that the host has reported, known that it has acknowledged a
	// division of this term.
	heard, known bool
	reported     map[identifier.Customer]identifier.Share
	// held is the most the host may have in force.
	held map[identifier.Customer]identifier.Share
	// sent lists the divisions from the last acknowledged one on.
	sent []Shares
}

// send notes a division on its way: until it is acknowledged the host may have
// either the old or the new one in force.
func (s *heldShares) send(sh Shares) {
	s.sent = append(s.sent, sh)
	for c, v := range sh.Shares {
		s.held[c] = max(s.held[c], v)
	}
}

// restart notes that the host's process was started anew. It holds the start
// share, or what an earlier leader has sent it since; until it acknowledges a
// division nobody gains.
func (s *heldShares) restart(incarnation uint64) {
	s.incarnation, s.known, s.sent = incarnation, false, nil
	clear(s.held)
}

// acknowledge notes that the host has the division of that epoch in force.
func (s *heldShares) acknowledge(epoch uint64) {
	i := slices.IndexFunc(s.sent, func(sh Shares) bool { return sh.Epoch == epoch })
	if i < 0 {
		return
	}
	s.known = true
	s.sent = s.sent[i:]
	clear(s.held)
	for _, sh := range s.sent {
		for c, v := range sh.Shares {
			s.held[c] = max(s.held[c], v)
		}
	}
}
