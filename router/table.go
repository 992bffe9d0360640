package router

import (
	"fmt"

	"cyclamenhub.org/identifier"
)

// State is the control plane's view of a backend server. The zero value is
// Live.
type State uint8

// States of a backend server.
const (
	// Live servers accept new requests.
	Live State = iota
	// Suspect servers receive requests only if no live server is left.
	Suspect
	// Gone servers receive no new requests: they are leaving or have left.
	Gone
)

// Candidate is one backend server in a Table.
type Candidate struct {
	BackendServer identifier.BackendServer
	Service       identifier.Service
	Version       identifier.Version
	FailureDomain identifier.FailureDomain
	// Incarnation increases when the server restarts under the same name. A new
	// incarnation discards what was known of the previous one, in particular a
	// notice that it is leaving.
	Incarnation uint64
	State       State
	// Concurrency is the number of requests that the server runs concurrently;
	// 0 means 1.
	Concurrency int
	// Price is the server's cost per hour.
	Price float64
	// PrefillRate is the number of prompt tokens that the server processes per
	// second; 0 means that the router estimates it from measured first tokens.
	PrefillRate float64
}

// Table is the routing table, an immutable list of candidates. It must not be
// changed after Publish.
type Table struct {
	Candidates []Candidate
}

// NoServerError reports that no backend server can take a request.
type NoServerError struct {
	Service identifier.Service
	Version identifier.Version
	// Listed counts the servers of the version in the routing table. Gone
	// counts those that are leaving or have left, and Excluded the others that
	// the request excludes.
	Listed, Gone, Excluded int
}

// Error returns the reason and what to do.
func (e *NoServerError) Error() string {
	return fmt.Sprintf("no backend server of %s version %s can take the request (%d listed, %d leaving, %d excluded): start more or wait for one that is loading",
		e.Service, e.Version, e.Listed, e.Gone, e.Excluded)
}
