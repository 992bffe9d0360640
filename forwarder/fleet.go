package forwarder

import (
	"cmp"

	"github.com/cespare/xxhash/v2"

	"cyclamenhub.org/discoverer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/router"
)

// fleet is the listed backend servers, made ready for attempts. It is
// immutable.
type fleet struct {
	servers  map[identifier.BackendServer]discoverer.Instance
	versions map[identifier.Service]identifier.Version
	// counts is how many servers of each version take work.
	counts map[identifier.Service]map[identifier.Version]int
}

// newFleet returns the fleet of a listing.
func newFleet(l *discoverer.Listing) *fleet {
	f := &fleet{
		servers:  make(map[identifier.BackendServer]discoverer.Instance, len(l.Instances)),
		versions: make(map[identifier.Service]identifier.Version),
		counts:   make(map[identifier.Service]map[identifier.Version]int),
	}
	for _, in := range l.Instances {
		f.servers[in.ID] = in
		if _, ok := f.versions[in.Service]; !ok {
			f.counts[in.Service] = l.Versions(in.Service)
			f.versions[in.Service] = CommonVersion(f.counts[in.Service])
		}
	}
	return f
}

// has reports whether a version of a service has a server that takes work.
func (f *fleet) has(s identifier.Service, v identifier.Version) bool {
	return f.counts[s][v] > 0
}

// CommonVersion returns the version that most instances have; of several, the
// first by name.
func CommonVersion(counts map[identifier.Version]int) identifier.Version {
	var best identifier.Version
	for v, n := range counts {
		if most := counts[best]; n > most || n == most && v < best {
			best = v
		}
	}
	return best
}

// candidates returns the servers in the router's terms.
func (f *fleet) candidates() []router.Candidate {
	out := make([]router.Candidate, 0, len(f.servers))
	for _, in := range f.servers {
		c := router.Candidate{
			BackendServer: in.ID, Service: in.Service, Version: in.Version, FailureDomain: in.FailureDomain,
			Incarnation: uint64(max(in.Born, 0)) + 1, Concurrency: cmp.Or(in.Slots, 1),
		}
		if in.Draining {
			c.State = router.Gone
		}
		out = append(out, c)
	}
	return out
}

// blockTokens is the part of a prompt that one block of its prefix covers, in
// tokens.
const blockTokens = 128

// blocksOf returns the blocks of a prompt for the router: each names everything
// up to its end.
func blocksOf(parts []Part) []router.Block {
	var blocks []router.Block
	var d xxhash.Digest
	d.Reset()
	for _, p := range parts {
		_, _ = d.WriteString(p.ID)
		for i := identifier.Tokens(0); i < max(p.Tokens/blockTokens, 1); i++ {
			_, _ = d.Write([]byte{0})
			blocks = append(blocks, router.Block(d.Sum64()))
		}
	}
	return blocks
}
