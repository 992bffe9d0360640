package node

import (
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
	// take: a call has a connection to a backend server as well.
	descriptorsDivisor = 2
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
		Default:     expirer.Limits{Header: headerTimeout, Idle: idleTimeout},
		Connections: connections, HeadMemory: memory / headsDivisor,
	}
}
