package dispatcher

import (
	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
)

// Query holds the inputs to the choice of a backend server.
type Query struct {
	Table    *Table
	Request  *Request
	Version  identifier.Version
	Excluded []identifier.BackendServer
	// Avoid is a failure domain. Servers of other failure domains are
	// preferred.
	Avoid identifier.FailureDomain
}

// Outcome is how an attempt ended, as far as it says something about the server
// and its version.
type Outcome int

// The outcomes of an attempt.
const (
	// Succeeded means a complete answer.
	Succeeded Outcome = iota
	// Erred means an error status, or an answer that was malformed or belonged
	// to another attempt.
	Erred
	// TimedOut means that no byte arrived within the time-out, either on a
	// fresh connection or after the answer had begun.
	TimedOut
	// Unreachable means that the server did not accept a connection.
	Unreachable
	// ConnectionLost means that the connection broke while the request was in
	// flight.
	ConnectionLost
	// Reclaimed means that the attempt was cancelled because its server is
	// leaving.
	Reclaimed
	// Neutral means that the attempt says nothing about the server.
	Neutral
)

// Chooser chooses the backend server of an attempt.
type Chooser interface {
	// Choose returns a server and counts an attempt on it as started. It
	// returns false if no server is available.
	Choose(q Query) (Pick, bool)
	// SetLeaving sets whether a server is leaving and takes no new requests.
	SetLeaving(b identifier.BackendServer, leaving bool)
}

// Pick is a chosen backend server on which one attempt counts as started.
type Pick interface {
	// Server returns the server.
	Server() configurer.BackendServer
	// FirstToken records that the first byte of the answer has arrived.
	FirstToken()
	// Finished counts the attempt as ended.
	Finished(o Outcome)
}
