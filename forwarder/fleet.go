package forwarder

import (
	"cmp"
	"time"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/discoverer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/matcher"
	"cyclamenhub.org/permitter"
	"cyclamenhub.org/placer"
)

// fleet indexes the listed backend servers for attempts. It is immutable.
type fleet struct {
	// at is when the list was read or offered.
	at      time.Time
	servers map[identifier.BackendServer]describer.Instance
	// open are the servers that accept new work, by service.
	open map[identifier.Service][]identifier.BackendServer
	// versions holds the most common version of each service.
	versions map[identifier.Service]identifier.Version
	// activeCounts is the number of servers of each version that accept new
	// work.
	activeCounts map[identifier.Service]map[identifier.Version]int
}

// newFleet returns the fleet of a listing.
func newFleet(l *discoverer.Listing) *fleet {
	f := &fleet{
		at:           l.At,
		servers:      make(map[identifier.BackendServer]describer.Instance, len(l.Instances)),
		versions:     make(map[identifier.Service]identifier.Version),
		activeCounts: make(map[identifier.Service]map[identifier.Version]int),
	}
	for _, in := range l.Instances {
		f.servers[in.ID] = in
		if _, ok := f.versions[in.Service]; !ok {
			f.activeCounts[in.Service] = l.Versions(in.Service)
			f.versions[in.Service] = CommonVersion(f.activeCounts[in.Service])
		}
	}
	f.open = openServers(f.servers)
	return f
}

// hasVersion reports whether a version of a service has a server that accepts
// new work.
func (f *fleet) hasVersion(s identifier.Service, v identifier.Version) bool {
	return f.activeCounts[s][v] > 0
}

// hasAddress reports whether a listed server has an address.
func (f *fleet) hasAddress(address string) bool {
	for _, in := range f.servers {
		if in.Address == address {
			return true
		}
	}
	return false
}

// CommonVersion returns the version that most instances have. Among versions
// with equal counts it returns the first in the order of their names.
func CommonVersion(counts map[identifier.Version]int) identifier.Version {
	var best identifier.Version
	for v, n := range counts {
		if highest := counts[best]; n > highest || n == highest && v < best {
			best = v
		}
	}
	return best
}

// candidates returns the servers in the form that the placer uses. Without a
// routing table no server counts as an engine or as cold.
func (f *fleet) candidates(t *matcher.Table, opts *Options) []placer.Server {
	out := make([]placer.Server, 0, len(f.servers))
	gaps := eventGaps(t)
	for _, in := range f.servers {
		s := placer.Server{
			ID: in.ID, Service: in.Service, Version: in.Version, FailureDomain: in.FailureDomain,
			Region:      opts.Regions[in.FailureDomain],
			Incarnation: uint64(max(in.StartedAtMillis, 0)), Slots: cmp.Or(in.Slots, 1), Leaving: in.Draining,
		}
		if t != nil {
			sv, ok := t.Service(in.Service)
			if ok && sv.Engine != nil {
				s.Engine, s.Memory, s.EventTokens = true, sv.Engine.Memory, sv.Engine.EventTokens
				s.EventGap = gaps[in.Service]
			}
			if ok && sv.WarmUp != nil {
				s.ColdLimit, s.WarmUpTime = permitter.WarmUpLimit(*sv.WarmUp, opts.WarmUp), sv.WarmUp.Time
				s.ColdUntil = f.at.Add(in.ColdFor)
			}
		}
		out = append(out, s)
	}
	return out
}

// eventGaps returns the shortest EventGap of the routes of each service.
func eventGaps(t *matcher.Table) map[identifier.Service]time.Duration {
	out := make(map[identifier.Service]time.Duration)
	if t == nil {
		return out
	}
	for i := range t.Document().Routes {
		r := &t.Document().Routes[i]
		for _, d := range r.Split {
			if known := out[d.Service]; r.EventGap > 0 && (known == 0 || r.EventGap < known) {
				out[d.Service] = r.EventGap
			}
		}
	}
	return out
}
