package relayer

import "cyclamenhub.org/identifier"

// round is a set of probes that decide together.
type round struct {
	out map[identifier.BackendServer]struct{}
	// rest are the servers still to be probed, unless the first one connects.
	rest []identifier.BackendServer
	// connected is set if a fresh connection was opened since the start.
	connected bool
}

// send returns servers that are probed from now on.
func (r *round) send(servers []identifier.BackendServer) []identifier.BackendServer {
	for _, s := range servers {
		r.out[s] = struct{}{}
	}
	return servers
}

// isOver reports whether all probes are back that the round takes.
func (r *round) isOver() bool { return len(r.out) == 0 && (r.connected || len(r.rest) == 0) }
