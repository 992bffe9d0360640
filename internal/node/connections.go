package node

import (
	"net"
	"net/http"

	"cyclamenhub.org/expirer"
	"cyclamenhub.org/platform"
)

const (
	// connectionBytes is the memory of a caller's connection: its buffers, the stack of its
	// goroutine and an ordinary header.
	connectionBytes = 24 << 10
	// connectionsDivisor and headsDivisor give the parts of the memory that callers'
	// connections, and headers on them that are not ordinary, may take.
	connectionsDivisor = 6
	headsDivisor       = 10
	// defaultMemoryBytes stands in for the memory of a machine that is not known.
	defaultMemoryBytes = 256 << 20
	// descriptorsDivisor gives the part of the descriptors that callers' connections may
	// take, since a call has a connection to a backend server as well, and that sessions of
	// other processes with a keeper may take.
	descriptorsDivisor = 2
	// peersDivisor and otherDivisor give the parts of callers' bounds that the listener
	// for other hosts has, to which a host that is cut off relays all its calls, and each
	// further one.
	peersDivisor = 2
	otherDivisor = 8
	// callerHeadBytes bounds callers' headers if the document does not.
	callerHeadBytes = 1 << 20
	// otherHeadBytes bounds headers at listeners that are not for callers.
	otherHeadBytes = 32 << 10
	// relayHeadBytes is how much longer than a caller's header that of its relayed call
	// may be.
	relayHeadBytes = 8 << 10
)

// callerOptions returns the bounds of callers' connections on a machine.
func callerOptions(cfg *platform.Settings) expirer.Options {
	memory := cfg.MemoryBytes
	if memory <= 0 {
		memory = defaultMemoryBytes
	}
	connections := max(int(memory/connectionsDivisor/connectionBytes), 1)
	if cfg.Descriptors > 0 {
		connections = min(connections, max(cfg.Descriptors/descriptorsDivisor, 1))
	}
	return expirer.Options{
		Default:     expirer.Limits{Header: headerTimeout, Idle: idleTimeout, HeadBytes: callerHeadBytes},
		Connections: connections, HeadMemory: memory / headsDivisor,
	}
}

// partOptions returns the bounds of connections of a listener that has a part of callers'
// bounds and takes headers of the given size.
func partOptions(cfg *platform.Settings, divisor, headBytes int) expirer.Options {
	o := callerOptions(cfg)
	o.Connections = max(o.Connections/divisor, 1)
	o.HeadMemory = max(o.HeadMemory/int64(divisor), 1)
	o.Default.HeadBytes = headBytes
	return o
}

// peerOptions returns the bounds of connections of other hosts, which bring callers' headers.
func peerOptions(cfg *platform.Settings) expirer.Options {
	return partOptions(cfg, peersDivisor, callerHeadBytes+relayHeadBytes)
}

// bounded returns a listener for a server that is not for callers, and sets the server's
// limits.
func bounded(cfg *platform.Settings, s *http.Server, ln net.Listener) net.Listener {
	expirer.Prepare(s)
	return expirer.New(partOptions(cfg, otherDivisor, otherHeadBytes)).Listener(ln)
}
