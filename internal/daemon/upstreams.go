package daemon

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
)

// upstreamsOf returns the addresses that a host watches, preferred first: the
// hosts of its failure domain that come before it by name, then the keepers in
// an order of its own, so that the keepers share the relays, and last the other
// hosts of its failure domain, which may know more once the keepers are out of
// reach. A keeper has the log itself and watches the other keepers first; with
// them out of reach, a host of its failure domain may know a revision that the
// keeper missed while it was away.
func upstreamsOf(cfg *configurer.Settings) []string {
	before, after := domainPeers(cfg)
	keepers := slices.DeleteFunc(slices.Clone(cfg.Keepers), func(k identifier.Host) bool { return k == cfg.Host })
	slices.SortFunc(keepers, func(a, b identifier.Host) int {
		return cmp.Compare(rank(cfg.Host, a), rank(cfg.Host, b))
	})
	if cfg.IsKeeper() {
		before, after = nil, slices.Concat(before, after)
	}

	var addresses []string
	for _, name := range slices.Concat(before, keepers, after) {
		if h, ok := cfg.HostNamed(name); ok && !slices.Contains(addresses, h.Address) {
			addresses = append(addresses, h.Address)
		}
	}
	return addresses
}

// domainPeers returns the other hosts of this host's failure domain: those that
// come before it by name, and those that come after.
func domainPeers(cfg *configurer.Settings) (before, after []identifier.Host) {
	for _, h := range cfg.Hosts {
		switch {
		case h.FailureDomain != cfg.FailureDomain || h.Name == cfg.Host:
		case h.Name < cfg.Host:
			before = append(before, h.Name)
		default:
			after = append(after, h.Name)
		}
	}
	slices.Sort(before)
	slices.Sort(after)
	return before, after
}

// rank orders the keepers for one host.
func rank(host, keeper identifier.Host) uint64 {
	return xxhash.Sum64String(string(host) + "\x00" + string(keeper))
}
