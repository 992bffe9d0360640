package router

import "math"

// rankedMember is a member with its rendezvous score for a key and its load
// when the decision began.
type rankedMember struct {
	m     *member
	score float64
	load  int64
	// noReport means that no recent load report says how many requests other
	// hosts have sent to the server. late means that its recent first tokens
	// arrived much later than estimated.
	noReport, late bool
}

// memberSet is the eligible members of a group with their load.
type memberSet struct {
	members []rankedMember
	// load is the number of requests on all members, and capacity the number of
	// their slots.
	load     int64
	capacity float64
	// noReports means that no recent load report covers any member.
	noReports bool
}

// eligibleMembers collects the eligible members of g. It reuses scratch for the
// result.
func (d *decision) eligibleMembers(g *group, scratch []rankedMember) memberSet {
	s := memberSet{members: scratch[:0], noReports: true}
	for i := range g.members {
		m := &g.members[i]
		if !d.isEligible(m) {
			continue
		}
		t := rankedMember{m: m, load: m.s.inFlight.Load(), noReport: true, late: m.s.firstTokenDelay.value(d.now) > d.maxWait}
		if p := m.s.freshReport(d.now, d.r.cfg.ReportTTL); p != nil {
			t.load += p.requests
			t.noReport, s.noReports = false, false
		}
		s.members = append(s.members, t)
		s.load += t.load
		s.capacity += float64(m.Concurrency)
	}
	return s
}

// freeSlotFraction is the fraction of a server's slots up to which the server
// always counts as below the bound. While slots are free, giving up a warm
// cache costs more than running a longer batch.
const freeSlotFraction = 0.75

// isBelowBound reports whether a server may take one more request. It may if
// the request leaves enough slots free, or if the server's load is then at most
// bound times its share of the total load, rounded up. Beyond its slots, a
// server must not exceed its share, rounded up, so that no request waits while
// the average server has a free slot.
//
// Load is that of all hosts. Bounds on each host's own requests would be
// rounded up on every host, and most hosts have less than one request per
// server. Without a load report the free slots are unknown, and only this
// host's requests count. A server with late first tokens is above the bound
// whatever its reported load.
func (s *memberSet) isBelowBound(bound float64, t *rankedMember) bool {
	if t.late {
		return false
	}
	slots := float64(t.m.Concurrency)
	mean := slots / s.capacity * float64(s.load+1)
	limit := max(min(roundUp(bound*mean), slots), roundUp(mean))
	if !t.noReport {
		limit = max(limit, freeSlotFraction*slots)
	}
	return float64(t.load+1) <= limit
}

// roundUp rounds x up to an integer and tolerates floating-point errors: a
// value just above an integer counts as that integer.
func roundUp(x float64) float64 { return math.Ceil(x - 1e-9) }

// score returns the rendezvous score of a server for a key. If the servers
// differ in concurrency, it uses the logarithmic method, which assigns keys to
// each server in proportion to its concurrency (Schindelhauer and Schomaker,
// "Weighted Distributed Hash Tables", SPAA 2005).
func (g *group) score(key Block, m *member) float64 {
	h := mix(uint64(key) ^ m.s.hash)
	if g.uniform {
		return float64(h >> 11)
	}
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -float64(m.Concurrency) / math.Log(u)
}

// rank moves the k members with the highest scores for the key to the front of
// set.
func (g *group) rank(key Block, set []rankedMember, k int) {
	for i := range set {
		set[i].score = g.score(key, set[i].m)
	}
	selectHighest(set, k)
}

// selectHighest moves the k members with the highest scores to the front, in no
// particular order (quickselect: Hoare, "Algorithm 65: Find", 1961).
func selectHighest(set []rankedMember, k int) {
	lo, hi := 0, len(set)-1
	for lo < hi {
		pivot := set[lo+(hi-lo)/2].score
		i, j := lo, hi
		for i <= j {
			for set[i].score > pivot {
				i++
			}
			for set[j].score < pivot {
				j--
			}
			if i <= j {
				set[i], set[j] = set[j], set[i]
				i++
				j--
			}
		}
		switch {
		case k <= j:
			hi = j
		case k-1 >= i:
			lo = i
		default:
			return
		}
	}
}
