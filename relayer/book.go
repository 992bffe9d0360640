package relayer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cyclamenhub.org/identifier"
)

const (
	// maxPeers is the number of peers that a host is told.
	maxPeers = 4
	// reportMinAge is how long a report counts in a small fleet, as long as loads do.
	reportMinAge = 1500 * time.Millisecond
	// reportAgePerHost is how long it counts for each host of a larger one. A host
	// syncs every 2 ms times the number of hosts, so a report counts for two and a
	// half syncs: one that is late or lost forgets no host, whatever their number.
	reportAgePerHost = 5 * time.Millisecond
	// forgetAfter is the age of its last report at which a host is forgotten. Until
	// then it is counted among the hosts, since those that live may still sync at the
	// pace of the larger fleet.
	forgetAfter = 30 * time.Second
)

// Book is what the leading keeper knows of the hosts. It is not safe for concurrent
// use.
type Book struct {
	hosts   map[identifier.Host]*member
	domains map[identifier.FailureDomain][]*member
	sweptAt time.Time
}

// NewBook returns a Book without hosts.
func NewBook() *Book {
	return &Book{hosts: make(map[identifier.Host]*member), domains: make(map[identifier.FailureDomain][]*member)}
}

// member is a host that has reported.
type member struct {
	host        identifier.Host
	domain      identifier.FailureDomain
	hash        uint64
	reportedAt  time.Time
	unreachable []identifier.Service
}

// reaches reports whether a host reaches a service.
func (m *member) reaches(s identifier.Service) bool { return !slices.Contains(m.unreachable, s) }

// Report records the services that a host does not reach.
func (b *Book) Report(now time.Time, h identifier.Host, d identifier.FailureDomain, unreachable []identifier.Service) {
	b.sweep(now)
	m := b.hosts[h]
	if m == nil || m.domain != d {
		b.Leave(h)
		m = &member{host: h, domain: d, hash: xxhash.Sum64String(string(h))}
		b.hosts[h] = m
		b.domains[d] = append(b.domains[d], m)
	}
	m.reportedAt = now
	if !slices.Equal(m.unreachable, unreachable) {
		m.unreachable = slices.Clone(unreachable)
	}
}

// Leave forgets a host.
func (b *Book) Leave(h identifier.Host) {
	m := b.hosts[h]
	if m == nil {
		return
	}
	delete(b.hosts, h)
	rest := slices.DeleteFunc(b.domains[m.domain], func(o *member) bool { return o == m })
	if len(rest) == 0 {
		delete(b.domains, m.domain)
		return
	}
	b.domains[m.domain] = rest
}

// sweep forgets the hosts that have not reported for long, once in that time.
func (b *Book) sweep(now time.Time) {
	if now.Sub(b.sweptAt) < forgetAfter {
		return
	}
	b.sweptAt = now
	for h, m := range b.hosts {
		if now.Sub(m.reportedAt) >= forgetAfter {
			b.Leave(h)
		}
	}
}

// Peers returns up to four hosts that reach a service, best first, for one that does
// not. They are of its failure domain as long as no more hosts are cut off there than
// reach the service.
func (b *Book) Peers(now time.Time, h identifier.Host, s identifier.Service) []identifier.Host {
	q := query{service: s, own: b.hosts[h], hash: xxhash.Sum64String(string(h)), oldest: now.Add(-b.maxAge())}
	if q.own != nil {
		q.ask(b.domains[q.own.domain])
		if q.cut <= q.reaching {
			return q.hosts()
		}
	}
	for d, members := range b.domains {
		if q.own == nil || d != q.own.domain {
			q.ask(members)
		}
	}
	return q.hosts()
}

// maxAge returns how long a report counts.
func (b *Book) maxAge() time.Duration {
	return max(reportMinAge, time.Duration(len(b.hosts))*reportAgePerHost)
}

// query is a search for the peers of a host.
type query struct {
	service identifier.Service
	// own is the host that asks, or nil if it has not reported; hash is that of its
	// name.
	own  *member
	hash uint64
	// oldest is the time from which on reports count.
	oldest time.Time
	// cut and reaching count the hosts that were asked.
	cut, reaching int
	best          [maxPeers]ranked
}

// ranked is a peer with its rendezvous score.
type ranked struct {
	*member
	score uint64
}

// ask adds members to the search.
func (q *query) ask(members []*member) {
	for _, m := range members {
		switch {
		case m == q.own:
			q.cut++
		case m.reportedAt.Before(q.oldest):
		case m.reaches(q.service):
			q.reaching++
			q.insert(ranked{m, score(q.hash, m.hash)})
		default:
			q.cut++
		}
	}
}

// insert keeps a peer if it is among the best.
func (q *query) insert(r ranked) {
	for i := range q.best {
		if o := q.best[i]; o.member == nil || r.score > o.score {
			q.best[i], r = r, o
		}
		if r.member == nil {
			return
		}
	}
}

// hosts returns the best peers.
func (q *query) hosts() []identifier.Host {
	var hosts []identifier.Host
	for _, r := range q.best {
		if r.member != nil {
			hosts = append(hosts, r.host)
		}
	}
	return hosts
}

// score returns the rendezvous score of a peer for an asking host, from the hashes of
// their names (Thaler and Ravishankar, 1998; the mixing is that of SplitMix64).
func score(asking, peer uint64) uint64 {
	x := asking + 0x9e3779b97f4a7c15*peer
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
