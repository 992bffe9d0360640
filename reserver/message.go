package reserver

import (
	"time"

	"cyclamenhub.org/announcer"
	"cyclamenhub.org/identifier"
)

// Server is a backend server of a brittle service, or of one that may be.
type Server struct {
	Run     identifier.ServerRun
	Service identifier.Service
	// Places is the number of calls that the server runs concurrently.
	Places int
}

// Pool identifies the servers of one version of a service.
type Pool struct {
	Service identifier.Service
	Version identifier.Version
}

// Report is what a host tells the leader.
type Report struct {
	// Run identifies the start of the host's process; a later one is higher. Sequence
	// numbers the reports of the run.
	Run, Sequence uint64
	// Hosts is the number of entry hosts, as far as the host knows it.
	Hosts    int
	Services map[identifier.Service]ServiceReport
	Servers  map[identifier.ServerRun]ServerReport
	Needs    []Need
}

// ServiceReport is what a host knows of a service.
type ServiceReport struct {
	// Notice is what the last response to this host said, or nil. It holds nothing that
	// the host has learned from a leader, since each message makes a notice look newer
	// than it is.
	Notice *announcer.Notice
	// Told is what a leader told this host if that is newer and says that the service is
	// brittle, else nil. It is for a new leader, which knows nothing yet.
	Told *announcer.Notice
	// BrittleFor is how long the service is known to be brittle, 0 if it is not.
	BrittleFor time.Duration
}

// ServerReport is what a host has at a server.
type ServerReport struct {
	Service identifier.Service
	Places  int
	// Held is the number of places that the host keeps, Used that of its calls, and
	// Refused that of its calls refused by the server since the last report.
	Held, Used, Refused int
}

// Need is the number of calls of a pool that wait for places, and the servers that can
// take them. Turned is the number of those turned away since the last report.
type Need struct {
	Pool          Pool
	Calls, Turned int
	Candidates    []Server
}

// Grant is the leader's answer to a Report.
type Grant struct {
	// Sequence is that of the report, or 0 if a later one came before it.
	Sequence uint64
	Services map[identifier.Service]ServiceGrant
	Servers  map[identifier.ServerRun]ServerGrant
}

// ServiceGrant is the part of a Grant about one service.
type ServiceGrant struct {
	Notice     announcer.Notice
	BrittleFor time.Duration
	// Settled is whether the servers are bounded now.
	Settled bool
	// Scarce is whether calls found no place lately.
	Scarce bool
	// Wait is the time after which a call that got no place may come back.
	Wait time.Duration
}

// ServerGrant is the change of the places that the host holds at a server.
type ServerGrant struct{ Issued, Taken int }
