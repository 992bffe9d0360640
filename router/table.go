package router

import (
	"fmt"

	"cyclamenhub.org/identifier"
)

// State is what the control side knows of a backend server. The zero value is
// Live.
type State uint8

// The states.
const (
	// Live servers take new work.
	Live State = iota
	// Suspect servers take work only where no live one is left.
	Suspect
	// Gone servers take no new work: they are leaving or have left.
	Gone
)

// Candidate is one backend server in a Table.
type Candidate struct {
	BackendServer identifier.BackendServer
	Service       identifier.Service
	Version       identifier.Version
	FailureDomain identifier.FailureDomain
	// Incarnation rises when the server is started anew under its name. It ends
	// what was known of the one before it, a notice to leave above all.
	Incarnation uint64
	State       State
	// Concurrency is how many requests it runs side by side; 0 means 1.
	Concurrency int
	// Price is its cost per hour.
	Price float64
	// PrefillRate is how many prompt tokens it computes a second; 0 means that
	// it is learnt from first tokens.
	PrefillRate float64
}

// Table is an immutable list of candidates. It must not be changed after it was
// published.
type Table struct {
	Candidates []Candidate
}

// NoServerError tells that no backend server may be chosen.
type NoServerError struct {
	Service identifier.Service
	Version identifier.Version
	// Listed counts the servers of that version in the table; Gone those of
	// them that are leaving and Excluded those the request ruled out.
	Listed, Gone, Excluded int
}

// Error returns the message and the remedy.
func (e *NoServerError) Error() string {
	return fmt.Sprintf("no backend server of %s version %s can take the request (%d listed, %d leaving, %d excluded): start more or wait for one that is loading",
		e.Service, e.Version, e.Listed, e.Gone, e.Excluded)
}
