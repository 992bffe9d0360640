package router

import "math"

// ranked is a member with its place in the rendezvous order of a key and the
// load that it had when the choice began.
type ranked struct {
	m     *member
	score float64
	load  int64
	// blind tells that no recent report says what other hosts send there, late
	// that first tokens came much later than estimated.
	blind, late bool
}

// standing is the eligible members of a group with their load.
type standing struct {
	set []ranked
	// load and capacity are sums over the set, in requests.
	load     int64
	capacity float64
	// blind tells that no report tells of any of them.
	blind bool
}

// stand looks at every member of g once; scratch is reused for the set.
func (d *decision) stand(g *group, scratch []ranked) standing {
	s := standing{set: scratch[:0], blind: true}
	for i := range g.members {
		m := &g.members[i]
		if !d.eligible(m) {
			continue
		}
		t := ranked{m: m, load: m.s.inFlight.Load(), blind: true, late: m.s.excess.value(d.now) > d.limit}
		if p := m.s.fresh(d.now, d.r.cfg.ReportTTL); p != nil {
			t.load += p.requests
			t.blind, s.blind = false, false
		}
		s.set = append(s.set, t)
		s.load += t.load
		s.capacity += float64(m.Concurrency)
	}
	return s
}

// freePart is the part of a server's slots below which it is never above the
// bound: as long as slots are free, leaving a warm cache costs more than the
// longer batch.
const freePart = 0.75

// below reports whether a server's load, with this request, leaves slots free
// or is at most bound times its part of the load of all, rounded up. It may not
// wait for a slot while the mean server has one. Loads are those of all hosts:
// bounds on each host's own requests would round up on every host, and most
// hosts have less than one request for a server. Where no report tells of the
// others, nobody knows of free slots, and the own requests are all there is.
// A server whose first tokens come late is above whatever is said of it.
func (s *standing) below(bound float64, t *ranked) bool {
	if t.late {
		return false
	}
	slots := float64(t.m.Concurrency)
	mean := slots / s.capacity * float64(s.load+1)
	limit := max(min(roundUp(bound*mean), slots), roundUp(mean))
	if !t.blind {
		limit = max(limit, freePart*slots)
	}
	return float64(t.load+1) <= limit
}

// roundUp rounds up what is not a whole number but for errors of computing.
func roundUp(x float64) float64 { return math.Ceil(x - 1e-9) }

// score is the weight of a server for a key. With servers of unequal size it is
// the logarithmic method, by which each gets keys in proportion to its size
// (Schindelhauer and Schomaker, "Weighted Distributed Hash Tables", SPAA 2005).
func (g *group) score(key Block, m *member) float64 {
	h := mix(uint64(key) ^ m.s.hash)
	if g.uniform {
		return float64(h >> 11)
	}
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -float64(m.Concurrency) / math.Log(u)
}

// rank moves the k members that come first for the key to the front of set.
func (g *group) rank(key Block, set []ranked, k int) {
	for i := range set {
		set[i].score = g.score(key, set[i].m)
	}
	selectFirst(set, k)
}

// selectFirst moves the k greatest scores to the front, in no order
// (quickselect: Hoare, "Algorithm 65: Find", 1961).
func selectFirst(set []ranked, k int) {
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
