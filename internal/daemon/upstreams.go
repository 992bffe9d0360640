package daemon

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
)

// upstreamsOf returns the addresses that a host watches for new revisions, in
// order of preference. First are the hosts of its failure domain that precede
// it by name, then the keepers, in an order that differs by host so that the
// relays spread over the keepers. Last are the other hosts of its failure
// domain, which may have a newer revision when the keepers are unreachable.
//
// A keeper has the log itself and watches the other keepers first. If they are
// unreachable, a host of its failure domain may have a revision that the keeper
// missed while it was down.
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

// domainPeers returns the other hosts of this host's failure domain, sorted by
// name: those before it and those after it.
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

// rank returns the sort key of a keeper for a host.
func rank(host, keeper identifier.Host) uint64 {
	return xxhash.Sum64String(string(host) + "\x00" + string(keeper))
}
