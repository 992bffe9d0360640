package node

import (
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/wire"
)

// addPeers records which services a host does not reach and adds the hosts that do to
// the response. The caller holds mu.
func (n *keeperNode) addPeers(now time.Time, host identifier.Host, req *wire.SyncRequest, resp *wire.SyncResponse) {
	unreachable := decodeNames[identifier.Service](req.GetUnreachable())
	n.hosts.Report(now, host, identifier.FailureDomain(req.GetFailureDomain()), unreachable)
	for _, s := range unreachable {
		peers := n.hosts.Peers(now, host, s)
		resp.Peers = append(resp.Peers, &wire.Peers{Service: string(s), Hosts: encodeNames(peers)})
	}
}

// decodePeers returns the peers that a response names, by service.
func decodePeers(resp *wire.SyncResponse) *map[identifier.Service][]identifier.Host {
	out := make(map[identifier.Service][]identifier.Host, len(resp.GetPeers()))
	for _, p := range resp.GetPeers() {
		out[identifier.Service(p.GetService())] = decodeNames[identifier.Host](p.GetHosts())
	}
	return &out
}
