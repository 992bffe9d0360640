package permitter

import (
	"slices"
	"time"

	"cyclamenhub.org/identifier"
)

const (
	// permitTTL is how long a permit is valid: longer than the time between two
	// syncs of a host in a fleet of hundreds.
	permitTTL = time.Second
	// burstRequests and burstPeriod bound the permits of a server that have not
	// been reported as spent: burstRequests plus what its limit allows in
	// burstPeriod. A host in a large fleet syncs once in burstPeriod; with a
	// smaller bound a part of the limit would be lost until then.
	burstRequests = 2
	burstPeriod   = 600 * time.Millisecond
	// forgetAfter is how long a server is remembered after the last report about
	// it, or after its limit has ended.
	forgetAfter = time.Minute
	// minRate is the rate for a server with a lower limit. Only a response can say
	// that the limit has ended.
	minRate identifier.RequestRate = 0.1
	// maxWait caps the time after which a refused call may come back.
	maxWait = 5 * time.Second
	// refusedPeriod is how long a service counts as one whose calls are refused.
	refusedPeriod = 2 * time.Second
)

// Issuer issues permits on the leader.
type Issuer struct {
	servers map[identifier.ServerRun]*bucket
	last    GrantID
	// refused is when a call of a service last got no permit.
	refused map[identifier.Service]time.Time
}

// NewIssuer returns an Issuer that knows no limits. Its first grant follows the
// given one, which must be higher than those of all former leaders.
func NewIssuer(last GrantID) *Issuer {
	return &Issuer{servers: make(map[identifier.ServerRun]*bucket), last: last, refused: make(map[identifier.Service]time.Time)}
}

// Exchange records the report of a host and returns its next grant, which holds
// all known notices.
func (i *Issuer) Exchange(now time.Time, host identifier.Host, r Report) Grant {
	i.last++
	for s, sr := range r.Servers {
		i.record(now, s, &sr)
		if w := sr.WarmUp; w != nil {
			i.BeginWarmUp(now, s, w.Limit, now.Add(w.Left))
		}
	}
	g := Grant{ID: i.last, Servers: make(map[identifier.ServerRun]ServerGrant, len(i.servers))}
	needs := make(map[identifier.Service]*need)
	for s, b := range i.servers {
		if now.Sub(b.reportedAt) > forgetAfter || b.isOver(now) {
			delete(i.servers, s)
			continue
		}
		sr := r.Servers[s]
		b.settle(host, r.Grant, sr.Spent)
		g.Servers[s] = ServerGrant{Notice: b.known.Notice(now), WarmUp: b.warmUp.left(now)}
		if b.limit(now) == nil {
			continue
		}
		b.refill(now)
		switch {
		case sr.Needed > 0:
			n := needs[sr.Service]
			if n == nil {
				n = &need{}
				needs[sr.Service] = n
			}
			n.calls = max(n.calls, sr.Needed)
			n.servers = append(n.servers, s)
		case sr.Wanted > 0:
			g.add(s, b.issue(now, host, i.last, min(sr.Wanted, b.spare())))
		}
	}
	for service, n := range needs {
		if !i.serve(now, host, n, &g) {
			i.refused[service] = now
		}
	}
	return g
}

// need is the number of calls of a service that wait for permits at a host, and
// the servers that can take them.
type need struct {
	calls   int
	servers []identifier.ServerRun
}

// serve issues permits for waiting calls, each at the server with the fullest
// bucket, and reports whether there is one for each of them. If not, it sets the
// time after which the others may come back.
func (i *Issuer) serve(now time.Time, host identifier.Host, n *need, g *Grant) bool {
	slices.SortFunc(n.servers, func(a, b identifier.ServerRun) int { return a.Compare(b) })
	fullest := func(a, b identifier.ServerRun) int {
		if i.servers[a].level < i.servers[b].level {
			return -1
		}
		return 1
	}
	for ; n.calls > 0; n.calls-- {
		s := slices.MaxFunc(n.servers, fullest)
		if i.servers[s].level < 1 {
			break
		}
		g.add(s, i.servers[s].issue(now, host, g.ID, 1))
	}
	if n.calls == 0 {
		return true
	}
	wait := i.returnTime(now, n)
	for _, s := range n.servers {
		sg := g.Servers[s]
		sg.Wait = wait
		g.Servers[s] = sg
	}
	return false
}

// returnTime returns the time after which calls without a permit may come back.
// Every such call takes a place in the order of return at the server that is
// free first, so that callers come back at the rate at which permits become
// available, and not all at the first one.
func (i *Issuer) returnTime(now time.Time, n *need) time.Duration {
	var wait time.Duration
	for ; n.calls > 0; n.calls-- {
		first := slices.MinFunc(n.servers, func(a, b identifier.ServerRun) int {
			return i.servers[a].nextReturn(now).Compare(i.servers[b].nextReturn(now))
		})
		b := i.servers[first]
		wait = min(b.nextReturn(now).Sub(now), maxWait)
		b.returns = now.Add(wait)
	}
	return wait
}

// Limited returns the servers that are known to announce limits.
func (i *Issuer) Limited() []identifier.ServerRun {
	var out []identifier.ServerRun
	for s, b := range i.servers {
		if b.known.Rate != nil {
			out = append(out, s)
		}
	}
	return out
}

// HasRefused reports whether a call of a service got no permit within the last
// refusedPeriod.
func (i *Issuer) HasRefused(now time.Time, service identifier.Service) bool {
	at, ok := i.refused[service]
	return ok && now.Sub(at) < refusedPeriod
}

// add adds permits of a server to a grant.
func (g *Grant) add(s identifier.ServerRun, permits int) {
	sg := g.Servers[s]
	sg.Permits += permits
	g.Servers[s] = sg
}

// record records that a host has reported a server.
func (i *Issuer) record(now time.Time, s identifier.ServerRun, r *ServerReport) {
	b := i.servers[s]
	if b != nil {
		b.reportedAt = now
	}
	if r.Notice == nil && r.Told == nil {
		return
	}
	if b == nil {
		b = newBucket(now)
		i.servers[s] = b
	}
	if r.Notice != nil {
		b.learn(now, r.Notice.AsOf(now))
	}
	if r.Told != nil {
		if o := r.Told.AsOf(now); o.OutweighsAsTold(b.known) {
			b.learn(now, o)
		}
	}
}
