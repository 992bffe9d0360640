package dispatcher

import (
	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
)

// Query is what the choice of a backend server depends on.
type Query struct {
	Table    *Table
	Request  *Request
	Version  identifier.Version
	Excluded []identifier.BackendServer
	// Avoid is a failure domain that another one is preferred to.
	Avoid identifier.FailureDomain
}

// Outcome is how an attempt ended, as far as it speaks of the server and its
// version.
type Outcome int

// The outcomes.
const (
	// Succeeded is a whole answer.
	Succeeded Outcome = iota
	// Erred is an error status, or an answer that was broken or another's.
	Erred
	// Unanswered is a fresh connection without a byte within its limit.
	Unanswered
	// Unreached is a server that took no connection.
	Unreached
	// Broken is a connection that broke with the request at work.
	Broken
	// Reclaimed is an attempt that was cut short because its server leaves.
	Reclaimed
	// Neutral says nothing about the server.
	Neutral
)

// Chooser chooses the backend server of an attempt.
type Chooser interface {
	// Choose returns a server and counts an attempt on it as started, or
	// reports that there is none.
	Choose(q Query) (Pick, bool)
	// SetLeaving tells whether a server takes no new work.
	SetLeaving(b identifier.BackendServer, leaving bool)
}

// Pick is a chosen backend server with an attempt that counts as started.
type Pick interface {
	// Server returns the server.
	Server() configurer.BackendServer
	// FirstToken tells that the first byte of the answer has come.
	FirstToken()
	// Finished counts the attempt as ended.
	Finished(o Outcome)
}
